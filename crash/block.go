package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines blocked traits, and how they are tried again.

const (
	// Doubtful blocks are tried first when the reports are complete and after up to
	// trialSpread, so that they are tried one by one.
	trialSpread = time.Second
	// blockLifetime is how long a block lasts without a trial, for traits that no
	// request has any more. The record lasts longer.
	blockLifetime = 9 * time.Minute
	// trialPatience is how long a trial waits for a request without another suspect, which
	// would show nothing of the trait if it crashes an endpoint.
	trialPatience = 500 * time.Millisecond
	// minRetryAfter is told to the caller of a blocked request when a trial is due.
	minRetryAfter = time.Second
)

// trialIntervals are the times from a block, or from a trial, to the next trial, by the number of
// trials before; the last one holds for all others. Of all daemons one may make a trial, which may
// crash an endpoint.
var trialIntervals = [...]time.Duration{0, 4 * time.Second, 8 * time.Second, 2 * time.Minute, 4 * time.Minute}

const (
	// aloneTrials is the least number of trials that determines the interval if a trait
	// is the only one that may have caused its outages, and aloneInterval the least interval.
	// The trait may still be innocent: endpoints that crash often for another reason end all
	// attempts at a long request, but not for long.
	aloneTrials   = 2
	aloneInterval = 10 * time.Second
)

// block is a blocked trait.
type block struct {
	// doubtful reports that the trait is not alone: others were in the same outages,
	// most outages were without it, or not all reports of the last one are known yet.
	// The block lasts as long as this is what follows from the reports, and stored is
	// the record of its trials.
	doubtful bool
	// with holds the traits without which a request with the trait is not refused: all
	// requests with it that met a crash had them, so that each of them may be the cause.
	with []string
	// confirmed reports that a trial since the trait is alone has crashed an endpoint;
	// the last one was claimed at triedAt.
	confirmed bool
	triedAt   time.Time
	until     time.Time
	// stored is the record; its revision is zero if there is none.
	stored fescuelatch.KeyValue
	// recorded reports that there has been a record.
	recorded bool
	trials   int
	// writeAt is when the record is to be written if there is still none.
	writeAt time.Time
	// refused reports that a request was refused since the record was last read.
	refused bool
	// trialAt is when a trial is due, and trial the request of this daemon that is one.
	// It is the claimed-th trial, and begun once the request has been let through.
	trialAt time.Time
	trial   fescuelatch.RequestID
	claimed int
	begun   bool
}

// claims reports whether this daemon has claimed a trial that no request has begun.
func (b *block) claims() bool { return b.trial != "" && !b.begun && b.trials <= b.claimed }

// Blocked implements fescuelatch.CrashGuard.
func (l *Ledger) Blocked(now time.Time, q *fescuelatch.Request) (time.Duration, bool) {
	blocks := l.blocksOf(now, q)
	wait, blocked := waitFor(now, q, blocks)
	for _, b := range blocks {
		if b.refuses(q) {
			b.refused = true
		}
	}
	if !blocked {
		for _, b := range blocks {
			b.begun = true
		}
	}
	return wait, blocked
}

// refuses reports whether q, to which the block applies, is not the trial.
func (b *block) refuses(q *fescuelatch.Request) bool { return b.trial != q.ID || q.ID == "" }

// waitFor returns whether blocks refuse q, and the time until it may be tried.
func waitFor(now time.Time, q *fescuelatch.Request, blocks map[string]*block) (wait time.Duration, blocked bool) {
	for _, b := range blocks {
		if b.refuses(q) {
			wait, blocked = max(wait, b.trialAt.Sub(now), minRetryAfter), true
		}
	}
	return wait, blocked
}

// blocksOf returns the blocks of a request's traits.
func (l *Ledger) blocksOf(now time.Time, q *fescuelatch.Request) map[string]*block {
	if len(l.blocks) == 0 {
		return nil
	}
	var blocks map[string]*block
	traits := traitsOf(q)
	for _, s := range traits {
		if b := l.blocks[s.Trait]; b != nil && !l.isSound(now, s.Trait) && l.applies(now, b, traits) {
			if blocks == nil {
				blocks = make(map[string]*block)
			}
			blocks[s.Trait] = b
		}
	}
	return blocks
}

