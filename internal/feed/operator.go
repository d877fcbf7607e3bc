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
	// operatorRetry is the delay after a failed watch, and operatorIdle how often a host that
	// does not read the store looks whether it has to.
	operatorRetry = 2 * time.Second
	operatorIdle  = 500 * time.Millisecond
)

// OperatorSource is a Source that can watch the records of the operator alone.
type OperatorSource interface {
	// WatchOperator returns the changes of the operator's records after the position. If
	// there are none, it waits for the next one for up to the time wait. It returns
	// ErrCompacted if the changes since the position are no longer known.
	WatchOperator(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Update, error)
}

// RunOperator watches the operator's records in the store until ctx ends, if this host is
// the first of its data centre and the store can do that. Such a change is then in force
// without the pause between two watches of all records. It always returns nil.
func (f *Feed) RunOperator(ctx context.Context) error {
	source, ok := f.options.Store.(OperatorSource)
	if !ok {
		return nil
	}
	var after catalog.Position
	for {
		delay := operatorIdle
		if position, reads := f.operatorPosition(); reads {
			if position.Epoch != after.Epoch || position.After(after) {
				after = position
			}
			after, delay = f.watchOperator(ctx, source, after)
		}
		if f.options.Clock.Sleep(ctx, delay) != nil {
			return nil
		}
	}
}

// operatorPosition returns the position up to which the catalog is complete, and whether
// this host has to watch the operator's records.
func (f *Feed) operatorPosition() (catalog.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Position(), f.catalog.Complete() && f.selector.first
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
