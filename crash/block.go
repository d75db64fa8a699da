package crash

import (
	"time"

	"fescuelatch"
)

// This file defines blocked parts, and how they are tried again.

const (
	// trialInterval is the time from the block of a part, or from a trial, to the
	// next trial. A trial may crash an endpoint.
	trialInterval = 2 * time.Minute
	// trialTimeout is how long a daemon may wait for a request for the trial.
	trialTimeout = 30 * time.Second
	// blockLifetime is how long a block lasts without a trial, for parts that no
	// request has any more. The record lasts longer.
	blockLifetime = 9 * time.Minute
	// minRetryAfter is told to the caller of a blocked request when a trial is due.
	minRetryAfter = time.Second
)

// block is a blocked part.
type block struct {
	until time.Time
	// stored is the record; its revision is zero if there is none.
	stored fescuelatch.KeyValue
	// recorded reports that there has been a record.
	recorded bool
	trials   int
	// writeAt is when the record is to be written if there is still none.
	writeAt time.Time
	// refused reports that a request was refused since the record was last read.
	refused bool
	// trialAt is when a trial is due. requested reports that a request has come since.
	trialAt   time.Time
	requested bool
	// grantedUntil is until when a request of this daemon may be the trial, and trial
	// is that request.
	grantedUntil time.Time
	trial        fescuelatch.RequestID
}

// Blocked implements fescuelatch.PromptGuard.
func (l *Ledger) Blocked(now time.Time, r *fescuelatch.Request) (time.Duration, bool) {
	if len(l.blocks) == 0 {
		return 0, false
	}
	var wait time.Duration
	blocked := false
	for _, s := range sharedParts(r.Parts) {
		b := l.blocks[s.Part]
		if b == nil || l.isSound(now, s.Part) || b.tries(now, r.ID) {
			continue
		}
		b.refused = true
		b.requested = b.requested || !now.Before(b.trialAt)
		wait, blocked = max(wait, b.trialAt.Sub(now), minRetryAfter), true
	}
	return wait, blocked
}

// tries reports whether a request is the trial, which it becomes if one is granted.
func (b *block) tries(now time.Time, id fescuelatch.RequestID) bool {
	if now.Before(b.grantedUntil) {
		b.trial, b.grantedUntil = id, time.Time{}
	}
	return b.trial == id && id != ""
}

// MayRepeat implements fescuelatch.PromptGuard.
func (l *Ledger) MayRepeat(_ time.Time, r *fescuelatch.Request) bool {
	if len(l.outages) == 0 && len(l.blocks) == 0 {
		return true
	}
	for _, s := range sharedParts(r.Parts) {
		if l.outages[s.Part] >= suspectAfter || l.blocks[s.Part] != nil {
			return false
		}
	}
	return true
}

// BlockedParts returns the number of blocked parts.
func (l *Ledger) BlockedParts() int { return len(l.blocks) }

// block blocks a part and reports whether there is room for it.
func (l *Ledger) block(now time.Time, part string, outages int) bool {
	if len(l.blocks) >= maxBlocks {
		return false
	}
	l.blocks[part] = &block{
		until: now.Add(blockLifetime), trialAt: now.Add(trialInterval), writeAt: now.Add(l.recordDelay()),
	}
	l.changes = append(l.changes, Change{part, true, outages})
	return true
}

func (l *Ledger) unblock(part string) {
	if l.blocks[part] != nil {
		delete(l.blocks, part)
		l.changes = append(l.changes, Change{part, false, 0})
	}
}

func (l *Ledger) expireBlocks(now time.Time) {
	for p, b := range l.blocks {
		if !now.Before(b.until) {
			l.unblock(p)
		}
	}
}
