package catalog

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// ConfigurationAdopted means that a newer configuration became the current one.
	ConfigurationAdopted EventKind = iota + 1
	// ConfigurationRefused means that a configuration was ignored because its version
	// is older than the current one.
	ConfigurationRefused
	// UpstreamAdded means that an upstream registered.
	UpstreamAdded
	// UpstreamChanged means that the contents of an upstream's registration changed.
	UpstreamChanged
	// UpstreamDraining means that an upstream announced that it will stop.
	UpstreamDraining
	// UpstreamRestarted means that another process registered under the same ID.
	UpstreamRestarted
	// UpstreamLapsed means that a registration expired during a store outage.
	UpstreamLapsed
	// UpstreamDeparted means that a registration was removed and is not expected back.
	UpstreamDeparted
	// HostJoined means that an entry host registered or that its registration was
	// written again.
	HostJoined
	// HostLeft means that an entry host's registration was removed.
	HostLeft
	// StoreRestored means that the store came back from an older copy.
	StoreRestored
	// RecordOutdated means that the store has an older record of an upstream than the
	// catalog, which keeps what it knows.
	RecordOutdated
	// PeerKeyLost means that the store came back without the peer key, or with one that
	// had been replaced.
	PeerKeyLost
	// EvacuationRequested means that a data centre is to be evacuated.
	EvacuationRequested
	// EvacuationWithdrawn means that a data centre is no longer to be evacuated.
	EvacuationWithdrawn
	// EvacuationKept means that the store came back without a request to evacuate a data
	// centre, or with one that had been removed, and that the catalog keeps what it knows.
	EvacuationKept
	// HistoryLearned means that another host has told what it knows of earlier
	// configurations.
	HistoryLearned
	// HistoryMissed means that configurations may have been in force that the catalog has
	// not seen: the store dropped its changes, or was restored.
	HistoryMissed
)

var eventNames = map[EventKind]string{
	ConfigurationAdopted: "configuration_adopted",
	ConfigurationRefused: "configuration_refused",
	UpstreamAdded:        "upstream_added",
	UpstreamChanged:      "upstream_changed",
	UpstreamDraining:     "upstream_draining",
	UpstreamRestarted:    "upstream_restarted",
	UpstreamLapsed:       "upstream_lapsed",
	UpstreamDeparted:     "upstream_departed",
	HostJoined:           "host_joined",
	HostLeft:             "host_left",
	StoreRestored:        "store_restored",
	RecordOutdated:       "record_outdated",
	PeerKeyLost:          "peer_key_lost",
	EvacuationRequested:  "evacuation_requested",
	EvacuationWithdrawn:  "evacuation_withdrawn",
	EvacuationKept:       "evacuation_kept",
	HistoryLearned:       "history_learned",
	HistoryMissed:        "history_missed",
}

// String returns the kind's name as it appears in logs.
func (k EventKind) String() string { return eventNames[k] }

// EventKinds returns all event kinds.
func EventKinds() []EventKind {
	kinds := make([]EventKind, 0, len(eventNames))
	for k := ConfigurationAdopted; k <= HistoryMissed; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Event describes a change to the catalog, for logging.
type Event struct {
	Kind EventKind
	// Position is where the store made the change, or the one from which on the catalog
	// knows all configurations. PreviousPosition is the position of the catalog before a
	// StoreRestored event, and the value of the latter before a HistoryLearned one.
	Position, PreviousPosition Position
	// Version is the version of the configuration that was adopted or refused,
	// PreviousVersion the one that was current before the event.
	Version, PreviousVersion uint64
	// Name and DataCentre identify the upstream or host that the event is about. Only
	// DataCentre is set for evacuations.
	Name, DataCentre string
	// Service is the upstream's service.
	Service string
	// Requested is set for EvacuationKept if what is kept is a request, not its removal.
	Requested bool
	// Former is the number of former services of routes.
	Former int
}

// maxPendingEvents is the maximum number of events between two calls of TakeEvents.
// Further ones are dropped.
const maxPendingEvents = 1024

// recordEvent stores an event until TakeEvents is called.
func (c *Catalog) recordEvent(event Event) {
	if len(c.events) < maxPendingEvents {
		c.events = append(c.events, event)
	}
}

// recordUpstreamEvent stores an event about an upstream. It does nothing before the
// first listing is complete: all upstreams are new then, and the reader of the listing
// logs the number of records in each page instead.
func (c *Catalog) recordUpstreamEvent(kind EventKind, u *Upstream, position Position) {
	if !c.Complete() {
		return
	}
	c.recordEvent(Event{Kind: kind, Position: position, Name: u.Name, DataCentre: u.DataCentre, Service: u.Service})
}

// recordHostEvent stores an event about an entry host. Like recordUpstreamEvent, it
// does nothing before the first listing is complete.
func (c *Catalog) recordHostEvent(h hostEntry) {
	kind := HostJoined
	if h.removed {
		kind = HostLeft
	}
	if c.Complete() {
		c.recordEvent(Event{Kind: kind, Position: h.position, Name: h.Name, DataCentre: h.DataCentre})
	}
}

// TakeEvents returns the events since the last call.
func (c *Catalog) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}
