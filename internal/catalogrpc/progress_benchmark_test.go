package catalogrpc

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for another argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeldProgress measures the processor time of calls to partners that hold them and
// know nothing new, both ends together, over TLS on the loopback. Calls are sparse, as on a
// quiet day, so that the cost of waking up counts.
func BenchmarkHeldProgress(b *testing.B) {
	const pairs, wait = 40, 20 * time.Millisecond
	c := &fakeCatalog{ready: true, changed: make(chan struct{}), progress: feed.PeerProgress{
		Progress: catalog.Progress{Have: catalog.Have{Position: at(912_345), Version: 4711, HistoryFrom: at(812_345)}, Newest: at(912_340), Operator: at(912_300)},
		Age:      700 * time.Millisecond,
	}}
	ctx := context.Background()
	sources := make([]*Source, pairs)
	for i := range sources {
		sources[i] = newConnectedSource(b, quietCatalog{c})
	}
	call := func(wait time.Duration) {
		var group sync.WaitGroup
		for _, source := range sources {
			group.Go(func() {
				if _, err := source.Progress(ctx, c.progress, wait); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	}
	call(0) // connects
	before := processorTime()
	for b.Loop() {
		call(wait)
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N*pairs), "cpu-us/call")
}

// quietCatalog is a catalog that ignores what its callers tell.
type quietCatalog struct{ *fakeCatalog }

func (quietCatalog) NotePartner(string, feed.PeerProgress) {}
