package echo

import (
	"fmt"
	"strings"
)

// Mechanism is a part of the engine that can be switched off to measure what it is worth.
type Mechanism uint8

// Mechanisms.
const (
	// AdmissionQueue lets new flows wait for a slot.
	AdmissionQueue Mechanism = iota
	// OverloadRefusal refuses new flows while an overload lasts.
	OverloadRefusal
	// DeadlineRefusal refuses new flows that cannot be served before their deadline.
	DeadlineRefusal
	// WarmupWeight counts fewer slots of an upstream that warms up.
	WarmupWeight
	// RemotePenalty keeps new flows in the data centre until its slots are in use.
	RemotePenalty
	// Suspicion keeps new flows from upstreams that do not answer.
	Suspicion
	// DataCentreSuspicion suspects all upstreams of a silent data centre.
	DataCentreSuspicion
	// DataCentreSilence keeps new flows from a data centre that leaves all unanswered.
	DataCentreSilence
	// HoldDown keeps probes from clearing an upstream that falls silent again and again.
	HoldDown
	// UnreachableReset resets repeatable requests at suspected upstreams.
	UnreachableReset
	// PauseGrace ignores retransmissions after a pause of this host.
	PauseGrace
	// FailedCost makes upstreams with failed answers less attractive.
	FailedCost
	// Ejection keeps new flows from upstreams whose answers look failed.
	Ejection
	// OverdueRequests counts requests without an answer as failed.
	OverdueRequests
	// SharedEvidence uses the evidence of other hosts.
	SharedEvidence
	// RecentRequests prefers, of equally used upstreams, the one with the fewest of this host's
	// recent requests.
	RecentRequests
	// IdleReset resets flows without a request at upstreams that have failed.
	IdleReset
	// SpeedWeight counts recent requests by their response times.
	SpeedWeight
	// WarmupBudget limits the opening packets to upstreams that warm up.
	WarmupBudget
	// FairQueueing admits waiting flows in turn by route and caller.
	FairQueueing
	// SpillOver lets a share of new flows leave the data centre while local response times
	// are longer than usual and than elsewhere.
	SpillOver
	// MuteDetection keeps requests from upstreams that accept them and answer none.
	MuteDetection

	mechanismCount
)

var mechanismNames = [mechanismCount]string{
	AdmissionQueue: "admission-queue", OverloadRefusal: "overload-refusal", DeadlineRefusal: "deadline-refusal", WarmupWeight: "warmup-weight",
	RemotePenalty: "remote-penalty", Suspicion: "suspicion", DataCentreSuspicion: "data-centre-suspicion", DataCentreSilence: "data-centre-silence", HoldDown: "hold-down",
	UnreachableReset: "unreachable-reset", PauseGrace: "pause-grace", FailedCost: "failed-cost", Ejection: "ejection",
	OverdueRequests: "overdue-requests", SharedEvidence: "shared-evidence", RecentRequests: "recent-requests", IdleReset: "idle-reset",
	SpeedWeight: "speed-weight", WarmupBudget: "warmup-budget", FairQueueing: "fair-queueing", SpillOver: "spill-over",
	MuteDetection: "mute-detection",
}

// String returns the mechanism's name.
func (m Mechanism) String() string { return mechanismNames[m] }

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	all := make([]Mechanism, mechanismCount)
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// MechanismSet is a set of mechanisms.
type MechanismSet uint32

// Has reports whether the set contains the mechanism.
func (s MechanismSet) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// ParseMechanisms returns the set of the mechanisms whose names the text lists, separated
// by commas. An empty text lists none.
func ParseMechanisms(text string) (MechanismSet, error) {
	var set MechanismSet
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		found := false
		for _, m := range Mechanisms() {
			if m.String() == name {
				set, found = set|1<<m, true
			}
		}
		if !found {
			return 0, fmt.Errorf("unknown mechanism %q: use some of %s", name, strings.Join(mechanismNames[:], ", "))
		}
	}
	return set, nil
}
