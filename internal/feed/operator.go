package feed

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// operatorWait is how long the store holds a watch of the operator's records. Few of them
	// change in a day, so a long wait costs few calls. A watch that is lost delays no change:
	// the watch of all records delivers it as well.
	operatorWait = 20 * time.Second
	// operatorSlack is the time beyond that for the answer to arrive.
	operatorSlack = time.Second
	// operatorRetry is the delay after a failed watch, or while the catalog is incomplete.
	operatorRetry = 2 * time.Second
)

// OperatorSource is a Source that can watch the records of the operator alone.
type OperatorSource interface {
	// WatchOperator returns the changes of the operator's records after the position. If
	// there are none, it waits for the next one for up to the time wait. It returns
	// ErrCompacted if the changes since the position are no longer known.
	WatchOperator(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Update, error)
}

// startOperatorLocked starts to watch the operator's records in the store if this host is the
// first of its data centre and the store can do that. Such a change is then in force without
// the pause between two watches of all records. f.mu must be held.
func (f *Feed) startOperatorLocked() {
	source, ok := f.options.Store.(OperatorSource)
	if ok && f.selector.first && !f.watchingOperator {
		f.watchingOperator = true
		f.background.after(0, func(ctx context.Context) { f.watchWhileFirst(ctx, source) })
	}
}

// watchWhileFirst watches the operator's records while this host is the first of its data centre.
func (f *Feed) watchWhileFirst(ctx context.Context, source OperatorSource) {
	var after catalog.Position
	for {
		position, watching := f.operatorPosition()
		if !watching {
			return
		}
		if position.Epoch != after.Epoch || position.After(after) {
			after = position
		}
		delay := operatorRetry
		if position.Revision != 0 {
			after, delay = f.watchOperator(ctx, source, after)
		}
		if f.options.Clock.Sleep(ctx, delay) != nil {
			return
		}
	}
}

// operatorPosition returns the position up to which the catalog is complete, zero if it is not,
// and whether this host goes on to watch the operator's records.
func (f *Feed) operatorPosition() (position catalog.Position, watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Complete() {
		position = f.catalog.Position()
	}
	f.watchingOperator = f.selector.first
	return position, f.watchingOperator
}

// watchOperator makes one call and merges the answer. It returns the position from which to
// watch next, and the delay before.
func (f *Feed) watchOperator(ctx context.Context, source OperatorSource, after catalog.Position) (catalog.Position, time.Duration) {
	callCtx, cancel := f.options.Clock.WithTimeout(ctx, operatorWait+operatorSlack)
	update, err := source.WatchOperator(callCtx, after, operatorWait)
	cancel()
	if ctx.Err() != nil {
		return after, 0
	}
	if err == nil && update.Position.Epoch != after.Epoch {
		err = ErrCompacted // the watch of all records finds out about the restore
	}
	f.options.Metrics.observeOperatorCall(err)
	switch {
	case errors.Is(err, ErrCompacted):
		return catalog.Position{}, operatorRetry
	case err != nil:
		return after, operatorRetry
	}
	f.mu.Lock()
	f.catalog.ApplyOperator(f.options.Clock.Now(), update.Changes)
	f.mu.Unlock()
	f.publishView(storeName)
	if update.Position.After(after) {
		after = update.Position
	}
	return after, minBackoff
}
