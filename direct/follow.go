package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines how a daemon follows the store.

const (
	// watchWait is how long one call waits for changes.
	watchWait = 500 * time.Millisecond
	// followInterval is the time between calls. Endpoints write often, so a
	// call without a pause would return with every single write.
	followInterval = 350 * time.Millisecond
	// sourceInterval is that between calls to another daemon, which cost the
	// store nothing. It bounds what a daemon tells another to a part of the
	// 2 KB a second that control may take.
	sourceInterval = 200 * time.Millisecond
	// followJitter spreads the calls of the daemons.
	followJitter = 100 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call.
	backoffLeast = 150 * time.Millisecond
	backoffMost  = 400 * time.Millisecond
	// awayAfter is how long calls fail before the store counts as away.
	awayAfter = 800 * time.Millisecond
)

// storeState is how the store was last seen. It is safe for concurrent use.
type storeState struct {
	mu   sync.Mutex
	last time.Time // of the last answer
	away bool
}

// answered notes an answer, and reports whether the store had been away.
func (s *storeState) answered(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	away := s.away || (!s.last.IsZero() && now.Sub(s.last) > awayAfter+watchWait+followInterval+followJitter)
	s.last, s.away = now, false
	return away
}

// failed notes a failed call, and reports whether the store now counts as away
// for the first time.
func (s *storeState) failed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || now.Sub(s.last) < awayAfter {
		return false
	}
	s.away = true
	return true
}

// age returns the time since the last answer.
func (s *storeState) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.last)
}

// follow keeps what is known up to date until ctx ends.
func (d *Daemon) follow(ctx context.Context) {
	backoff := backoffLeast
	scan := true
	for ctx.Err() == nil {
		if s := d.chooseSource(time.Now()); s != nil && !scan {
			if err := d.followSource(ctx, s); err == nil {
				pause.For(ctx, sourceInterval+rand.N(followJitter))
				continue
			} else if ctx.Err() == nil {
				d.log.Info("source is not relied on for a while", "source", s.vm, "error", err.Error())
				d.sources.fail(time.Now())
			}
		}
		err := d.followOnce(ctx, scan)
		wait := followInterval + rand.N(followJitter)
		switch {
		case err == nil:
			scan = false
			backoff = backoffLeast
		case errors.Is(err, fescuelatch.ErrHistoryGone):
			d.log.Info("history of the store is gone; it is read anew", "error", err.Error())
			scan = true
			wait = 0
		default:
			d.storeFailed(err)
			wait = max(backoff+rand.N(backoff), keyvalue.RetryAfter(err))
			backoff = min(2*backoff, backoffMost)
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

func (d *Daemon) storeFailed(err error) {
	d.log.Debug("call to the store failed", "error", err.Error())
	if d.store.failed(time.Now()) {
		d.log.Warn("store is away; what is known stays in force", "error", err.Error())
		d.life.FireIfPossible(chart.EventCut)
	}
}

// followOnce reads what has changed, or everything.
func (d *Daemon) followOnce(ctx context.Context, scan bool) error {
	var c fescuelatch.Changes
	var err error
	if scan {
		c, err = d.options.Store.Scan(ctx)
	} else {
		d.mu.Lock()
		after := d.known.revision
		d.mu.Unlock()
		c, err = d.options.Store.Changes(ctx, after, watchWait)
	}
	if err != nil {
		return err //nolint:wrapcheck // Only its kind is looked at.
	}
	return d.takeChanges(time.Now(), c, scan)
}

// takeChanges takes in an answer of the store. One of an earlier era tells
// nothing, and after changes of a later one everything has to be read anew.
func (d *Daemon) takeChanges(now time.Time, c fescuelatch.Changes, scan bool) error {
	const op = "follow store"
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.known.earlier(c.Era)
	switch {
	case c.Era != 0 && c.Era < d.known.era:
		return &Error{op, KindStore, errors.Errorf("the answer is of era %d, before %d", c.Era, d.known.era)}
	case restored && !scan:
		return &Error{op, KindStore, errors.Wrapf(fescuelatch.ErrHistoryGone, "era %d has followed %d", c.Era, d.known.era)}
	}
	back := d.store.answered(now)
	if back {
		d.log.Info("store is back")
		d.life.FireIfPossible(chart.EventRejoin)
	}
	if back && !restored {
		d.known.returned(now, c)
	}
	if scan {
		d.known.replace(now, c)
	} else {
		d.known.apply(now, c)
	}
	if restored {
		d.recordAgainLocked(now)
	}
	settled := d.known.settle(now)
	if scan || settled || len(c.Items) > 0 {
		d.refreshLocked(now)
	}
	return nil
}
