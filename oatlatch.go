// Package oatlatch is the library of a layer-4 load balancer. It collects and
// publishes service files, and runs an entry host inside a process of one's own.
// The commands oatlatch and oatlatchd are thin layers over it.
package oatlatch

import (
	"context"
	"fmt"

	"github.com/oatlatch/oatlatch/internal/collect"
	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/publisher"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// Service is one validated service file.
type Service = service.Service

// Problems are the faults of service files or settings: one line each, with
// its place and remedy.
type Problems = inifile.Problems

// Settings are the settings of an entry host.
type Settings = settings.Settings

// Host is an entry host.
type Host = daemon.Daemon

// HostOptions hold what an entry host needs from outside.
type HostOptions = daemon.Options

// HostStatus is what an entry host tells operators.
type HostStatus = daemon.Status

// FlowExplanation says step by step which upstream a flow goes to, and why.
type FlowExplanation = flow.Explanation

// PlatformOptions say how to reach the platform's key-value service.
type PlatformOptions = platform.Options

// PublishOptions say how to publish.
type PublishOptions = publisher.Options

// Publication is the outcome of a publication.
type Publication = publish.Result

// Collect reads and checks the service files of the directories. The error is
// Problems when files are at fault, and then holds every fault of every file.
func Collect(dirs []string) ([]Service, error) { return collect.Services(dirs) }

// Publish writes the services to the platform. A repeat without a change writes
// nothing. Errors say whether anything took effect and what to do.
func Publish(ctx context.Context, to PlatformOptions, options PublishOptions, services []Service) (Publication, error) {
	port, err := platform.NewHTTP(to)
	if err != nil {
		return Publication{}, err
	}
	return publisher.Publish(ctx, port, options, services)
}

// NewHost checks the settings, binds the host's addresses and builds its
// duties. Nothing is served before Run.
func NewHost(options HostOptions) (*Host, error) {
	if err := options.Settings.Check(); err != nil {
		return nil, fmt.Errorf("the host cannot start:\n%w", err)
	}
	return daemon.New(options)
}
