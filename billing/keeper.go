package billing

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines the keeper of the copies that a daemon holds for others.

// Defaults of a Keeper.
const (
	// DefaultHoldTime leaves the origin time for two writes of its own.
	DefaultHoldTime    = 25 * time.Second
	DefaultKeeperPause = 5 * time.Second
)

// Keeper holds copies of other daemons' batches and writes those that their
// origins have not written within HoldTime. Submitter and Now are required.
// It is safe for concurrent use.
type Keeper struct {
	Submitter keyvalue.Submitter
	Now       func() time.Time
	// Copier, when set, takes what Flush cannot write, and copies of which no
	// other daemon is known to have one.
	Copier   Copier
	HoldTime time.Duration
	// Pause is the time between writes.
	Pause time.Duration
	// MaxBills bounds the bills held.
	MaxBills int

	mu     sync.Mutex
	held   map[fescuelatch.Incarnation]*copies
	bills  int
	stats  KeeperStats
	writer writer

	protecting sync.Mutex // held while copies are made of copies
}

// copies are the batches of one origin, by sequence.
type copies struct {
	batches map[uint64]*heldBatch
	through uint64 // all up to it are at the platform
	touched time.Time
}

type heldBatch struct {
	batch Batch
	since time.Time
	// others are the daemons known to have the batch as well, the origin
	// included.
	others []fescuelatch.Incarnation
}

func (h *heldBatch) addOther(i fescuelatch.Incarnation) {
	if !slices.Contains(h.others, i) {
		h.others = append(h.others, i)
	}
}

// KeeperStats counts what a Keeper has done.
type KeeperStats struct {
	Held    int64 `json:"held"`
	Refused int64 `json:"refused"`
	Dropped int64 `json:"dropped"`
	Written int64 `json:"written"`
	Failed  int64 `json:"failed-writes"`
	Waiting int   `json:"waiting"`
	Origins int   `json:"origins"`
}

const (
	opHold    = "hold"
	opProtect = "protect"
)

// Hold keeps a copy of a batch for the daemon that has it as well.
func (k *Keeper) Hold(b Batch, from fescuelatch.Incarnation) error {
	if err := b.check(); err != nil {
		return &Error{Op: opHold, Kind: KindInvalid, Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.of(b.Origin)
	c.touched = k.Now()
	if h, ok := c.batches[b.Sequence]; ok {
		h.addOther(from)
		return nil
	}
	if b.Sequence <= c.through {
		return nil
	}
	if k.bills+len(b.Bills) > k.maxBills() {
		k.stats.Refused++
		return &Error{Op: opHold, Kind: KindFull}
	}
	c.batches[b.Sequence] = &heldBatch{batch: b, since: k.Now(), others: []fescuelatch.Incarnation{from}}
	k.bills += len(b.Bills)
	k.stats.Held += int64(len(b.Bills))
	return nil
}

// of returns the copies of an origin. The lock is held.
func (k *Keeper) of(o fescuelatch.Incarnation) *copies {
	if k.held == nil {
		k.held = make(map[fescuelatch.Incarnation]*copies)
	}
	if k.held[o] == nil {
		k.held[o] = &copies{batches: make(map[uint64]*heldBatch)}
	}
	return k.held[o]
}

func (k *Keeper) maxBills() int {
	if k.MaxBills == 0 {
		return DefaultMaxCopies
	}
	return k.MaxBills
}

// Drop removes the copies of an origin's batches up to a sequence, which are
// at the platform.
func (k *Keeper) Drop(o fescuelatch.Incarnation, through uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.held[o]
	if c == nil {
		return
	}
	c.touched = k.Now()
	c.through = max(c.through, through)
	for n := range c.batches {
		if n <= through {
			k.stats.Dropped += int64(len(c.batches[n].batch.Bills))
			k.remove(c, n)
		}
	}
}

// remove drops one copy. The lock is held.
func (k *Keeper) remove(c *copies, n uint64) {
	if h, ok := c.batches[n]; ok {
		k.bills -= len(h.batch.Bills)
		delete(c.batches, n)
	}
}

// Stats returns the counts so far.
func (k *Keeper) Stats() KeeperStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Waiting = k.bills
	s.Origins = len(k.held)
	return s
}

// Run writes old copies, at most one transaction in each Pause, until ctx
// ends. What is left then is for Flush.
func (k *Keeper) Run(ctx context.Context) {
	for pause.For(ctx, orDefault(k.Pause, DefaultKeeperPause)) {
		k.evict()
		// A failure leaves the copies for the next time.
		_ = k.protect(ctx)
		if run := k.oldest(orDefault(k.HoldTime, DefaultHoldTime)); len(run) > 0 {
			// A failure is counted, and the copies stay for the next time.
			_ = k.write(ctx, run)
		}
	}
}

// evict forgets origins of which nothing was heard for a long time and
// nothing is held.
func (k *Keeper) evict() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for o, c := range k.held {
		if len(c.batches) == 0 && k.Now().Sub(c.touched) > time.Hour {
			delete(k.held, o)
			k.writer.forget(o)
		}
	}
}