// applies reports whether a block applies to a request with certain traits: it has all those
// that may be the cause in place of the blocked one.
func (l *Ledger) applies(now time.Time, b *block, traits []Suspect) bool {
	for _, w := range b.with {
		if !slices.ContainsFunc(traits, func(s Suspect) bool { return s.Trait == w }) && !l.isSound(now, w) {
			return false
		}
	}
	return true
}

// MayRepeat implements fescuelatch.CrashGuard.
func (l *Ledger) MayRepeat(now time.Time, q *fescuelatch.Request) bool {
	if len(l.outages) == 0 && len(l.blocks) == 0 {
		return true
	}
	traits := traitsOf(q)
	for _, s := range traits {
		if b := l.blocks[s.Trait]; l.outages[s.Trait] >= suspectAfter || b != nil && l.applies(now, b, traits) {
			return false
		}
	}
	return true
}

// Trial returns the records that claim the trial of a blocked request, or none if it is
// not time for one. All have to be written, and followed by Claimed. If the claim of an
// earlier request was written after that had been refused, the request is the trial.
func (l *Ledger) Trial(now time.Time, q *fescuelatch.Request) []Write {
	blocks := unclaimed(l.blocksOf(now, q))
	if due(now, blocks) {
		l.update(now) // The doubt may have ended.
		blocks = unclaimed(l.blocksOf(now, q))
	}
	if len(blocks) == 0 && q.ID != "" {
		for _, b := range l.blocksOf(now, q) {
			b.trial = q.ID
		}
	}
	if !due(now, blocks) || l.waitsForBetterTrial(now, blocks, q) {
		return nil
	}
	var claims []Write
	for trait, b := range blocks {
		b.trialAt = now.Add(rewriteInterval)
		w := Write{
			Kind: RecordBlock, Name: trait, Value: Block{Trials: b.step(trait) + 1, With: b.with}, Lifetime: statementLifetime,
			Conditional: true, Revision: b.stored.Revision,
		}
		if b.doubtful {
			w.Kind, w.Lifetime = RecordTrial, reportLifetime
		}
		claims = append(claims, w)
	}
	return claims
}

// unclaimed returns the blocks whose trial this daemon has not claimed.
func unclaimed(blocks map[string]*block) map[string]*block {
	maps.DeleteFunc(blocks, func(_ string, b *block) bool { return b.claims() })
	return blocks
}

// due reports whether a request with certain blocks may be tried.
func due(now time.Time, blocks map[string]*block) bool {
	for _, b := range blocks {
		if now.Before(b.trialAt) || b.stored.Revision == 0 && !b.doubtful {
			return false
		}
	}
	return len(blocks) > 0
}

// waitsForBetterTrial reports whether the trial of blocked traits is left to another request for
// now, as this one has further suspects that other requests with a trait may lack. Requests with
// the cause, whose callers try them again, would use up the trials of the parts that all share.
func (l *Ledger) waitsForBetterTrial(now time.Time, blocks map[string]*block, q *fescuelatch.Request) bool {
	traits := traitsOf(q)
	for trait, b := range blocks {
		if !now.Before(b.trialAt.Add(trialPatience)) {
			continue
		}
		for _, s := range traits {
			least := suspectAfter
			if isRequest(s.Trait) {
				least = 1 // Other requests have parts of this one.
			}
			if s.Trait != trait && l.namedIn(s.Trait) >= least && !l.isSound(now, s.Trait) && !slices.Contains(b.with, s.Trait) {
				return true
			}
		}
	}
	return false
}

// Claimed records that this daemon may send a request as the trial.
func (l *Ledger) Claimed(claims []Write, id fescuelatch.RequestID) {
	for _, w := range claims {
		if b := l.blocks[w.Name]; b != nil {
			b.trial, b.begun = id, false
			if value, ok := w.Value.(Block); ok {
				b.claimed = value.Trials
			}
		}
	}
}

