package evidencerpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"math"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// FuzzExchange passes a host a report of a child, and the same as the reply of its parent, as
// net/rpc decodes them. Whatever they hold, it must not panic or pass the engine a number that
// is none.
func FuzzExchange(f *testing.F) {
	for _, entry := range []evidence.Entry{
		{Upstream: 1, Answers: 3, Failed: 2, FailingHosts: 1, Strikes: 2, SilentHosts: 1, AnswerAge: evidence.NoAnswer},
		{Upstream: 1, Answers: -1, Strikes: math.MaxInt, SilentHosts: math.MinInt, StrikeAge: math.MinInt64, AnswerAge: math.MaxInt64},
		{Upstream: 2, Answers: float32(math.Inf(1)), Failed: float32(math.NaN())},
	} {
		var encoded bytes.Buffer
		args := ExchangeArgs{Report: evidence.Report{Entries: []evidence.Entry{entry, entry}, Depth: 1}, Version: 1}
		if err := gob.NewEncoder(&encoded).Encode(&args); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var args ExchangeArgs
		if gob.NewDecoder(bytes.NewReader(encoded)).Decode(&args) != nil {
			return
		}
		args.Wait, args.Version = 0, 0
		args.SetContext(context.Background())
		engine := &numberChecker{t: t}
		x := New(Options{Engine: engine, Now: func() time.Time { return time.Unix(1_000_000, 0) }})
		var reply ExchangeReply
		if err := NewService(x, "child").Exchange(&args, &reply); err != nil {
			t.Fatal(err)
		}
		parent := catalog.Host{Name: "parent"}
		x.SetParents([]catalog.Host{parent})
		x.merge(&parent, &ExchangeReply{Total: args.Report, Version: 7})
		x.nextCall()
	})
}

// numberChecker is an engine that has seen nothing itself.
type numberChecker struct{ t *testing.T }

func (*numberChecker) Evidence(time.Time, map[catalog.UpstreamID]struct{}) []evidence.Entry {
	return nil
}

func (c *numberChecker) EvidenceLifetime() time.Duration { return time.Second }

func (c *numberChecker) SetEvidence(_ time.Time, entries []evidence.Entry) {
	for _, e := range entries {
		if e.Answers != e.Answers || e.Failed != e.Failed {
			c.t.Errorf("not a number in %+v", e)
		}
	}
}
