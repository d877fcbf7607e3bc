package config

import (
	"fmt"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/service"
)

// endpoint is the address and protocol of a service.
type endpoint struct {
	address  netip.AddrPort
	protocol service.Protocol
}

// CheckDuplicates returns a *DuplicateError if two services share a name, an address together
// with its protocol, or a request host.
func CheckDuplicates(services []service.Service) error {
	names := make(map[string]bool, len(services))
	addresses := make(map[endpoint]string, len(services))
	requestHosts := make(map[string]string, len(services))
	for _, svc := range services {
		if names[svc.Name] {
			return &DuplicateError{Kind: "name", Value: fmt.Sprintf("%q", svc.Name), First: svc.Name, Second: svc.Name}
		}
		names[svc.Name] = true
		ep := endpoint{svc.Address, svc.Protocol}
		if first, taken := addresses[ep]; taken {
			return &DuplicateError{Kind: "address", Value: svc.Address.String(), First: first, Second: svc.Name}
		}
		addresses[ep] = svc.Name
		if svc.RequestHost == "" {
			continue
		}
		if first, taken := requestHosts[svc.RequestHost]; taken {
			return &DuplicateError{Kind: "request host", Value: svc.RequestHost, First: first, Second: svc.Name}
		}
		requestHosts[svc.RequestHost] = svc.Name
	}
	return nil
}

// CheckDuplicateUpstreams returns a *DuplicateError if two services share the request address of
// an upstream, because the upstream could not tell which service a request is for.
func CheckDuplicateUpstreams(services []service.Service) error {
	owners := make(map[netip.AddrPort]string)
	for _, svc := range services {
		for _, upstream := range svc.Upstreams {
			if first, taken := owners[upstream.Address]; taken && first != svc.Name {
				return &DuplicateError{Kind: "upstream address", Value: upstream.Address.String(), First: first, Second: svc.Name}
			}
			owners[upstream.Address] = svc.Name
		}
	}
	return nil
}
