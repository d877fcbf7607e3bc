// Package examples embeds the service files of two users of the brief's sizes.
package examples

import "embed"

// Files holds one directory of service files for each user.
//
//go:embed amarres/*.oatlatch kowhai-lane/*.oatlatch
var Files embed.FS
