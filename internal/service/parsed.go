package service

import (
	"fmt"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// Parsed is a service together with the file it came from.
type Parsed struct {
	File    string
	Service Service
}

// CheckTogether reports what is wrong between service files that are each
// valid: names, addresses and request hosts that are used twice.
func CheckTogether(files []Parsed) inifile.Problems {
	c := conflicts{
		names:     make(map[string]string),
		addresses: make(map[string]string),
		hosts:     make(map[string]string),
		upstreams: make(map[netip.AddrPort]string),
	}
	for _, file := range files {
		c.check(file)
	}
	return c.problems
}

// conflicts remembers which file used a value first.
type conflicts struct {
	names     map[string]string
	addresses map[string]string
	hosts     map[string]string
	upstreams map[netip.AddrPort]string
	problems  inifile.Problems
}

func (c *conflicts) check(file Parsed) {
	s := file.Service
	c.claim(c.names, s.Name, file.File, "service", "name", "give each service its own name")
	if s.Address.IsValid() {
		address := fmt.Sprintf("%s/%d", s.Address, s.Protocol)
		c.claim(c.addresses, address, file.File, "service", "address", "give each service its own address and port")
	}
	c.claim(c.hosts, s.RequestHost, file.File, "service", "request_host", "give each service its own request host")
	for _, u := range s.Upstreams {
		c.claimUpstream(u, file.File)
	}
}

func (c *conflicts) claim(owners map[string]string, value, file, section, key, remedy string) {
	if value == "" {
		return
	}
	if owner, ok := owners[value]; ok {
		c.report(file, section, key, fmt.Sprintf("%q is already used in %s", value, owner), remedy)
		return
	}
	owners[value] = file
}

func (c *conflicts) claimUpstream(u Upstream, file string) {
	if !u.Address.IsValid() {
		return
	}
	if owner, ok := c.upstreams[u.Address]; ok && owner != file {
		c.report(file, upstreamPrefix+u.Name, "address", fmt.Sprintf("%s is already an upstream in %s", u.Address, owner),
			"give each upstream its own IP:port")
		return
	}
	c.upstreams[u.Address] = file
}

func (c *conflicts) report(file, section, key, what, remedy string) {
	c.problems = append(c.problems, inifile.Problem{File: file, Section: section, Key: key, What: what, Remedy: remedy})
}
