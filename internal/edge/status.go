package edge

import "time"

// StatusPath is the path of the host's status at its metrics address.
const StatusPath = "/status"

// StatusKind is the Kind of a Status. It distinguishes the status of an edge host from that
// of the other kind of daemon.
const StatusKind = "edge"

// Sources of what a host knows other than the names of hosts and "store".
const (
	// SourceNone means that the host knows nothing yet.
	SourceNone = "none"
	// SourceSeed means that the host serves by what a seed told it.
	SourceSeed = "seed"
)

// Status is the state of a host as JSON. Flows and requests are those of this host, but for
// the totals of EvacuationStatus.
type Status struct {
	Kind       string `json:"kind"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// Now is the host's clock, Started when the process started.
	Now     time.Time `json:"now"`
	Started time.Time `json:"started"`
	// ConfigurationVersion is the version by which packets are forwarded; 0 if there is none.
	ConfigurationVersion uint64          `json:"configuration_version"`
	Knowledge            KnowledgeStatus `json:"knowledge"`
	Flows                int             `json:"flows"`
	WaitingFlows         int             `json:"waiting_flows"`
	// Evacuations are those in force on this host, sorted by data centre.
	Evacuations          []EvacuationStatus    `json:"evacuations"`
	EvacuationsElsewhere []EvacuationElsewhere `json:"evacuations_elsewhere"`
	UpstreamCounts       UpstreamCounts        `json:"upstream_counts"`
	// Upstreams are those that are cold, draining, suspected or ejected: first the ejected
	// and suspected ones, then the draining and the cold ones, each sorted by name.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// UpstreamsOmitted is the number of those that would exceed the size of the status.
	UpstreamsOmitted int `json:"upstreams_omitted"`
}

// KnowledgeStatus tells how old what a host knows is, and from where it comes.
type KnowledgeStatus struct {
	// Source is the name of the host that is read, "store", SourceNone or SourceSeed.
	Source   string `json:"source"`
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// AgeMillis is the time since the store last answered, directly or through other hosts;
	// nil if it never did.
	AgeMillis *int64 `json:"age_ms"`
}

// EvacuationStatus is an evacuated data centre.
type EvacuationStatus struct {
	DataCentre string `json:"data_centre"`
	// Since is when a host first knew of the request, Epoch and Revision where the store
	// wrote it.
	Since    time.Time `json:"since"`
	Epoch    uint64    `json:"epoch"`
	Revision uint64    `json:"revision"`
	// Upstreams is the number of upstreams there that are registered and do not drain.
	Upstreams   int `json:"upstreams"`
	OpenFlows   int `json:"open_flows"`
	Outstanding int `json:"outstanding"`
	EvacuationTotals
}

// EvacuationElsewhere is a request to evacuate a data centre that other hosts have in force
// and this one has not.
type EvacuationElsewhere struct {
	DataCentre string `json:"data_centre"`
	Epoch      uint64 `json:"epoch"`
	Revision   uint64 `json:"revision"`
	EvacuationTotals
}

// EvacuationTotals are the numbers of all hosts.
type EvacuationTotals struct {
	// HostsInForce is the number of hosts that have the request in force, of HostsCounted
	// whose reports have arrived lately, of HostsKnown in the catalog. It may be 0 for a
	// moment after this host has put the request in force.
	HostsInForce int `json:"hosts_in_force"`
	HostsCounted int `json:"hosts_counted"`
	HostsKnown   int `json:"hosts_known"`
	// OpenFlowsTotal and OutstandingTotal are those of the hosts in force together.
	OpenFlowsTotal   int `json:"open_flows_total"`
	OutstandingTotal int `json:"outstanding_total"`
}

// UpstreamCounts are numbers of upstreams by state. Suspected, ejected and cold ones also
// count in the other states.
type UpstreamCounts struct {
	Usable    int `json:"usable"`
	Draining  int `json:"draining"`
	Departed  int `json:"departed"`
	Evacuated int `json:"evacuated"`
	Suspected int `json:"suspected"`
	Ejected   int `json:"ejected"`
	Cold      int `json:"cold"`
}

// UpstreamStatus is an upstream that is cold, draining, suspected or ejected.
type UpstreamStatus struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Draining   bool   `json:"draining"`
	Evacuated  bool   `json:"evacuated"`
	// ColdMillis is how long the upstream stays cold.
	ColdMillis int64            `json:"cold_ms"`
	Suspicion  *SuspicionStatus `json:"suspicion"`
	Ejection   *EjectionStatus  `json:"ejection"`
	OpenFlows  int              `json:"open_flows"`
	// Outstanding is the number of requests without an answer.
	Outstanding int `json:"outstanding"`
}

// SuspicionStatus tells since when and why an upstream is suspected.
type SuspicionStatus struct {
	Since  time.Time `json:"since"`
	Reason string    `json:"reason"`
}

// EjectionStatus tells until when and why an upstream is ejected.
type EjectionStatus struct {
	// Until may be past: then the upstream gets Share of its new flows.
	Until time.Time `json:"until"`
	Share float64   `json:"share"`
	// Answers, Failed and Hosts are the numbers of answers, failed ones, and hosts that had
	// failed ones, which led to the ejection.
	Answers float64 `json:"answers"`
	Failed  float64 `json:"failed"`
	Hosts   int     `json:"hosts"`
}
