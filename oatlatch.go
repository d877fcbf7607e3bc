// Package oatlatch is the API of the oatlatch layer-4 load balancer. It reads and
// publishes service files, and runs an entry host within the calling process. The
// commands oatlatch and oatlatchd are thin wrappers around it.
package oatlatch

import (
	"context"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/servicefiles"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// Service is a validated service definition, read from a service file.
type Service = service.Service

// Problems is the error for invalid service files or settings. It lists every problem
// with its location and how to correct it, one per line.
type Problems = inifile.Problems

// Settings holds the settings of an entry host.
type Settings = settings.Settings

// Host is an entry host, which is a host that runs the load balancer.
type Host = daemon.Daemon

// HostOptions configures a Host. It holds the settings and the logger, clock, random
// seed and incarnation to use.
type HostOptions = daemon.Options

// HostStatus is the status of an entry host, as operators query it.
type HostStatus = daemon.Status

// FlowExplanation describes, step by step, how a host chooses the upstream of a flow.
type FlowExplanation = flow.Explanation

// PlatformOptions configures the client of the platform's key-value service.
type PlatformOptions = consul.Options

// PublishOptions configures Publish.
type PublishOptions = publishrunner.Options

// Publication is the result of Publish.
type Publication = publish.Result

// Collect reads and validates the service files in the directories. If files are
// invalid, the error is a Problems with every problem of every file.
func Collect(dirs []string) ([]Service, error) { return servicefiles.Services(dirs) }

// Publish writes the services to the platform. It writes nothing if they are published
// already. The error says whether the publication took effect and what to do.
func Publish(ctx context.Context, platformOptions PlatformOptions, options PublishOptions, services []Service) (Publication, error) {
	client, err := consul.NewHTTPClient(platformOptions)
	if err != nil {
		return Publication{}, err
	}
	defer client.Close()
	return publishrunner.Publish(ctx, client, options, services)
}

// NewHost validates the settings and returns a host that listens on its addresses. The
// host serves nothing until Run is called.
func NewHost(options HostOptions) (*Host, error) {
	if err := options.Settings.Check(); err != nil {
		return nil, fmt.Errorf("the host cannot start:\n%w", err)
	}
	return daemon.New(options)
}
