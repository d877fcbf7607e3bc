package serve

import (
	"fmt"
	"net"
	"net/netip"
)

// Listen opens a TCP listener on the address, which is the value of the setting
// listen.<key>.
func Listen(key string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("settings:listen.%s: cannot listen on %s, use an address of this host with a free port: %w", key, address, err)
	}
	return listener, nil
}
