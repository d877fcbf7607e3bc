package forward

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// controlHeaderSize and controlSize are the sizes in bytes of a control message's header, on
	// 64-bit systems, and of the whole message with a time in seconds and nanoseconds.
	controlHeaderSize = 16
	controlSize       = controlHeaderSize + 16
	// maxWait is the longest time for which a packet is taken to have waited. Callers give up
	// long before; a longer one shows that the clock was set.
	maxWait = time.Minute
)

// timedConn is a socket whose packets have the time at which the system received them. It is
// used by one goroutine.
type timedConn struct {
	*net.UDPConn
	now     func() time.Time
	control [controlSize]byte
	// standstill tells how long packets waited because the process did not run.
	standstill standstill
	// delayed is how long the last packet waited for that reason.
	delayed time.Duration
}

// newTimedConn returns the socket with times of receipt. After an error, the socket has none.
func newTimedConn(conn *net.UDPConn, now func() time.Time) (*timedConn, error) {
	c := &timedConn{UDPConn: conn, now: now}
	raw, err := conn.SyscallConn()
	if err != nil {
		return c, fmt.Errorf("access the packet socket: %w", err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return c, fmt.Errorf("access the packet socket: %w", err)
	}
	if optionErr != nil {
		return c, fmt.Errorf("request times of receipt: %w", optionErr)
	}
	return c, nil
}

// ReadFromUDPAddrPort reads one packet.
func (c *timedConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	n, controlLength, _, source, err := c.ReadMsgUDPAddrPort(buffer, c.control[:])
	if err != nil {
		return n, source, err
	}
	now := c.now().Round(0) // the system's times are of the wall clock
	received, ok := receiptTime(c.control[:controlLength])
	if wait := now.Sub(received); !ok || wait < 0 || wait > maxWait {
		received = now
	}
	c.delayed = c.standstill.observe(now, received)
	return n, source, nil
}

// receiptTime returns the time in a control message. It returns false if there is none.
func receiptTime(control []byte) (time.Time, bool) {
	if len(control) < controlSize || binary.NativeEndian.Uint64(control) < controlSize ||
		binary.NativeEndian.Uint32(control[8:]) != unix.SOL_SOCKET || binary.NativeEndian.Uint32(control[12:]) != unix.SCM_TIMESTAMPNS {
		return time.Time{}, false
	}
	seconds, nanoseconds := binary.NativeEndian.Uint64(control[controlHeaderSize:]), binary.NativeEndian.Uint64(control[controlHeaderSize+8:])
	return time.Unix(int64(seconds), int64(nanoseconds)), true
}
