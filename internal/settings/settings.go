// Package settings defines, loads and checks the settings of an entry host. Every
// setting is both a key of an INI file and a command-line flag.
package settings

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
)

// Settings holds the settings of `oatlatchd run`. Key `k` of section `[s]`
// corresponds to the flag `--s-k`.
type Settings struct {
	File kong.ConfigFlag `name:"settings" placeholder:"FILE" help:"INI file to read settings from."`

	Host     Host     `embed:"" prefix:"host-"`
	Listen   Listen   `embed:"" prefix:"listen-"`
	Peers    Peers    `embed:"" prefix:"peers-"`
	Platform Platform `embed:"" prefix:"platform-"`
	TLS      TLS      `embed:"" prefix:"tls-"`
	Limits   Limits   `embed:"" prefix:"limits-"`
	Stop     Stop     `embed:"" prefix:"stop-"`
	Log      Log      `embed:"" prefix:"log-"`
}

// Host identifies the entry host.
type Host struct {
	ID         string `name:"id" placeholder:"NAME" help:"Unique name of this host, such as casa-quay-1."`
	DataCentre string `name:"data-centre" placeholder:"NAME" help:"Data centre the host stands in."`
	Region     string `name:"region" placeholder:"NAME" help:"Region of the data centre."`
}

// Listen holds the addresses on which the host listens. The host advertises all but
// Admin to other hosts.
type Listen struct {
	Peer    netip.AddrPort `name:"peer" default:"127.0.0.1:7401" help:"IP:port for calls of other entry hosts (TCP)."`
	Packet  netip.AddrPort `name:"packet" default:"127.0.0.1:6081" help:"IP:port for packets of the fabric and of other entry hosts (UDP, Geneve)."`
	Request netip.AddrPort `name:"request" default:"127.0.0.1:8080" help:"IP:port for requests of callers (TCP, HTTP)."`
	Admin   netip.AddrPort `name:"admin" default:"127.0.0.1:7402" help:"IP:port for read-only status and metrics (TCP, HTTP; mutual TLS beyond loopback)."`
}

// Peers configures how the host finds other entry hosts.
type Peers struct {
	Seeds []netip.AddrPort `name:"seeds" placeholder:"IP:PORT,..." help:"Peer addresses of some other entry hosts, comma-separated; empty for the first host."`
}

// Platform configures access to the platform's key-value service.
type Platform struct {
	Addresses      []string      `name:"addresses" default:"http://127.0.0.1:8500" help:"Base URLs of the platform's key-value service, comma-separated."`
	Token          string        `name:"token" placeholder:"TOKEN" help:"Access token sent with each call to the platform; empty for none."`
	Deadline       time.Duration `name:"deadline" default:"2s" help:"Time limit of one call to the platform, watches apart."`
	CallsPerSecond float64       `name:"calls-per-second" default:"5" help:"Most calls a second that this host makes to the platform."`
}

// TLS holds the host's certificate, its private key and the certificate authority,
// each as PEM text or as the path of a PEM file. If all three are empty, connections
// are not encrypted, which is accepted on loopback only.
type TLS struct {
	CA          string `name:"ca" placeholder:"PEM" help:"Certificate authority of all entry hosts: PEM text or path."`
	Certificate string `name:"certificate" placeholder:"PEM" help:"Certificate of this host: PEM text or path; its identity is host ID and data centre."`
	Key         string `name:"key" placeholder:"PEM" help:"Private key of the certificate: PEM text or path."`
}

// Limits holds the resource limits of the host.
type Limits struct {
	Flows         int           `name:"flows" default:"500000" help:"Most flow records held."`
	Workers       int           `name:"workers" default:"2" help:"Goroutines that forward packets."`
	Connections   int           `name:"connections" default:"20000" help:"Most connections of callers held; further ones wait in the listener's queue."`
	RequestBody   int64         `name:"request-body" default:"524288" help:"Largest body in bytes of a non-idempotent request; it must fit into a message between hosts."`
	RequestHeader int           `name:"request-header" default:"16384" help:"Largest request header in bytes."`
	Queue         int           `name:"queue" default:"64" help:"Most requests that wait for a slot, for each service."`
	Deadline      time.Duration `name:"deadline" default:"30s" help:"Deadline of a request that states none."`
}

// Stop configures the planned stop of the host.
type Stop struct {
	TimeLimit time.Duration `name:"time-limit" default:"60s" help:"Longest planned stop; work still in progress after it is cut and logged."`
}

// Log configures the log.
type Log struct {
	Level string `name:"level" default:"info" help:"Least level logged: debug, info, warn or error."`
}
