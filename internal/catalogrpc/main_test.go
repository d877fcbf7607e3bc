package catalogrpc

import (
	"net/netip"
	"testing"

	"go.uber.org/goleak"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
