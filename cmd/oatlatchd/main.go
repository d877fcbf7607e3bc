// Command oatlatchd is the daemon that runs on each entry host of the load balancer.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/settings"
)

// commands defines the command line of the daemon.
type commands struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Serve as an entry host (the default)."`
	Edge     edgeCommand     `cmd:"" help:"Serve packets whose callers echo a token, on a platform that registers the upstreams."`
	Settings settingsCommand `cmd:"" help:"Print the default settings with comments."`
}

func main() {
	parser, err := kong.New(&commands{},
		kong.Name("oatlatchd"),
		kong.Description("Entry host of a layer-4 load balancer. Every setting is a key of the INI file and a flag."),
		kong.Configuration(settings.LoadINI),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx.FatalIfErrorf(ctx.Run())
}
