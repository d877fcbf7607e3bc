package config

import "slices"

// candidate is a higher version whose pages are being fetched. Its offer's pages
// grow until none is missing.
type candidate struct{ offer }

// startCandidate fetches what is missing of the offer unless a candidate as high
// is under way.
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

// fetchMissing asks for the pages that are still missing, or adopts the candidate.
func (a *Adopter) fetchMissing() {
	missing := a.candidate.missing(a.bundle)
	if len(missing) == 0 {
		a.adoptCandidate()
		return
	}
	a.do(Fetch{Source: a.candidate.source, Refs: missing})
}

func (c *candidate) missing(b *Bundle) []PageRef {
	return slices.DeleteFunc(b.Missing(c.head), func(ref PageRef) bool {
		return slices.ContainsFunc(c.pages, func(p PageData) bool { return p.Ref == ref })
	})
}

func (a *Adopter) fetched(e Fetched) {
	if a.candidate == nil {
		return
	}
	before := len(a.candidate.missing(a.bundle))
	a.candidate.pages = slices.Concat(a.candidate.pages, genuine(e.Pages))
	if e.Source != a.candidate.source {
		// The answer to the fetch of a candidate that a higher one has replaced.
		return
	}
	if len(a.candidate.missing(a.bundle)) == before && before > 0 {
		a.dropCandidate()
		return
	}
	a.fetchMissing()
}

// genuine returns the pages whose contents are those that they are named for.
func genuine(pages []PageData) []PageData {
	return slices.DeleteFunc(slices.Clone(pages), func(p PageData) bool { return HashOf(p.Data) != p.Ref.Hash })
}

func (a *Adopter) fetchFailed(e FetchFailed) {
	if a.candidate != nil && e.Source == a.candidate.source {
		a.dropCandidate()
	}
}

// dropCandidate gives the candidate up and looks for it elsewhere.
func (a *Adopter) dropCandidate() {
	failed := a.candidate.source
	a.candidate = nil
	// The next read must answer at once, also with a head that was read before.
	a.watch.index = 0
	if a.bundle == nil {
		a.round.best = nil
		a.beginRound()
		return
	}
	a.pullNoticed()
	if a.pulls.noticed == "" && a.pulls.routine == "" {
		a.pullRandom(failed.Peer)
	}
}

func (a *Adopter) adoptCandidate() {
	c := a.candidate
	a.candidate = nil
	bundle, err := NewBundle(c.data, c.pages, a.bundle)
	if err != nil {
		a.refuse(c.source, c.head.Version, err)
		a.watch.index = 0
		if a.round != nil {
			a.round.best = nil
			a.round.running = false
			a.round.deadline = a.now.Add(a.jitter(roundWait))
		}
		return
	}
	a.bundle, a.source, a.adoptedAt = bundle, c.source, a.now
	a.round = nil
	a.do(Adopt{Bundle: bundle, Source: c.source})
	a.notifyPeers(c.source)
	a.scheduleConfirm()
}
