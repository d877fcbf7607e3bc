package config

import "slices"

// candidate is an offer whose missing pages are being fetched. Fetched pages are added to
// the pages of the offer until the configuration is complete.
type candidate struct{ offer }

// startCandidate makes the offer the candidate and fetches its missing pages, unless the
// current candidate has the same or a higher version. Pages of a replaced candidate are kept.
func (a *Adopter) startCandidate(o offer) {
	if a.candidate != nil && o.head.Version <= a.candidate.head.Version {
		return
	}
	if a.candidate != nil {
		o.pages = slices.Concat(o.pages, a.candidate.pages)
	}
	a.candidate = &candidate{offer: o}
	a.fetchMissing()
}

// fetchMissing requests the pages that the candidate still lacks; if there are none, it
// adopts the candidate.
func (a *Adopter) fetchMissing() {
	missing := a.candidate.missingPages(a.bundle)
	if len(missing) == 0 {
		a.adoptCandidate()
		return
	}
	a.emit(Fetch{Source: a.candidate.source, Refs: missing})
}

// missingPages returns the pages that neither the bundle nor the candidate holds.
func (c *candidate) missingPages(b *Bundle) []PageRef {
	return slices.DeleteFunc(b.MissingPages(c.head), func(ref PageRef) bool {
		return slices.ContainsFunc(c.pages, func(p PageData) bool { return p.Ref == ref })
	})
}

// handleFetched adds the pages to the candidate and fetches those that are still missing. It
// drops the candidate if its source sent none of the missing pages.
func (a *Adopter) handleFetched(e Fetched) {
	if a.candidate == nil {
		return
	}
	missingBefore := len(a.candidate.missingPages(a.bundle))
	a.candidate.pages = slices.Concat(a.candidate.pages, withMatchingHash(e.Pages))
	if e.Source != a.candidate.source {
		// The answer belongs to an earlier candidate that a higher version has replaced.
		return
	}
	if len(a.candidate.missingPages(a.bundle)) == missingBefore && missingBefore > 0 {
		a.dropCandidate()
		return
	}
	a.fetchMissing()
}

// withMatchingHash returns the pages whose data has the hash of their reference.
func withMatchingHash(pages []PageData) []PageData {
	return slices.DeleteFunc(slices.Clone(pages), func(p PageData) bool { return ContentHash(p.Data) != p.Ref.Hash })
}

func (a *Adopter) handleFetchFailed(e FetchFailed) {
	if a.candidate != nil && e.Source == a.candidate.source {
		a.dropCandidate()
	}
}

// dropCandidate gives up the candidate and asks other sources: a joining host starts a new
// round, any other host pulls from a peer.
func (a *Adopter) dropCandidate() {
	failedSource := a.candidate.source
	a.candidate = nil
	// Index zero makes the platform answer the next read immediately, even if the head has
	// not changed since the last read.
	a.watch.index = 0
	if a.bundle == nil {
		a.round.best = nil
		a.startRound()
		return
	}
	a.pullFromNotifier()
	if a.pull.notifier == "" && a.pull.periodicPeer == "" {
		a.pullFromRandomPeer(failedSource.Peer)
	}
}

// adoptCandidate adopts the candidate, or reports a refusal if its contents are invalid.
func (a *Adopter) adoptCandidate() {
	c := a.candidate
	a.candidate = nil
	bundle, err := NewBundle(c.data, c.pages, a.bundle)
	if err != nil {
		a.reportRefusal(c.source, c.head.Version, err)
		a.watch.index = 0
		if a.round != nil {
			a.round.best = nil
			a.round.running = false
			a.round.deadline = a.now.Add(a.jitter(roundTimeout))
		}
		return
	}
	a.bundle, a.source, a.adoptedAt = bundle, c.source, a.now
	a.round = nil
	a.emit(Adopt{Bundle: bundle, Source: c.source})
	a.notifyPeers(c.source)
	a.scheduleConfirm()
}
