package crash

import (
	"maps"
	"slices"
	"time"
)

// This file defines the conclusion from the reports: which traits are blocked.

const (
	// suspectAfter is the number of outages that a trait may have caused after which
	// a request with it that has met a crash is not sent again.
	suspectAfter = 2
	// blockAfter is the number after which the trait is blocked.
	blockAfter = 3
	// settleTime and settleTimePerDaemon are the time after which the reports of an
	// outage are complete. Until then another trait may turn out to be in it too.
	settleTime          = time.Second
	settleTimePerDaemon = reportDelayPerDaemon
)

// updateSoon draws the conclusion from all reports, at once or at a later Tick.
func (l *Ledger) updateSoon(now time.Time) {
	l.stale = true
	if l.reported <= freelyReported || now.Sub(l.updated) >= time.Duration(l.reported)*updateIntervalPerSuspect {
		l.update(now)
	}
}

// update draws the conclusion from all reports.
func (l *Ledger) update(now time.Time) {
	l.updated, l.stale = now, false
	l.expireBlocks(now)
	e := l.collectEvidence(now)
	for t, b := range l.blocks {
		if !b.doubtful {
			l.confirm(e, t, b)
			e.explain(t, true)
		}
	}
	doubtful := make(map[string]int)
	for full := false; !full; {
		causes, outages := e.causes(l.certain)
		if len(causes) == 0 {
			break
		}
		frequent := 2*outages >= e.open
		for _, group := range causes {
			for _, t := range group {
				certain := len(group) == 1 && frequent && now.Sub(e.last(t)) >= l.settleTime()
				if !certain {
					doubtful[t] = outages
				} else if !l.block(now, t, outages) {
					full = true
				}
				e.explain(t, certain)
			}
		}
	}
	l.outages = e.counts
	l.endDoubtfulBlocks(e, doubtful)
	for _, t := range slices.Sorted(maps.Keys(doubtful)) {
		l.doubt(now, t, doubtful[t])
	}
	for t, b := range l.blocks {
		if len(e.in[t]) > 0 {
			b.with = e.with[t]
		}
	}
}

// endDoubtfulBlocks unblocks the traits whose doubtful blocks end by the evidence. doubtful has the
// traits that are still in doubt.
func (l *Ledger) endDoubtfulBlocks(e *evidence, doubtful map[string]int) {
	for t, b := range l.blocks {
		if b.doubtful && doubtful[t] == 0 && (l.mayBeInnocent(e, t) || l.comesWithCause(e, t)) {
			l.unblock(t)
		}
	}
}

// comesWithCause reports whether all outages of a trait are explained by others, one of which is
// in fewer requests and always comes with it.
func (l *Ledger) comesWithCause(e *evidence, trait string) bool {
	if e.counts[trait] > 0 {
		return false
	}
	for t := range l.blocks {
		if t != trait && e.isMoreGeneral(trait, t) && slices.Contains(e.with[t], trait) {
			return true
		}
	}
	return false
}

// mayBeInnocent reports whether a doubtful block ends, as certain blocks explain its outages. It
// holds until a trial if these are fewer only because some turned out to be the same one, or if
// another suspect is in more of them by the reports that are known so far: otherwise reports that
// are late would free and block the trait in turn.
func (l *Ledger) mayBeInnocent(e *evidence, trait string) bool {
	if _, suspected := e.counts[trait]; !suspected {
		return true
	}
	open := e.countOpen(trait)
	return open < blockAfter && open < l.named[trait]
}

// settleTime returns the time after which the reports of an outage are complete.
func (l *Ledger) settleTime() time.Duration {
	return settleTime + time.Duration(l.members())*settleTimePerDaemon
}

// certain reports whether a trait is blocked without doubt.
func (l *Ledger) certain(trait string) bool {
	b := l.blocks[trait]
	return b != nil && !b.doubtful
}
