package settings

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
)

// Edge holds the settings of `oatlatchd edge`. Key `k` of section `[s]` corresponds
// to the flag `--s-k`.
type Edge struct {
	File kong.ConfigFlag `name:"settings" placeholder:"FILE" help:"INI file to read settings from."`

	Host   Host       `embed:"" prefix:"host-"`
	Listen EdgeListen `embed:"" prefix:"listen-"`
	Store  Store      `embed:"" prefix:"store-"`
	Limits EdgeLimits `embed:"" prefix:"limits-"`
	Warmup EdgeWarmup `embed:"" prefix:"warmup-"`
	Stop   EdgeStop   `embed:"" prefix:"stop-"`
	Log    EdgeLog    `embed:"" prefix:"log-"`
	// Zones holds the region of each data centre. It is the section of its name, in which
	// each key is a data centre.
	Zones map[string]string `name:"zones" mapsep:"," placeholder:"DATA-CENTRE=REGION" help:"Region of each data centre; a route with allowed regions keeps to data centres in them."`
}

// EdgeListen holds the addresses on which an edge host listens.
type EdgeListen struct {
	Packet  netip.AddrPort `name:"packet" placeholder:"IP:PORT" help:"IP:port for packets of callers (UDP); callers take packets at the same port."`
	Peer    netip.AddrPort `name:"peer" placeholder:"IP:PORT" help:"IP:port for calls of other entry hosts (TCP)."`
	Ready   netip.AddrPort `name:"ready" placeholder:"IP:PORT" help:"IP:port at which routers ask whether the host is ready (TCP, HTTP)."`
	Seed    netip.AddrPort `name:"seed" placeholder:"IP:PORT" help:"IP:port at which hosts that start ask for routes and upstreams (TCP, HTTP); only they may reach it."`
	Metrics netip.AddrPort `name:"metrics" placeholder:"IP:PORT" help:"IP:port for metrics (TCP, HTTP)."`
}

// Store configures access to the platform's metadata store.
type Store struct {
	Address netip.AddrPort `name:"address" placeholder:"IP:PORT" help:"IP:port of the platform's metadata store."`
	// Seeds are hosts that a host asks when it starts and the store does not answer.
	Seeds []netip.AddrPort `name:"seeds" placeholder:"IP:PORT" help:"listen.seed of up to three other hosts, comma-separated, for starts while the store does not answer."`
	// ApplyWithin lists the times within which changes in the store must take effect.
	// The host meets the shortest one.
	ApplyWithin []time.Duration `name:"apply-within" default:"3s" help:"Times within which changes must be in force, comma-separated; the shortest counts."`
	// History is how long the store keeps changes for watches.
	History time.Duration `name:"history" default:"20s" help:"Time for which the store keeps changes; a snapshot for hosts that start is written four times within it."`
}

// EdgeLimits holds the resource limits of an edge host.
type EdgeLimits struct {
	Bandwidth float64 `name:"bandwidth" default:"0" help:"Bandwidth of the host's link in Mbit/s; hosts with more serve their neighbours."`
	Flows     int     `name:"flows" default:"131072" help:"Most flow records held."`
	// FlowAge is how long a flow may stay open. What concerns only flows that were opened
	// before a change is kept for one and a half times as long.
	FlowAge time.Duration `name:"flow-age" default:"60s" help:"Time for which a flow may stay open; former services of routes and departed upstreams are kept for 1.5 times that."`
	Memory  int           `name:"memory" placeholder:"MB" help:"Memory in MB that the process may use; 0 for no limit."`
}

// EdgeStop configures the planned stop of an edge host.
type EdgeStop struct {
	TimeLimit time.Duration `name:"time-limit" default:"6s" help:"Time after which a process that was asked to stop is killed."`
}

// EdgeLog configures the log of an edge host and its rate limits.
type EdgeLog struct {
	Log            `embed:""`
	LinesPerSecond float64 `name:"lines-per-second" default:"200" help:"Most log lines a second; lines over it are counted by event."`
	BytesPerSecond float64 `name:"bytes-per-second" default:"65536" help:"Most bytes of log a second, before they are formatted."`
}
