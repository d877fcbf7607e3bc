package main

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/experiment"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// experimentOptions are the options of all commands that play patterns.
type experimentOptions struct {
	Seed        uint64        `default:"1" help:"Seed of the random choices."`
	Sites       int           `default:"3" help:"Data centres."`
	Hosts       int           `default:"1" help:"Entry hosts in each data centre."`
	Upstreams   int           `default:"5" help:"Upstreams in each data centre."`
	Load        float64       `default:"0.55" help:"Part of all slots that callers keep busy on average."`
	ShareEvery  time.Duration `default:"100ms" help:"Time between two exchanges of estimates under shared-estimates."`
	Objective   time.Duration `default:"250ms" help:"Latency up to which an answer is in time."`
	Timeout     time.Duration `default:"1500ms" help:"Time for which callers wait for an answer."`
	Think       time.Duration `default:"900ms" help:"Mean time between two requests of a caller."`
	Service     time.Duration `default:"60ms" help:"Mean time that an upstream takes for a request."`
	Slots       int           `default:"3" help:"Requests that an upstream runs at a time."`
	Queue       int           `default:"12" help:"Requests that an upstream queues before it rejects others."`
	Outage      time.Duration `default:"1200ms" help:"Time for which power-loss stops all hosts."`
	StartSpread time.Duration `default:"0s" help:"Time within which the hosts start after that."`
	StartDelay  time.Duration `default:"100ms" help:"Time after that until a host knows the upstreams."`
	Seconds     int           `default:"30" help:"How long callers send requests."`
	FlowLength  int           `default:"0" help:"Mean number of requests on a flow that stays open; 0 keeps it open."`
	Age         time.Duration `default:"0s" help:"Time from an exchange of estimates under shared-estimates until hosts know them."`
	Without     string        `placeholder:"NAMES" help:"Mechanisms to switch off, comma-separated."`
}

// options returns the options of the simulation, or an error if one is out of range.
func (c *experimentOptions) options() (experiment.Options, error) {
	options := experiment.DefaultOptions()
	options.Seed, options.DataCentres, options.HostsPerDataCentre, options.UpstreamsPerDataCentre = c.Seed, c.Sites, c.Hosts, c.Upstreams
	options.ShareInterval = c.ShareEvery
	options.Objective, options.Timeout, options.Outage, options.StartSpread, options.StartDelay = c.Objective, c.Timeout, c.Outage, c.StartSpread, c.StartDelay
	options.ThinkTime, options.ServiceTime, options.Slots, options.QueueSize = c.Think, c.Service, c.Slots, c.Queue
	options.FlowRequests, options.KnowledgeAge = c.FlowLength, c.Age
	options.Load, options.Duration = c.Load, time.Duration(c.Seconds)*time.Second
	var err error
	if options.Without, err = echo.ParseMechanisms(c.Without); err != nil {
		return options, err
	}
	return options, options.Validate()
}
