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

// This file defines CopyStore, which holds copies of other daemons' batches.

// Defaults of a CopyStore.
const (
	// DefaultHoldTime gives the origin time for two writes of its own.
	DefaultHoldTime          = 25 * time.Second
	DefaultCopyWriteInterval = 5 * time.Second
)

// CopyStore holds copies of other daemons' batches and writes those that their
// origins have not written within HoldTime. Submitter and Now are required.
// It is safe for concurrent use.
type CopyStore struct {
	Submitter keyvalue.Submitter
	Now       func() time.Time
	// Copier, when set, copies batches to another daemon: those that Flush
	// cannot write, and those that no other daemon is known to hold.
	Copier   Copier
	HoldTime time.Duration
	// WriteInterval is the time between writes.
	WriteInterval time.Duration
	// MaxBills bounds the bills in memory.
	MaxBills int

	mu     sync.Mutex
	held   map[fescuelatch.Incarnation]*originCopies
	bills  int
	stats  CopyStoreStats
	writer writer

	protecting sync.Mutex // serializes protect
}

// originCopies holds the batches of one origin, by sequence.
type originCopies struct {
	batches    map[uint64]*heldBatch
	through    uint64 // all batches up to it are at the platform
	lastActive time.Time
}

type heldBatch struct {
	batch Batch
	since time.Time
	// others are the other known holders of the batch, including the origin.
	others []fescuelatch.Incarnation
}

func (h *heldBatch) addOther(i fescuelatch.Incarnation) {
	if !slices.Contains(h.others, i) {
		h.others = append(h.others, i)
	}
}

// CopyStoreStats holds the counters of a CopyStore.
type CopyStoreStats struct {
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

// Hold stores a copy of a batch that daemon from also holds.
func (k *CopyStore) Hold(b Batch, from fescuelatch.Incarnation) error {
	if err := b.check(); err != nil {
		return &Error{Op: opHold, Kind: KindInvalid, Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.copiesOf(b.Origin)
	c.lastActive = k.Now()
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

// copiesOf returns the copies of an origin. The caller holds k.mu.
func (k *CopyStore) copiesOf(o fescuelatch.Incarnation) *originCopies {
	if k.held == nil {
		k.held = make(map[fescuelatch.Incarnation]*originCopies)
	}
	if k.held[o] == nil {
		k.held[o] = &originCopies{batches: make(map[uint64]*heldBatch)}
	}
	return k.held[o]
}

func (k *CopyStore) maxBills() int {
	if k.MaxBills == 0 {
		return DefaultMaxCopiedBills
	}
	return k.MaxBills
}

// Drop removes the copies of an origin's batches up to a sequence. They are at
// the platform.
func (k *CopyStore) Drop(o fescuelatch.Incarnation, through uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.held[o]
	if c == nil {
		return
	}
	c.lastActive = k.Now()
	c.through = max(c.through, through)
	for n := range c.batches {
		if n <= through {
			k.stats.Dropped += int64(len(c.batches[n].batch.Bills))
			k.remove(c, n)
		}
	}
}

// remove deletes one copy. The caller holds k.mu.
func (k *CopyStore) remove(c *originCopies, n uint64) {
	if h, ok := c.batches[n]; ok {
		k.bills -= len(h.batch.Bills)
		delete(c.batches, n)
	}
}

// Stats returns the counts so far.
func (k *CopyStore) Stats() CopyStoreStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Waiting = k.bills
	s.Origins = len(k.held)
	return s
}

// Run writes old copies, at most one transaction per WriteInterval, until ctx ends.
// Flush writes the rest.
func (k *CopyStore) Run(ctx context.Context) {
	for pause.For(ctx, orDefault(k.WriteInterval, DefaultCopyWriteInterval)) {
		k.evict()
		// After a failure, the next iteration retries.
		_ = k.protect(ctx)
		if batches := k.oldest(orDefault(k.HoldTime, DefaultHoldTime)); len(batches) > 0 {
			// A failure is counted, and the next iteration retries.
			_ = k.write(ctx, batches)
		}
	}
}

// evict removes origins that have no copies and were inactive for an hour.
func (k *CopyStore) evict() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for o, c := range k.held {
		if len(c.batches) == 0 && k.Now().Sub(c.lastActive) > time.Hour {
			delete(k.held, o)
			k.writer.forget(o)
		}
	}
}

// oldest returns the batches, ordered by sequence, that were held for at least
// minAge and whose origin has the oldest copy.
func (k *CopyStore) oldest(minAge time.Duration) []Batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	var first *originCopies
	var since time.Time
	for _, c := range k.held {
		for _, h := range c.batches {
			if now.Sub(h.since) >= minAge && (first == nil || h.since.Before(since)) {
				first, since = c, h.since
			}
		}
	}
	if first == nil {
		return nil
	}
	var batches []Batch
	for _, h := range first.batches {
		if now.Sub(h.since) >= minAge {
			batches = append(batches, h.batch)
		}
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Sequence < batches[j].Sequence })
	return batches[:countFitting(batches)]
}