// TrialNotRun records that a request has ended which reached no endpoint. If it was a trial, the
// next request is the trial in its place.
func (l *Ledger) TrialNotRun(id fescuelatch.RequestID) {
	for _, b := range l.blocks {
		if b.trial == id {
			b.begun = false
		}
	}
}

// BlockedParts returns the number of blocked prompt parts.
func (l *Ledger) BlockedParts() int { return len(l.blocks) - l.BlockedRequests() }

// BlockedRequests returns the number of blocked requests, by their fingerprints.
func (l *Ledger) BlockedRequests() int {
	n := 0
	for trait := range l.blocks {
		if isRequest(trait) {
			n++
		}
	}
	return n
}

// block blocks a trait and reports whether there is room for it.
func (l *Ledger) block(now time.Time, trait string, outages int) bool {
	if l.blocks[trait] == nil && len(l.blocks) >= maxBlocks {
		return false
	}
	// The record is for the time after the reports, so it may wait.
	b := &block{until: now.Add(blockLifetime), triedAt: now, writeAt: now.Add(l.delay(calmDelay) + l.recordDelay())}
	b.trials = l.trialsOf(trait)
	l.scheduleTrial(now, trait, b)
	l.blocks[trait] = b
	l.changed(trait, Change{Blocked: true, Doubtful: true, Alone: true, Outages: outages})
	return true
}

// doubt blocks a trait until it is known whether it or another one is the cause. It has no
// effect if the trait is blocked.
func (l *Ledger) doubt(now time.Time, trait string, outages int) {
	if l.blocks[trait] != nil || len(l.blocks) >= maxBlocks {
		return
	}
	b := &block{doubtful: true, until: now.Add(blockLifetime)}
	l.recordTrials(now, trait, b)
	l.blocks[trait] = b
	l.changed(trait, Change{Blocked: true, Doubtful: true, Outages: outages})
}

// recordTrials records the known trials of a doubtful block.
func (l *Ledger) recordTrials(now time.Time, trait string, b *block) {
	b.stored, b.trials = l.trials[trait].stored, l.trialsOf(trait)
	l.scheduleTrial(now, trait, b)
}

// trialsOf returns the number of trials of a trait in doubt since it was last stated to be sound.
func (l *Ledger) trialsOf(trait string) int {
	r := l.trials[trait]
	if s, ok := l.vouched[trait]; ok && writtenAfter(s.stored, r.stored) {
		return 0
	}
	return r.trials
}

// scheduleTrial sets the time of the next trial of a trait.
func (l *Ledger) scheduleTrial(now time.Time, trait string, b *block) {
	interval := max(trialIntervals[min(b.step(trait), len(trialIntervals)-1)], l.settleTime())
	if !b.doubtful && !b.untried(trait) {
		interval = max(interval, aloneInterval)
	}
	spread := time.Duration(xxhash.Sum64String(trait) % uint64(trialSpread))
	b.trialAt = now.Add(interval + spread)
}

// untried reports whether a trait is a part that was not tried yet. It may be shared by most
// prompts, several of which crash endpoints, so that it is tried as soon as one in doubt.
func (b *block) untried(trait string) bool { return b.trials == 0 && !isRequest(trait) }

// step returns the number of trials that determines the next interval.
func (b *block) step(trait string) int {
	if b.doubtful || b.untried(trait) {
		return b.trials
	}
	return max(b.trials, aloneTrials)
}

// confirm records whether a trial of a trait that is alone has crashed an endpoint.
func (l *Ledger) confirm(e *evidence, trait string, b *block) {
	if !b.doubtful && !b.confirmed && b.trials > aloneTrials && e.last(trait).After(b.triedAt) {
		b.confirmed = true
		l.changed(trait, Change{Blocked: true, Alone: true, Outages: l.named[trait]})
	}
}

func (l *Ledger) unblock(trait string) {
	if b := l.blocks[trait]; b != nil {
		if !b.doubtful && b.stored.Revision != 0 {
			l.endBlockRecord(trait, b.stored)
		}
		delete(l.blocks, trait)
		l.changed(trait, Change{})
	}
}

func (l *Ledger) expireBlocks(now time.Time) {
	for trait, b := range l.blocks {
		if !now.Before(b.until) {
			l.unblock(trait)
		}
	}
}
