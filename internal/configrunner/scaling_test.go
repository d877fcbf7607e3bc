package configrunner_test

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/oatlatch/oatlatch/internal/configrunner"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/onsi/gomega"
)

// countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkScalingMessage measures the bytes of one pull without a newer version, in both
// directions, on an open net/rpc connection without TLS.
func BenchmarkScalingMessage(b *testing.B) {
	store, c := fake.NewStore(), newCluster()
	version := publish(b, store, 1, newService("a", 1, 1))
	n := c.start(b, 0, 1, fake.NewClient(store))
	gomega.NewWithT(b).Eventually(n.version, adoptionTimeout).Should(gomega.Equal(version))
	server := rpc.NewServer()
	if err := server.RegisterName("Config", n.runner.PeerService(host.ID("peer"))); err != nil {
		b.Fatal(err)
	}
	var written atomic.Int64
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(countingConn{serverConn, &written})
	client := rpc.NewClient(countingConn{clientConn, &written})
	defer client.Close()
	pull := func() {
		var reply configrunner.PullReply
		if err := client.Call("Config.Pull", configrunner.PullArgs{Version: version}, &reply); err != nil {
			b.Fatal(err)
		}
	}
	// The first call also transmits the gob type definitions.
	pull()
	written.Store(0)
	b.ResetTimer()
	for range b.N {
		pull()
	}
	b.ReportMetric(float64(written.Load())/float64(b.N), "B/pull")
}
