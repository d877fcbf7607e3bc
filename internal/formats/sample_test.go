package formats

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// Samples of what hosts send and store. Recorded builds have written the same values, so these do
// not change: a new field gets a sample of its own.
var (
	samplePosition = catalog.Position{Epoch: 2, Revision: 912345}
	earlier        = catalog.Position{Epoch: 2, Revision: 912300}

	sampleRoute = catalog.Route{
		Name: "watch", Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []catalog.Share{{Service: "desk", Weight: 3}, {Service: "plans", Weight: 1}},
		Repeatable: true, Timeout: 2500 * time.Millisecond, Objective: 500 * time.Millisecond, Priority: 2, AllowedRegions: []string{"north"},
	}
	sampleConfiguration = catalog.Configuration{
		Version: 103, Routes: []catalog.Route{sampleRoute}, HealthPaths: map[string]string{"desk": "/healthz"},
		Warmups: map[string]catalog.Warmup{"desk": {}}, IdleTimeout: 15 * time.Second,
	}
	sampleUpstream = catalog.Upstream{
		ID: 0x9e16b79e8c, Name: "i-9e16b79e8c", Service: "desk", Address: netip.MustParseAddrPort("10.1.64.39:8367"), DataCentre: "quay-a", Slots: 2,
		Draining: true, Warmup: 3 * time.Second, RecordID: catalog.RecordID{Started: time.UnixMilli(1_790_000_000_000).UTC(), Sequence: 17},
	}
	sampleHost = catalog.Host{
		Name: "entry-1", DataCentre: "quay-a", Peer: netip.MustParseAddrPort("10.1.0.10:7735"), Seed: netip.MustParseAddrPort("10.1.0.10:7720"), Bandwidth: 200, Joined: 7,
	}
	sampleHistory = catalog.History{From: earlier, Age: time.Minute, Former: []catalog.FormerService{
		{Address: netip.MustParseAddrPort("198.18.0.2:443"), Service: "plans", Dropped: earlier, Age: time.Second},
	}}
	sampleChanges = []catalog.Change{
		{Position: earlier, PeerKey: []byte("0123456789abcdef0123456789abcdef")},
		{Position: earlier, Configuration: &sampleConfiguration},
		{Position: earlier, Upstream: &sampleUpstream},
		{Position: earlier, Host: &sampleHost},
		{Position: earlier, HostRemoved: "entry-2"},
		{Position: samplePosition, Removed: "i-1", LastRecord: catalog.RecordID{Sequence: 4}, LastRegistration: &sampleUpstream, RemovedAge: time.Second, Lapsed: true},
		{Position: samplePosition, Override: true, Upstream: &sampleUpstream, Stored: &sampleUpstream},
		{Position: samplePosition, Snapshot: &catalog.StoredSnapshot{Written: samplePosition, Have: sampleHave}},
		{Position: samplePosition, Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-b", Age: 3 * time.Second, AfterRestore: true, Origin: earlier, KeptFor: time.Second}},
	}
	sampleHave = catalog.Have{Position: samplePosition, Version: 103, Overrides: 1, HistoryFrom: earlier, Former: catalog.FormerDigest{Count: 1}, Ahead: samplePosition}

	samplePage     = catalog.Page{Changes: sampleChanges, Position: samplePosition, Current: true, Age: 700 * time.Millisecond, Via: "entry-3", History: &sampleHistory}
	sampleUpdate   = catalog.Update{Changes: sampleChanges[:4], Position: samplePosition, Age: 700 * time.Millisecond, Via: "entry-3", History: &sampleHistory, Isolated: true}
	sampleProgress = catalog.Progress{Have: sampleHave, Newest: samplePosition, Operator: earlier}
	sampleReport   = evidence.Report{
		Entries: []evidence.Entry{{
			Upstream: sampleUpstream.ID, Answers: 8, Failed: 4, FailingHosts: 2, Strikes: 3, SilentHosts: 2, StrikeAge: 300 * time.Millisecond, AnswerAge: time.Second,
		}},
		Depth: 2,
		Sums: evidence.Sums{Hosts: 9, Depth: 2, Evacuations: []evidence.EvacuationSum{{
			DataCentre: "quay-b", Position: samplePosition, Hosts: 8, OpenFlows: 120, Outstanding: 3,
		}}},
	}
)
