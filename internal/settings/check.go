package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// The limits that Check accepts for the settings. Sizes are in bytes.
const (
	maxWorkers        = 256
	minFlows          = 1024
	maxFlows          = 16_000_000
	maxConnections    = 1_000_000
	maxBodyBytes      = 768 << 10
	minHeaderBytes    = 1024
	maxHeaderBytes    = 128 << 10
	maxQueue          = 1_000_000
	maxDuration       = 24 * time.Hour
	maxCallsPerSecond = 1000.0
)

// namePattern matches the names of hosts, data centres and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9./-]{0,61}[a-z0-9])?$`)

// checker collects the problems found in settings. Its methods that check a value
// report a problem if the value is invalid.
type checker struct {
	problems inifile.Problems
}

// Check returns an error that lists every invalid setting with a remedy, or nil if all
// are valid.
func (s *Settings) Check() error {
	c := &checker{}
	c.name("id", s.Host.ID)
	c.name("data_centre", s.Host.DataCentre)
	c.name("region", s.Host.Region)
	c.advertisedAddress("peer", s.Listen.Peer)
	c.advertisedAddress("packet", s.Listen.Packet)
	c.advertisedAddress("request", s.Listen.Request)
	c.advertisedAddress("admin", s.Listen.Admin)
	c.tls(s)
	c.intInRange("flows", int64(s.Limits.Flows), minFlows, maxFlows)
	c.intInRange("workers", int64(s.Limits.Workers), 1, maxWorkers)
	c.intInRange("connections", int64(s.Limits.Connections), 1, maxConnections)
	c.intInRange("request_body", s.Limits.RequestBody, 0, maxBodyBytes)
	c.intInRange("request_header", int64(s.Limits.RequestHeader), minHeaderBytes, maxHeaderBytes)
	c.intInRange("queue", int64(s.Limits.Queue), 0, maxQueue)
	c.duration("limits", "deadline", s.Limits.Deadline)
	c.duration("platform", "deadline", s.Platform.Deadline)
	c.duration("stop", "time_limit", s.Stop.TimeLimit)
	if !(s.Platform.CallsPerSecond > 0 && s.Platform.CallsPerSecond <= maxCallsPerSecond) {
		c.report("platform", "calls_per_second", fmt.Sprintf("%g is out of range", s.Platform.CallsPerSecond),
			fmt.Sprintf("write a number above 0 and at most %g", maxCallsPerSecond))
	}
	return c.problems.Err()
}

func (c *checker) report(section, key, message, remedy string) {
	c.problems = append(c.problems, inifile.Problem{File: "settings", Section: section, Key: key, Message: message, Remedy: remedy})
}

// name checks a key of section host whose value is a name.
func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.report("host", key, fmt.Sprintf("%q is not a valid name", value), "write lower-case letters, digits, hyphens, dots and slashes")
	}
}

// canListen reports whether the address is one that other hosts can connect to: it is neither
// missing nor unspecified, such as 0.0.0.0. Port 0, for any free port, is for trials on
// loopback.
func canListen(address netip.AddrPort) bool {
	return address.IsValid() && !address.Addr().IsUnspecified() && (address.Port() != 0 || address.Addr().IsLoopback())
}

// advertisedAddress reports an address that other hosts cannot connect to.
func (c *checker) advertisedAddress(key string, address netip.AddrPort) {
	if !canListen(address) {
		c.report("listen", key, fmt.Sprintf("%s cannot be advertised to other hosts", address), "write the IP:port that other hosts reach, such as 10.20.1.1:7401")
	}
}

// tls reports TLS settings of which only some are given. If none are given, it reports
// a peer or admin address that is not on loopback.
func (c *checker) tls(s *Settings) {
	set := 0
	for _, pem := range []string{s.TLS.CA, s.TLS.Certificate, s.TLS.Key} {
		if pem != "" {
			set++
		}
	}
	switch {
	case set == 3:
	case set != 0:
		c.report("tls", "", "only some of ca, certificate and key are given", "give all three, or none on loopback")
	case !s.Listen.Peer.Addr().IsLoopback():
		c.report("tls", "", "plain peer connections are accepted on loopback only", "give ca, certificate and key")
	case !s.Listen.Admin.Addr().IsLoopback():
		c.report("tls", "", "plain admin pages are served on loopback only", "give ca, certificate and key, or a loopback listen.admin")
	}
}

// intInRange checks a key of section limits against the inclusive range.
func (c *checker) intInRange(key string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		c.report("limits", key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write a whole number from %d to %d", lowest, highest))
	}
}

// duration checks that a duration is above 0 and at most maxDuration.
func (c *checker) duration(section, key string, value time.Duration) {
	if value <= 0 || value > maxDuration {
		c.report(section, key, fmt.Sprintf("%s is out of range", value), "write a duration above 0 and at most 24h")
	}
}
