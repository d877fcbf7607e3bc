package idle

import (
	"fmt"
	"time"
)

// Limits of Options.
const (
	maxDataCentres = 7
	maxHosts       = 60
	minDuration    = time.Second
)

// Options configures a measurement.
type Options struct {
	// Daemon is the path of the oatlatchd to run.
	Daemon string
	// DataCentres and Hosts are the numbers of data centres and of hosts in all of them.
	DataCentres, Hosts int
	// Upstreams and Routes are the numbers of registered upstreams and configured routes.
	Upstreams, Routes int
	// Settle is the time from when all hosts are ready until the measurement, which takes
	// Duration.
	Settle, Duration time.Duration
}

// Validate returns an error if the options cannot be measured.
func (o *Options) Validate() error {
	switch {
	case o.DataCentres < 1 || o.DataCentres > maxDataCentres:
		return fmt.Errorf("%d data centres: use 1 to %d", o.DataCentres, maxDataCentres)
	case o.Hosts < o.DataCentres || o.Hosts > maxHosts:
		return fmt.Errorf("%d hosts: use %d to %d", o.Hosts, o.DataCentres, maxHosts)
	case o.Upstreams < 0 || o.Routes < 0 || o.Settle < 0:
		return fmt.Errorf("negative number of upstreams or routes, or time: use 0 or more")
	case o.Duration < minDuration:
		return fmt.Errorf("a measurement of %s: use %s or more", o.Duration, minDuration)
	}
	return nil
}