// oldest returns batches of the origin whose copy is the oldest of those held
// for at least the time given, by sequence.
func (k *Keeper) oldest(least time.Duration) []Batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	var first *copies
	var since time.Time
	for _, c := range k.held {
		for _, h := range c.batches {
			if now.Sub(h.since) >= least && (first == nil || h.since.Before(since)) {
				first, since = c, h.since
			}
		}
	}
	if first == nil {
		return nil
	}
	var batches []Batch
	for _, h := range first.batches {
		if now.Sub(h.since) >= least {
			batches = append(batches, h.batch)
		}
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Sequence < batches[j].Sequence })
	return batches[:firstRun(batches)]
}

// write brings batches of one origin to the platform and drops the copies.
func (k *Keeper) write(ctx context.Context, run []Batch) error {
	err := k.writer.write(ctx, k.Submitter, run[0].Origin, run)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.stats.Failed++
		return err
	}
	c := k.of(run[0].Origin)
	for _, b := range run {
		k.stats.Written += int64(len(b.Bills))
		k.remove(c, b.Sequence)
	}
	return nil
}

// Flush writes all copies to the platform, or hands on what it cannot write to
// another daemon. It reports KindPending when some copies are in neither
// place; their origins, if alive, still have them.
func (k *Keeper) Flush(ctx context.Context) error {
	for {
		run := k.oldest(0)
		if len(run) == 0 {
			return nil
		}
		if err := k.write(ctx, run); err != nil {
			return k.handOn(ctx, err)
		}
	}
}

func (k *Keeper) handOn(ctx context.Context, cause error) error {
	if k.Copier == nil {
		return &Error{Op: opFlush, Kind: KindPending, Err: cause}
	}
	for _, b := range k.batches(func(*heldBatch) bool { return true }) {
		if _, err := k.Copier.Hold(ctx, b, 1, nil); err != nil {
			return &Error{Op: opFlush, Kind: KindPending, Err: errors.Wrap(err, cause.Error())}
		}
		k.mu.Lock()
		k.remove(k.of(b.Origin), b.Sequence)
		k.mu.Unlock()
	}
	return nil
}

// Lost tells that a daemon is gone. What it had, and no other daemon is known
// to have, is copied to one more, so that an outage of the platform does not
// leave the copy here alone. Lost reports KindPending when some of that was
// not copied; Run tries it again.
func (k *Keeper) Lost(ctx context.Context, i fescuelatch.Incarnation) error {
	k.mu.Lock()
	for _, c := range k.held {
		for _, h := range c.batches {
			h.others = slices.DeleteFunc(h.others, func(o fescuelatch.Incarnation) bool { return o == i })
		}
	}
	k.mu.Unlock()
	return k.protect(ctx)
}

// protect copies the batches that no other daemon is known to have.
func (k *Keeper) protect(ctx context.Context) error {
	if k.Copier == nil {
		return nil
	}
	k.protecting.Lock()
	defer k.protecting.Unlock()
	for _, b := range k.batches(func(h *heldBatch) bool { return len(h.others) == 0 }) {
		holders, err := k.Copier.Hold(ctx, b, 1, nil)
		if err != nil {
			return &Error{Op: opProtect, Kind: KindPending, Err: err}
		}
		k.mu.Lock()
		if h, ok := k.of(b.Origin).batches[b.Sequence]; ok {
			for _, i := range holders {
				h.addOther(i)
			}
		}
		k.mu.Unlock()
	}
	return nil
}

// batches returns the batches held that want holds for.
func (k *Keeper) batches(want func(*heldBatch) bool) []Batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batches []Batch
	for _, c := range k.held {
		for _, h := range c.batches {
			if want(h) {
				batches = append(batches, h.batch)
			}
		}
	}
	return batches
}
