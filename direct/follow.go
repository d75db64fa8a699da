package direct

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines how a daemon follows the changes of the store.

const (
	// watchTimeout bounds how long one call waits for changes.
	watchTimeout = 500 * time.Millisecond
	// followInterval is the pause between calls. Endpoints write often, so
	// without it every single write would end a call.
	followInterval = 350 * time.Millisecond
	// sourceInterval is the pause between calls to another daemon, which put
	// no load on the store. It keeps the traffic between two daemons to a
	// part of the control traffic budget of 2 KB a second.
	sourceInterval = 200 * time.Millisecond
	// followJitter spreads out the calls of different daemons.
	followJitter = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// unavailableTimeout is how long calls must fail before the store counts as
	// unavailable.
	unavailableTimeout = 800 * time.Millisecond
)

// storeAvailability tracks the availability of the store. It is safe for concurrent use.
type storeAvailability struct {
	mu sync.Mutex
	// lastAnswer is the time of the last answer, and lastData that of the last part of
	// one that may be incomplete.
	lastAnswer, lastData time.Time
	unavailable          bool
	// silent reports that the store sent nothing for long before the answer that is
	// arriving.
	silent bool
}

// maxSilence is the longest time between the parts of answers of a store that is
// available.
const maxSilence = unavailableTimeout + watchTimeout + followInterval + followJitter

// recordData records that a part of an answer has arrived.
func (s *storeAvailability) recordData(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDataLocked(now)
}

func (s *storeAvailability) recordDataLocked(now time.Time) {
	s.silent = s.silent || (!s.lastData.IsZero() && now.Sub(s.lastData) > maxSilence)
	s.lastData = now
}

// recordSuccess records an answer, and reports whether the store was unavailable
// before it.
func (s *storeAvailability) recordSuccess(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDataLocked(now)
	recovered := s.unavailable || s.silent
	s.lastAnswer, s.unavailable, s.silent = now, false, false
	return recovered
}

// recordFailure records a failed call, and reports whether it makes the store count
// as unavailable.
func (s *storeAvailability) recordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || now.Sub(s.lastData) < unavailableTimeout {
		return false
	}
	s.unavailable = true
	return true
}

// maxTransferAge is the time by which a large answer that is arriving may be older than
// another one. Beyond it, daemons with faster links do better without this one.
const maxTransferAge = 5 * time.Second

// age returns the time since the last answer, or since the last part of one that is
// arriving.
func (s *storeAvailability) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.lastAnswer)
	if s.unavailable || s.silent {
		return age
	}
	return max(now.Sub(s.lastData), age-maxTransferAge)
}

// follow keeps the known state up to date until ctx ends.
func (d *Daemon) follow(ctx context.Context) {
	for scan := true; ; scan = false {
		if wait := newPoll(d, scan).run(ctx); !d.pauseFollow(ctx, wait) {
			return
		}
	}
}

func (d *Daemon) handleStoreFailure(err error) {
	d.log.Debug("call to the store failed", "error", err.Error())
	if d.store.recordFailure(time.Now()) {
		d.log.Warn("store is unavailable; the last known state stays active", "error", err.Error())
		d.life.FireIfPossible(chart.EventCut)
	}
}

// askStore reads the changes from the store, or everything when scan is set.
func (d *Daemon) askStore(ctx context.Context, scan bool, wait time.Duration) (fescuelatch.Changes, error) {
	var c fescuelatch.Changes
	var err error
	if scan {
		c, err = d.options.Store.Scan(ctx)
	} else {
		d.mu.Lock()
		after := d.storeView.revision
		d.mu.Unlock()
		c, err = d.options.Store.Changes(ctx, after, wait)
	}
	if err != nil {
		return fescuelatch.Changes{}, err //nolint:wrapcheck // Only its kind matters.
	}
	d.largeValues.observe(c.Items)
	return c, nil
}

// applyChanges merges an answer of the store. It rejects an answer of an earlier
// era, and changes of a later one, after which everything must be read again.
func (d *Daemon) applyChanges(now time.Time, c fescuelatch.Changes, scan bool) error {
	const op = "follow store"
	c.Items = d.decoding.prepare(c.Items)
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.storeView.beforeEra(c.Era)
	switch {
	case c.Era != 0 && c.Era < d.storeView.era:
		return &Error{op, KindStore, errors.Errorf("answer of era %d is older than the known era %d", c.Era, d.storeView.era)}
	case restored && !scan:
		return &Error{op, KindStore, errors.Wrapf(fescuelatch.ErrCompacted, "era %d has replaced era %d", c.Era, d.storeView.era)}
	}
	recovered := d.store.recordSuccess(now)
	if recovered {
		d.log.Info("store is back")
		d.life.FireIfPossible(chart.EventRejoin)
	}
	if recovered {
		d.requestRecordRenewal()
	}
	if recovered && !restored {
		d.storeView.reconnected(now, c)
	}
	if scan {
		d.storeView.replace(now, c)
	} else {
		d.storeView.apply(now, c)
	}
	if restored {
		d.rewriteRecordsLocked(now)
	}
	settled := d.storeView.expireHeldRemovals(now)
	if scan || settled || len(c.Items) > 0 {
		d.refreshLocked(now)
	}
	return nil
}
