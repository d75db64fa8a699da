package billing

import (
	"context"
	"slices"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the loops of a ledger: one closes batches and copies them
// to peers, the other writes them to the platform.

// Run closes, copies and writes batches until ctx ends. Flush writes the rest.
func (l *Ledger) Run(ctx context.Context) {
	l.mu.Lock()
	l.init()
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyLoop(ctx) })
	wg.Go(func() { l.writeLoop(ctx) })
	wg.Wait()
}

func (l *Ledger) copyLoop(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentCopies)
	var wg sync.WaitGroup
	defer wg.Wait()
	var last time.Time
	for {
		select {
		case <-l.copyWake:
		case <-ctx.Done():
			return
		}
		// A bill recorded after an idle interval is copied at once.
		if !pause.For(ctx, orDefault(l.Interval, DefaultInterval)-time.Since(last)) {
			return
		}
		last = time.Now()
		for _, p := range l.takeUncopied() {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				l.copy(ctx, p)
			})
		}
	}
}

// takeUncopied closes the open batch and returns the batches due for copying.
func (l *Ledger) takeUncopied() []*pendingBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeOpen()
	var ps []*pendingBatch
	for _, p := range l.pending {
		if p.copyDue && !p.copying {
			p.copyDue, p.copying = false, true
			ps = append(ps, p)
		}
	}
	return ps
}

func (l *Ledger) copy(ctx context.Context, p *pendingBatch) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	urgent := time.AfterFunc(urgentWriteDelay, func() { wake(l.writeWake) })
	defer urgent.Stop()
	held := l.holdersOf(p)
	holders, err := l.Copier.Hold(ctx, p.batch, copiesPerBatch-len(held), held)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.copying = false
	p.holders = append(p.holders, holders...)
	switch {
	case err != nil:
		p.copyDue = true
		wake(l.writeWake)
	case p.copyDue:
		// A holder was lost during the copy.
		wake(l.copyWake)
	default:
		p.markSafe()
	}
}

func (l *Ledger) holdersOf(p *pendingBatch) []fescuelatch.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(p.holders)
}

func (l *Ledger) writeLoop(ctx context.Context) {
	wait := urgentWriteInterval
	due := time.NewTimer(l.nextWriteDelay())
	defer due.Stop()
	for {
		urgent := l.awaitWrite(ctx, due)
		if ctx.Err() != nil {
			return
		}
		if err := l.writeBatches(ctx, urgent); err != nil {
			wait = min(2*wait, orDefault(l.FlushInterval, DefaultFlushInterval))
		} else {
			wait = urgentWriteInterval
		}
		if !pause.For(ctx, wait) {
			return
		}
		l.retryUnsafe()
	}
}

// retryUnsafe wakes both loops if a batch that is not at the platform lacks
// copies.
func (l *Ledger) retryUnsafe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.anyUnsafe() {
		wake(l.copyWake)
		wake(l.writeWake)
	}
}

// nextWriteDelay returns the delay before the next regular write.
func (l *Ledger) nextWriteDelay() time.Duration {
	interval := orDefault(l.FlushInterval, DefaultFlushInterval)
	if l.Spread != nil {
		interval = time.Duration(float64(interval) * l.Spread())
	}
	return interval
}

// awaitWrite waits until a write is due and reports whether it is urgent.
func (l *Ledger) awaitWrite(ctx context.Context, due *time.Timer) bool {
	select {
	case <-due.C:
	case <-l.writeWake:
		select {
		case <-due.C:
			// A regular write includes the batches that lack copies.
		default:
			return true
		}
	case <-ctx.Done():
		return false
	}
	due.Reset(l.nextWriteDelay())
	return false
}

// anyUnsafe reports whether a batch lacks copies. The caller holds l.mu.
func (l *Ledger) anyUnsafe() bool {
	for _, p := range l.pending {
		if !p.isSafe {
			return true
		}
	}
	return false
}

// writeBatches writes the oldest batches, or only those that lack copies, in one
// transaction.
func (l *Ledger) writeBatches(ctx context.Context, unsafeOnly bool) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	batches := l.nextBatches(unsafeOnly)
	if len(batches) == 0 {
		return nil
	}
	err := l.writer.write(ctx, l.Submitter, l.Origin, batches)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Writes++
	if err != nil {
		l.stats.Failed++
		return err
	}
	l.removeWritten(batches)
	through := l.writtenThrough()
	l.mu.Unlock()
	// If the drop fails, the holder finds the batch already written.
	dctx, cancel := context.WithTimeout(ctx, copyTimeout)
	_ = l.Copier.Drop(dctx, l.Origin, through)
	cancel()
	l.mu.Lock()
	return nil
}

func (l *Ledger) nextBatches(unsafeOnly bool) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batches []Batch
	for _, p := range l.pending {
		if !unsafeOnly || !p.isSafe {
			batches = append(batches, p.batch)
		}
		if len(batches) > maxTxnBills {
			break
		}
	}
	return batches[:countFitting(batches)]
}

// removeWritten removes batches from the ledger. The caller holds l.mu.
func (l *Ledger) removeWritten(batches []Batch) {
	written := make(map[uint64]bool, len(batches))
	for _, b := range batches {
		written[b.Sequence] = true
		l.bills -= len(b.Bills)
		l.stats.Written += int64(len(b.Bills))
	}
	var rest []*pendingBatch
	for _, p := range l.pending {
		if written[p.batch.Sequence] {
			p.markSafe()
		} else {
			rest = append(rest, p)
		}
	}
	l.pending = rest
}

// writtenThrough returns the sequence up to which all batches are at the
// platform. The caller holds l.mu.
func (l *Ledger) writtenThrough() uint64 {
	if len(l.pending) == 0 {
		return l.sequence
	}
	return l.pending[0].batch.Sequence - 1
}

// Flush writes all bills to the platform, or copies them to peers if that fails.
// It returns KindPending when some bills are at neither. A daemon calls it
// after its last Record, before it stops.
func (l *Ledger) Flush(ctx context.Context) error {
	l.mu.Lock()
	l.init()
	l.closeOpen()
	l.mu.Unlock()
	for {
		l.mu.Lock()
		left := len(l.pending)
		l.mu.Unlock()
		if left == 0 {
			return nil
		}
		if err := l.writeBatches(ctx, false); err != nil {
			return l.copyPending(ctx, err)
		}
	}
}

// copyPending copies all pending batches to peers, even those with copies:
// holders may be lost, and no daemon would notice after the stop.
func (l *Ledger) copyPending(ctx context.Context, cause error) error {
	var failed error
	for _, p := range l.allPending() {
		holders, err := l.Copier.Hold(ctx, p.batch, copiesPerBatch, nil)
		if len(holders) == 0 {
			failed = err
			continue
		}
		l.mu.Lock()
		p.holders = holders
		p.markSafe()
		l.mu.Unlock()
	}
	if failed != nil {
		return &Error{Op: opFlush, Kind: KindPending, Err: cause}
	}
	return nil
}

func (l *Ledger) allPending() []*pendingBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.pending)
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}
