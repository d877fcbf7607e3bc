package feed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Guards against a status that names the store while another host is read.
func TestStatusNamesTheSource(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.feed.selector.self = "a-1"
	g.Expect(f.feed.Status()).To(Equal(Status{Source: "store"}))
	f.poll()
	g.Expect(f.feed.Status()).To(Equal(Status{Position: at(7), Version: 1, LastContact: start, Source: "store"}))
	f.now = start.Add(time.Second)
	f.peer.update = catalog.Update{Position: at(8), Age: 300 * time.Millisecond}
	f.poll()
	g.Expect(f.feed.Status()).To(Equal(Status{Position: at(8), Version: 1, LastContact: f.now.Add(-300 * time.Millisecond), Source: "a-0"}))
}
