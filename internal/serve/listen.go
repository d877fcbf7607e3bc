package serve

import (
	"fmt"
	"net"
	"net/netip"
)

// Listen opens a TCP listener at the address. The key is the name of the setting in the
// section "listen" that holds the address, for the error message.
func Listen(key string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("settings:listen.%s: cannot listen on %s, use an address of this host with a free port: %w", key, address, err)
	}
	return listener, nil
}