// write writes batches of one origin to the platform and removes the copies.
func (k *CopyStore) write(ctx context.Context, batches []Batch) error {
	err := k.writer.write(ctx, k.Submitter, batches[0].Origin, batches)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.stats.Failed++
		return err
	}
	c := k.copiesOf(batches[0].Origin)
	for _, b := range batches {
		k.stats.Written += int64(len(b.Bills))
		k.remove(c, b.Sequence)
	}
	return nil
}

// Flush writes all copies to the platform, or transfers them to another daemon
// if that fails. It returns KindPending when some copies are at neither; their
// origins, if alive, still have them.
func (k *CopyStore) Flush(ctx context.Context) error {
	for {
		batches := k.oldest(0)
		if len(batches) == 0 {
			return nil
		}
		if err := k.write(ctx, batches); err != nil {
			return k.transfer(ctx, err)
		}
	}
}

func (k *CopyStore) transfer(ctx context.Context, cause error) error {
	if k.Copier == nil {
		return &Error{Op: opFlush, Kind: KindPending, Err: cause}
	}
	for _, b := range k.batches(func(*heldBatch) bool { return true }) {
		if _, err := k.Copier.Hold(ctx, b, 1, nil); err != nil {
			return &Error{Op: opFlush, Kind: KindPending, Err: errors.Wrap(err, cause.Error())}
		}
		k.mu.Lock()
		k.remove(k.copiesOf(b.Origin), b.Sequence)
		k.mu.Unlock()
	}
	return nil
}

// PeerLost reports the loss of a daemon. Batches that no other daemon is now known
// to hold are copied, so that they do not depend on this daemon alone in an
// outage of the platform. PeerLost returns KindPending when some were not; Run
// retries them.
func (k *CopyStore) PeerLost(ctx context.Context, i fescuelatch.Incarnation) error {
	k.mu.Lock()
	for _, c := range k.held {
		for _, h := range c.batches {
			h.others = slices.DeleteFunc(h.others, func(o fescuelatch.Incarnation) bool { return o == i })
		}
	}
	k.mu.Unlock()
	return k.protect(ctx)
}

// protect copies the batches that no other daemon is known to hold.
func (k *CopyStore) protect(ctx context.Context) error {
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
		if h, ok := k.copiesOf(b.Origin).batches[b.Sequence]; ok {
			for _, i := range holders {
				h.addOther(i)
			}
		}
		k.mu.Unlock()
	}
	return nil
}

// batches returns the held batches that satisfy match.
func (k *CopyStore) batches(match func(*heldBatch) bool) []Batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batches []Batch
	for _, c := range k.held {
		for _, h := range c.batches {
			if match(h) {
				batches = append(batches, h.batch)
			}
		}
	}
	return batches
}
