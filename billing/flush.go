package billing

import (
	"context"
	"slices"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the loops of a ledger: one closes batches and has them
// copied, the other writes them to the platform.

// Run closes, copies and writes batches until ctx ends. What is left then is
// for Flush.
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
	slots := make(chan struct{}, copiers)
	var wg sync.WaitGroup
	defer wg.Wait()
	var last time.Time
	for {
		select {
		case <-l.formed:
		case <-ctx.Done():
			return
		}
		// A bill that comes after a quiet interval does not wait.
		if !pause.For(ctx, orDefault(l.Interval, DefaultInterval)-time.Since(last)) {
			return
		}
		last = time.Now()
		for _, p := range l.uncopied() {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				l.copy(ctx, p)
			})
		}
	}
}

// uncopied closes the forming batch and returns the batches that are to be
// copied.
func (l *Ledger) uncopied() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeForming()
	var ps []*pending
	for _, p := range l.pending {
		if p.due && !p.copying {
			p.due, p.copying = false, true
			ps = append(ps, p)
		}
	}
	return ps
}

func (l *Ledger) copy(ctx context.Context, p *pending) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	impatient := time.AfterFunc(copyPatience, func() { wake(l.urgent) })
	defer impatient.Stop()
	held := l.holdersOf(p)
	holders, err := l.Copier.Hold(ctx, p.batch, copiesPerBatch-len(held), held)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.copying = false
	p.holders = append(p.holders, holders...)
	switch {
	case err != nil:
		p.due = true
		wake(l.urgent)
	case p.due:
		// A holder was lost meanwhile.
		wake(l.formed)
	default:
		p.markSafe()
	}
}

func (l *Ledger) holdersOf(p *pending) []fescuelatch.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(p.holders)
}

func (l *Ledger) writeLoop(ctx context.Context) {
	wait := urgentPause
	due := time.NewTimer(l.nextWrite())
	defer due.Stop()
	for {
		urgent := l.awaitWrite(ctx, due)
		if ctx.Err() != nil {
			return
		}
		if err := l.writeRun(ctx, urgent); err != nil {
			wait = min(2*wait, orDefault(l.FlushInterval, DefaultFlushInterval))
		} else {
			wait = urgentPause
		}
		if !pause.For(ctx, wait) {
			return
		}
		l.retryUnsafe()
	}
}

// retryUnsafe has the batches that lack copies, and are not at the platform,
// copied and written again.
func (l *Ledger) retryUnsafe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.anyUnsafe() {
		wake(l.formed)
		wake(l.urgent)
	}
}

// nextWrite returns the time until the next write that is not urgent.
func (l *Ledger) nextWrite() time.Duration {
	interval := orDefault(l.FlushInterval, DefaultFlushInterval)
	if l.Spread != nil {
		interval = time.Duration(float64(interval) * l.Spread())
	}
	return interval
}

// awaitWrite returns when a write is due, and whether it is urgent.
func (l *Ledger) awaitWrite(ctx context.Context, due *time.Timer) bool {
	select {
	case <-due.C:
		due.Reset(l.nextWrite())
		return false
	case <-l.urgent:
		return true
	case <-ctx.Done():
		return false
	}
}

// anyUnsafe reports whether a batch lacks copies. The lock is held.
func (l *Ledger) anyUnsafe() bool {
	for _, p := range l.pending {
		if !p.isSafe {
			return true
		}
	}
	return false
}

// writeRun writes the oldest batches, or the oldest that lack copies, in one
// transaction.
func (l *Ledger) writeRun(ctx context.Context, unsafeOnly bool) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	run := l.nextRun(unsafeOnly)
	if len(run) == 0 {
		return nil
	}
	err := l.writer.write(ctx, l.Submitter, l.Origin, run)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Writes++
	if err != nil {
		l.stats.Failed++
		return err
	}
	l.removeWritten(run)
	through := l.writtenThrough()
	l.mu.Unlock()
	// A copy that is not dropped is found written by its holder.
	dctx, cancel := context.WithTimeout(ctx, copyTimeout)
	_ = l.Copier.Drop(dctx, l.Origin, through)
	cancel()
	l.mu.Lock()
	return nil
}

func (l *Ledger) nextRun(unsafeOnly bool) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batches []Batch
	for _, p := range l.pending {
		if !unsafeOnly || !p.isSafe {
			batches = append(batches, p.batch)
		}
		if len(batches) > maxRunBills {
			break
		}
	}
	return batches[:firstRun(batches)]
}

// removeWritten takes the batches out of the ledger. The lock is held.
func (l *Ledger) removeWritten(run []Batch) {
	written := make(map[uint64]bool, len(run))
	for _, b := range run {
		written[b.Sequence] = true
		l.bills -= len(b.Bills)
		l.stats.Written += int64(len(b.Bills))
	}
	var rest []*pending
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
// platform. The lock is held.
func (l *Ledger) writtenThrough() uint64 {
	if len(l.pending) == 0 {
		return l.sequence
	}
	return l.pending[0].batch.Sequence - 1
}

// Flush writes all bills to the platform, or has what it cannot write copied
// to a peer. It reports KindPending when some bills are in neither place. A
// daemon calls it after its last Record, before it stops.
func (l *Ledger) Flush(ctx context.Context) error {
	l.mu.Lock()
	l.init()
	l.closeForming()
	l.mu.Unlock()
	for {
		l.mu.Lock()
		left := len(l.pending)
		l.mu.Unlock()
		if left == 0 {
			return nil
		}
		if err := l.writeRun(ctx, false); err != nil {
			return l.handOn(ctx, err)
		}
	}
}

// handOn has all batches copied to peers, also those of which some had copies:
// they may be gone, and there will be nobody to find out.
func (l *Ledger) handOn(ctx context.Context, cause error) error {
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

func (l *Ledger) allPending() []*pending {
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
