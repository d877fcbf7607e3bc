// Package examples embeds the service files of two example users, which the demo
// runs. Each user has a service with 14 upstreams and one with 4, the sizes of the
// deployments that the load balancer is designed for.
package examples

import "embed"

// Files contains a directory of service files for each user.
//
//go:embed amarres/*.oatlatch kowhai-lane/*.oatlatch
var Files embed.FS
