package feed

import "github.com/oatlatch/oatlatch/internal/catalog"

// publishView logs the catalog's events with the source that was read last. If the view
// changed, it also wakes the calls of other hosts, and calls OnView under the conditions
// stated there, and OnHosts.
func (f *Feed) publishView(source string) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.mu.Lock()
	var messages []outgoing
	view, ok := f.catalog.TakeView()
	events := f.catalog.TakeEvents()
	listed := f.listed
	if ok {
		close(f.changed)
		f.changed = make(chan struct{})
		f.selector.setHosts(view.Hosts)
		f.partners.setHosts(view.Hosts)
		f.forgetNeighboursLocked()
		f.startOperatorLocked()
		messages = f.tellNewsLocked(f.options.Clock.Now())
		f.tellPartnersSoonLocked()
	}
	f.mu.Unlock()
	f.send(messages)
	f.logEvents(source, events)
	if ok {
		f.unpublished = &view
	}
	if v := f.unpublished; v != nil && v.Configuration != nil && (listed || len(v.Upstreams) > 0) {
		f.unpublished = nil
		f.options.OnView(*v)
	}
	if ok && f.options.OnHosts != nil {
		f.options.OnHosts(view)
	}
}

// logEvents logs changes of the catalog together with their source.
func (f *Feed) logEvents(source string, events []catalog.Event) {
	for _, e := range events {
		line := f.options.Logger.Info().Str("source", source).Uint64("epoch", e.Position.Epoch).Uint64("revision", e.Position.Revision)
		switch e.Kind {
		case catalog.StoreRestored:
			f.options.Metrics.restores.Inc()
			line = line.Uint64("epoch_before", e.PreviousPosition.Epoch).Uint64("revision_before", e.PreviousPosition.Revision)
		case catalog.PeerKeyLost:
		case catalog.EvacuationRequested, catalog.EvacuationWithdrawn:
			line = line.Str("data_centre", e.DataCentre)
		case catalog.EvacuationKept:
			line = line.Str("data_centre", e.DataCentre).Bool("requested", e.Requested)
		case catalog.HistoryLearned, catalog.HistoryMissed:
			line = line.Uint64("epoch_before", e.PreviousPosition.Epoch).Uint64("revision_before", e.PreviousPosition.Revision).Int("former_services", e.Former)
		case catalog.ConfigurationAdopted, catalog.ConfigurationRefused:
			line = line.Uint64("version", e.Version).Uint64("before", e.PreviousVersion)
		case catalog.HostJoined, catalog.HostLeft:
			line = line.Str("peer", e.Name).Str("data_centre", e.DataCentre)
		default:
			line = line.Str("upstream", e.Name).Str("service", e.Service).Str("data_centre", e.DataCentre)
		}
		line.Msg(e.Kind.String())
	}
}
