package feed

import "github.com/oatlatch/oatlatch/internal/catalog"

// publishView logs the catalog's events. If the view changed, it also wakes the watches
// of other hosts, and calls OnView under the conditions stated there.
func (f *Feed) publishView() {
	f.mu.Lock()
	view, ok := f.catalog.TakeView()
	events := f.catalog.TakeEvents()
	if ok {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	f.logEvents(events)
	if ok {
		f.selector.setHosts(view.Hosts)
		f.unpublished = &view
	}
	if v := f.unpublished; v != nil && v.Configuration != nil && (f.listed || len(v.Upstreams) > 0) {
		f.unpublished = nil
		f.options.OnView(*v)
	}
}

// logEvents logs changes of the catalog together with the source that was read last.
func (f *Feed) logEvents(events []catalog.Event) {
	for _, e := range events {
		line := f.options.Logger.Info().Str("source", f.currentSource).Uint64("epoch", e.Position.Epoch).Uint64("revision", e.Position.Revision)
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
			line = line.Str("host", e.Name).Str("data_centre", e.DataCentre)
		default:
			line = line.Str("upstream", e.Name).Str("service", e.Service).Str("data_centre", e.DataCentre)
		}
		line.Msg(e.Kind.String())
	}
}
