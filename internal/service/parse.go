package service

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"sync"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// upstreamSectionPrefix is the prefix of the names of upstream sections, before the upstream's name.
const upstreamSectionPrefix = "upstream "

// Patterns of values. They are compiled at first use, so that hosts, which read no service files,
// start faster.
var (
	namePattern = lazyRegexp(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern = lazyRegexp(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern = lazyRegexp(`^/[A-Za-z0-9._~/-]{0,200}$`)
)

// lazyRegexp returns a function that compiles the expression on its first call and then returns
// the same Regexp.
func lazyRegexp(expression string) func() *regexp.Regexp {
	return sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(expression) })
}

// Descriptions of the patterns for problem reports.
const (
	nameFormat = "lower-case letters, digits and hyphens, at most 63"
	hostFormat = "a lower-case host name without port"
	pathFormat = "a path of letters, digits and ._~/-"
)

// Parse parses a service file; file is its name in the reported problems. The service is valid
// only if no problem is returned.
func Parse(file string, data []byte) (Service, inifile.Problems) {
	f := inifile.Parse(file, data)
	var s Service
	if len(f.Sections()) > 0 {
		parseServiceSection(f, &s)
		parseSharingSection(f, &s)
		parseChecksSection(f, &s)
		parseUpstreamSections(f, &s)
	}
	return s, f.Problems()
}

func parseServiceSection(f *inifile.File, s *Service) {
	section := f.Section("service", true)
	s.Name = section.Match("name", namePattern(), nameFormat, "berth-desk")
	s.Region = section.Match("region", namePattern(), nameFormat, "casa-north")
	s.Address = section.AddrPort("address", "203.0.113.10:443")
	s.Protocol = TCP
	if section.Choice("protocol", "tcp", "tcp", "udp") == "udp" {
		s.Protocol = UDP
	}
	if text := section.String("request_host", ""); text != "" {
		s.RequestHost = section.Match("request_host", hostPattern(), hostFormat, "berth-desk.amarres.example")
	}
}

func parseSharingSection(f *inifile.File, s *Service) {
	section := f.Section("sharing", false)
	s.Prefer = Preference(section.Choice("prefer", string(PreferFlows), string(PreferFlows), string(PreferBalance)))
	threshold := defaultFlowsDeviationThreshold
	if s.Prefer == PreferBalance {
		threshold = defaultBalanceDeviationThreshold
	}
	s.DeviationThreshold = section.Float("deviation_threshold", threshold, 0, maxDeviationThreshold)
	s.DrainLimit = section.Duration("drain_limit", defaultDrainLimit, minDrainLimit, maxDrainLimit)
	s.IdleTimeout = section.Duration("idle_timeout", defaultIdleTimeout, minIdleTimeout, maxIdleTimeout)
	s.SlowStart = section.Duration("slow_start", defaultSlowStart, 0, maxSlowStart)
}

func parseChecksSection(f *inifile.File, s *Service) {
	section := f.Section("checks", false)
	s.HealthPath = parsePath(section, "health_path", "/health")
	s.LoadPath = parsePath(section, "load_path", "/load")
}

// parsePath returns the path at an optional key; empty if the key is absent or empty.
func parsePath(section *inifile.Section, key, example string) string {
	if section.String(key, "") == "" {
		return ""
	}
	return section.Match(key, pathPattern(), pathFormat, example)
}

func parseUpstreamSections(f *inifile.File, s *Service) {
	sections := f.SectionsWithPrefix(upstreamSectionPrefix)
	if len(sections) == 0 {
		f.Report("upstream", "", "the service has no upstream", "add an [upstream NAME] section for each target")
		return
	}
	if len(sections) > maxUpstreams {
		f.Report("upstream", "", fmt.Sprintf("the service has %d upstreams", len(sections)),
			fmt.Sprintf("write at most %d", maxUpstreams))
		return
	}
	seen := make(map[netip.AddrPort]string)
	for _, section := range sections {
		u := parseUpstreamSection(section)
		if first, ok := seen[u.Address]; ok && u.Address.IsValid() {
			section.Report("address", fmt.Sprintf("%s is also the address of upstream %s", u.Address, first),
				"give each upstream its own IP:port")
		}
		seen[u.Address] = u.Name
		s.Upstreams = append(s.Upstreams, u)
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Name < s.Upstreams[j].Name })
}

func parseUpstreamSection(section *inifile.Section) Upstream {
	u := Upstream{Name: strings.TrimSpace(strings.TrimPrefix(section.Name(), upstreamSectionPrefix))}
	if !namePattern().MatchString(u.Name) {
		section.Report("", "the upstream's name is not valid", "write "+nameFormat+", such as [upstream bd-01]")
	}
	u.DataCentre = section.Match("data_centre", namePattern(), nameFormat, "tanger-quay")
	u.Address = section.AddrPort("address", "10.20.1.11:8443")
	port := section.Uint("packet_port", genevePort, 1, 65535)
	if u.Address.IsValid() {
		u.PacketAddress = netip.AddrPortFrom(u.Address.Addr(), uint16(port))
	}
	u.Weight = section.Uint("weight", 1, 1, maxWeight)
	u.Slots = section.Uint("slots", defaultSlots, 1, maxSlots)
	u.Connections = section.Uint("connections", defaultConnections, 1, maxConnections)
	u.State = AdminState(section.Choice("state", string(AdminActive), string(AdminActive), string(AdminDraining)))
	return u
}
