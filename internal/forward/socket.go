package forward

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
)

// receiveBufferSize is the size of the socket's receive buffer in bytes.
const receiveBufferSize = 4 << 20

// openSocket binds the packet socket and enlarges its receive buffer. If the
// system refuses the size, it logs a warning and keeps the system's default.
func openSocket(address netip.AddrPort, logger zerolog.Logger) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for packets on %s, which must be a free UDP address of this host: %w", address, err)
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		logger.Warn().Err(err).Int("bytes", receiveBufferSize).Msg("receive_buffer_not_set")
	}
	return conn, nil
}

// packetReader is the part of *net.UDPConn that receivePackets uses.
type packetReader interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
}

// receiveErrorPause is the pause after a failed receive, so that an error that lasts takes
// little CPU time and few log lines.
const receiveErrorPause = 10 * time.Millisecond

// receivePackets passes each datagram to handle until the socket is closed. The
// datagram is valid only during the call.
func receivePackets(conn packetReader, buffer []byte, logger zerolog.Logger, handle func(datagram []byte, source netip.AddrPort)) {
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logger.Warn().Err(err).Msg("packet_receive_failed")
			time.Sleep(receiveErrorPause)
			continue
		}
		handle(buffer[:n], source)
	}
}
