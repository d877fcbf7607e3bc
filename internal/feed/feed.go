// Package feed keeps a catalog up to date, from the platform's store or from
// another entry host that does.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// pageTimeout bounds one page of a listing, about 1 MB.
	pageTimeout = 2 * time.Second
	// peerPause is the least time between two calls to an entry host.
	peerPause = 50 * time.Millisecond
	// backoffLow is the least delay after a failed call.
	backoffLow = 50 * time.Millisecond
	// lostAfter is the number of failed calls in a row after which a source is
	// reported as lost.
	lostAfter = 3
)

// ErrStale means that an entry host has no recent word from the store.
var ErrStale = errors.New("the entry host has lost the store: follow another one")

// ErrLoop means that an entry host follows this one.
var ErrLoop = errors.New("the entry host follows this one: follow another one")

// Options configure a Feed.
type Options struct {
	// Self and DataCentre name this host.
	Self, DataCentre string
	Store            Source
	// Peer returns the source of another entry host, or nil while hosts cannot
	// call each other.
	Peer   func(catalog.Host) Source
	Timing Timing
	// OnView receives each changed view.
	OnView  func(catalog.View)
	Logger  zerolog.Logger
	Metrics *Metrics
	// Now returns the current time.
	Now  func() time.Time
	Seed uint64
}

// Feed keeps a catalog up to date.
type Feed struct {
	options  Options
	random   *rand.Rand
	choice   *choice
	failures int
	// source is the name of the source of the last answer.
	source string
	// reading is the name of the source of the present call.
	reading string
	// listed is set once a listing is complete; next is its next page.
	listed bool
	next   string
	// mayBeStale allows the pages of a listing to be stale.
	mayBeStale bool

	// mu guards what follows.
	mu      sync.Mutex
	timing  Timing
	catalog *catalog.Catalog
	// changed is closed and replaced when the catalog's view changes.
	changed chan struct{}
	// via is the host that was last read; empty when that was the store.
	via string
}

// New returns a feed of an empty catalog.
func New(options Options) *Feed {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	return &Feed{
		options: options, random: random, mayBeStale: true, timing: options.Timing,
		choice:  newChoice(options.Self, options.DataCentre, random),
		catalog: catalog.New(catalog.Options{OutageThreshold: options.Timing.AwayAfter()}),
		changed: make(chan struct{}),
	}
}

// SetTiming replaces the times.
func (f *Feed) SetTiming(t Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timing = t
	f.catalog.SetOutageThreshold(t.AwayAfter())
}

func (f *Feed) times() Timing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timing
}

// Run reads until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for {
		delay := f.step(ctx)
		if wait.For(ctx, delay) != nil {
			return nil
		}
	}
}

// step makes one call and returns the delay before the next.
func (f *Feed) step(ctx context.Context) time.Duration {
	from := f.choice.next(f.options.Now())
	source, name := f.options.Store, storeName
	if from != nil {
		if peer := f.options.Peer(*from); peer != nil {
			source, name = peer, from.Name
		} else {
			from = nil
		}
	}
	f.reading = name
	f.setVia(from)
	first := !f.listed
	err := f.read(ctx, source, from != nil)
	if ctx.Err() != nil {
		return 0
	}
	f.options.Metrics.call(from != nil, err)
	f.publish()
	if err != nil && !errors.Is(err, ErrCompacted) {
		f.choice.failed(f.options.Now(), from)
		return f.failed(name, err)
	}
	f.choice.succeeded(from)
	f.succeeded(name)
	switch {
	case err != nil:
		f.options.Logger.Info().Str("source", name).Uint64("position", f.have().Position).Msg("history_dropped")
		f.relist()
		return 0
	case first:
		// What changed since a stale listing is to be known before anything else.
		return 0
	case from != nil:
		return peerPause
	default:
		return f.times().Pause
	}
}

// storeName stands for the store in logs.
const storeName = "store"

// read makes one call to the source. What a peer tells is used in any case, but
// one without recent word from the store has failed.
func (f *Feed) read(ctx context.Context, source Source, isPeer bool) error {
	var age time.Duration
	var via string
	var err error
	if f.listed {
		age, via, err = f.watch(ctx, source)
	} else {
		age, via, err = f.list(ctx, source, isPeer)
	}
	if err == nil && isPeer && via == f.options.Self {
		return ErrLoop
	}
	if err == nil && isPeer && age > f.times().AwayAfter() {
		return fmt.Errorf("%w: last word %s ago", ErrStale, age.Round(time.Millisecond))
	}
	return err
}

// setVia notes which host is read, for those that follow this one.
func (f *Feed) setVia(from *catalog.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.via = ""
	if from != nil {
		f.via = from.Name
	}
}

func (f *Feed) relist() {
	f.listed, f.next, f.mayBeStale = false, "", false
}

// list reads one page of a listing. A peer's listing is a single page.
func (f *Feed) list(ctx context.Context, source Source, isPeer bool) (age time.Duration, via string, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	after := f.next
	if isPeer {
		after = ""
	}
	page, err := source.List(ctx, after, f.mayBeStale)
	if err != nil {
		return 0, "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if after == "" {
		f.catalog.BeginListing()
	}
	f.catalog.AddPage(f.options.Now(), page)
	f.next, f.listed = page.Next, page.Next == ""
	f.options.Logger.Info().Int("records", len(page.Changes)).Bool("last", f.listed).Bool("may_be_stale", f.mayBeStale).
		Uint64("position", page.Position).Uint64("version", f.catalog.Version()).Msg("page_listed")
	return page.Age, page.Via, nil
}

func (f *Feed) watch(ctx context.Context, source Source) (age time.Duration, via string, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.times().callTimeout())
	defer cancel()
	update, err := source.Watch(ctx, f.have(), f.times().Wait)
	if err != nil {
		return 0, "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.catalog.Apply(f.options.Now(), update) {
		return 0, "", ErrCompacted
	}
	return update.Age, update.Via, nil
}

func (f *Feed) have() catalog.Have {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Have()
}

// publish passes on a changed view, once there is enough to serve with.
func (f *Feed) publish() {
	f.mu.Lock()
	view, ok := f.catalog.TakeView()
	events := f.catalog.TakeEvents()
	if ok {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	f.report(events)
	if !ok {
		return
	}
	f.choice.setHosts(view.Hosts)
	if view.Configuration != nil && (f.listed || len(view.Upstreams) > 0) {
		f.options.OnView(view)
	}
}

// report logs what the catalog has come to believe, with the source it is from.
func (f *Feed) report(events []catalog.Event) {
	for _, e := range events {
		line := f.options.Logger.Info().Str("source", f.reading).Uint64("revision", e.Revision)
		switch e.Kind {
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

func (f *Feed) failed(source string, err error) time.Duration {
	f.failures++
	if f.failures == lostAfter {
		f.options.Logger.Warn().Str("source", source).Err(err).Int("failures", f.failures).
			Dur("age_ms", f.Age()).Msg("source_lost")
	}
	limit := min(f.times().Retry, backoffLow<<min(f.failures, 8))
	return limit/2 + time.Duration(f.random.Int64N(int64(limit/2)))
}

func (f *Feed) succeeded(source string) {
	if f.failures >= lostAfter || f.source != source {
		f.options.Logger.Info().Str("source", source).Str("before", f.source).Int("failures", f.failures).Msg("source_changed")
	}
	f.failures, f.source = 0, source
}

// Age returns the time since the store last confirmed the catalog.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	contact := f.catalog.LastContact()
	if contact.IsZero() {
		return 0
	}
	return f.options.Now().Sub(contact)
}
