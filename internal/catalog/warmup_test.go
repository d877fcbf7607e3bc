package catalog

import (
	"testing"
	"time"
)

// TestWarmUpEndsByRecord guards against an upstream that counts as cold although its
// process says that it is warm, and against one that counts as warm because a record of
// another process or an older one says so.
func TestWarmUpEndsByRecord(t *testing.T) {
	record := func(revision, sequence uint64, started int64, warmup time.Duration) Change {
		u := upstream("i-1")
		u.Warmup, u.RecordID = warmup, RecordID{Started: time.UnixMilli(started), Sequence: sequence}
		return Change{Position: at(revision), Upstream: u}
	}
	tests := []struct {
		name  string
		later Change
		want  time.Duration
	}{
		{"later record", record(6, 2, 100, 0), time.Second},
		{"later record that is still cold", record(6, 2, 100, 5*time.Second), 6 * time.Second},
		{"same record again", record(6, 1, 100, 0), 4 * time.Second},
		{"older record", record(6, 0, 100, 0), 4 * time.Second},
		{"another process that says nothing", record(6, 3, 200, 0), 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(Options{})
			applyListing(c, start, 5, record(5, 1, 100, 4*time.Second))
			c.Apply(start.Add(time.Second), Update{Changes: []Change{test.later}, Position: at(6)})
			if got := c.upstreams["i-1"].WarmUntil.Sub(start); got != test.want {
				t.Errorf("warm after %v, want %v", got, test.want)
			}
		})
	}
}
