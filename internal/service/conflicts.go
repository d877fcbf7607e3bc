package service

import (
	"fmt"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// ParsedFile is a parsed service and the name of its file.
type ParsedFile struct {
	File    string
	Service Service
}

// CheckConflicts reports the names, addresses, request hosts and upstream addresses that are used
// by more than one file. It skips values that are empty or invalid.
func CheckConflicts(files []ParsedFile) inifile.Problems {
	c := conflictChecker{
		names:        make(map[string]string),
		addresses:    make(map[string]string),
		requestHosts: make(map[string]string),
		upstreams:    make(map[netip.AddrPort]string),
	}
	for _, file := range files {
		c.check(file)
	}
	return c.problems
}

// conflictChecker collects the problems. The maps hold the file that was the first to use a value.
type conflictChecker struct {
	names        map[string]string
	addresses    map[string]string
	requestHosts map[string]string
	upstreams    map[netip.AddrPort]string
	problems     inifile.Problems
}

// check compares a file with the files before it.
func (c *conflictChecker) check(file ParsedFile) {
	s := file.Service
	c.checkUnique(c.names, s.Name, file.File, "service", "name", "give each service its own name")
	if s.Address.IsValid() {
		address := fmt.Sprintf("%s/%d", s.Address, s.Protocol)
		c.checkUnique(c.addresses, address, file.File, "service", "address", "give each service its own address and port")
	}
	c.checkUnique(c.requestHosts, s.RequestHost, file.File, "service", "request_host", "give each service its own request host")
	for _, u := range s.Upstreams {
		c.checkUpstreamUnique(u, file.File)
	}
}

// checkUnique reports a problem if the value already has an owner, and otherwise makes the file its
// owner.
func (c *conflictChecker) checkUnique(owners map[string]string, value, file, section, key, remedy string) {
	if value == "" {
		return
	}
	if owner, ok := owners[value]; ok {
		c.report(file, section, key, fmt.Sprintf("%q is already used in %s", value, owner), remedy)
		return
	}
	owners[value] = file
}

// checkUpstreamUnique reports a problem if another file has an upstream with the same address. Parse
// has checked the upstreams within the file.
func (c *conflictChecker) checkUpstreamUnique(u Upstream, file string) {
	if !u.Address.IsValid() {
		return
	}
	if owner, ok := c.upstreams[u.Address]; ok && owner != file {
		c.report(file, upstreamSectionPrefix+u.Name, "address", fmt.Sprintf("%s is already an upstream in %s", u.Address, owner),
			"give each upstream its own IP:port")
		return
	}
	c.upstreams[u.Address] = file
}

func (c *conflictChecker) report(file, section, key, message, remedy string) {
	c.problems = append(c.problems, inifile.Problem{File: file, Section: section, Key: key, Message: message, Remedy: remedy})
}
