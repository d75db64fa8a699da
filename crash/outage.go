package crash

import (
	"slices"
	"strconv"
	"time"

	"fescuelatch"
)

// This file defines how a daemon reports the crashes that it sees.

const (
	// outageWindow is the time within which crashes count as one outage. Endpoints that
	// end at the same moment have a cause in common, such as their power or network, or
	// a daemon that has lost its own.
	outageWindow = 100 * time.Millisecond
	// endedWindow is how long after its end an attempt may still be found to have crashed
	// its endpoint: the daemon has left before, and hears of the crash from others.
	endedWindow = 2 * time.Second
	// maxEnded bounds the attempts that are remembered for that.
	maxEnded = 512
)

// endedAttempt is an attempt that the daemon has ended before its answer was under way.
type endedAttempt struct {
	process string
	traits  []Suspect
	at      time.Time
}

// Crashed records that an endpoint's process has ended during an attempt at a request. If
// the answer was not yet under way, the request may have caused that; otherwise it is not used.
func (l *Ledger) Crashed(now time.Time, process fescuelatch.EndpointProcess, q *fescuelatch.Request, underWay bool) {
	if l.open == nil || now.Sub(l.open.seen).Abs() >= outageWindow {
		l.open = l.newReport(now)
	}
	// Crashes are recorded after a connect, and so not always in the order of their times.
	l.open.beginAt(now)
	key := ProcessKey(process)
	l.addOwnReport(l.open)
	l.addProcess(l.open, key, now.Sub(l.open.seen))
	related := l.suspectEnded(now, l.open, key)
	if !underWay {
		related = l.suspect(now, l.open, key, traitsOf(q)) || related
	}
	if related {
		l.updateSoon(now)
	}
}

// Ended records that this daemon has ended an attempt before its answer was under way.
func (l *Ledger) Ended(now time.Time, process fescuelatch.EndpointProcess, q *fescuelatch.Request) {
	traits := traitsOf(q)
	if len(traits) == 0 {
		return
	}
	if len(l.ended) >= maxEnded {
		l.ended = slices.Delete(l.ended, 0, 1)
	}
	l.ended = append(l.ended, endedAttempt{ProcessKey(process), traits, now})
}

// Gone records that an endpoint refuses connections, as its process has ended.
func (l *Ledger) Gone(now time.Time, process fescuelatch.EndpointProcess) {
	if l.reportEnded(now, ProcessKey(process)) {
		l.updateSoon(now)
	}
}

// EndedLately returns the processes of the outages that any daemon has seen lately, by
// ProcessKey.
func (l *Ledger) EndedLately(now time.Time) map[string]bool {
	var ended map[string]bool
	for _, r := range l.reports {
		if now.Sub(r.seen) >= endedWindow {
			continue
		}
		if ended == nil {
			ended = make(map[string]bool)
		}
		for _, p := range r.Processes {
			ended[p] = true
		}
	}
	return ended
}

// reportEnded reports the attempts that this daemon ended just before the end of a process
// which it did not see itself, and reports whether any of their traits is in other outages.
func (l *Ledger) reportEnded(now time.Time, process string) bool {
	if !slices.ContainsFunc(l.ended, func(e endedAttempt) bool { return e.process == process }) {
		return false
	}
	r := l.newReport(now)
	l.addOwnReport(r)
	l.addProcess(r, process, 0)
	related := l.suspectEnded(now, r, process)
	if len(r.Suspects) == 0 {
		l.removeReport(r.name)
	}
	return related
}

// suspectEnded adds the traits of the attempts that this daemon ended at a process just
// before its end to a report.
func (l *Ledger) suspectEnded(now time.Time, r *report, process string) bool {
	related := false
	l.ended = slices.DeleteFunc(l.ended, func(e endedAttempt) bool {
		late := now.Sub(e.at) >= endedWindow
		if e.process == process && !late {
			related = l.suspect(now, r, process, e.traits) || related
		}
		return late || e.process == process
	})
	return related
}

// suspect adds the traits of a request that was at a process to a report, or to a second
// one on the same processes once it is full. It reports whether any of the traits is in
// another report.
func (l *Ledger) suspect(now time.Time, r *report, process string, traits []Suspect) bool {
	related := false
	for _, s := range traits {
		if l.isSound(now, s.Trait) {
			continue
		}
		known := slices.IndexFunc(r.Suspects, func(o Suspect) bool { return o.Trait == s.Trait })
		if known < 0 && len(r.Suspects) >= maxSuspects {
			second := l.newReport(r.seen)
			l.addOwnReport(second)
			for i, p := range r.Processes {
				l.addProcess(second, p, r.offset(i))
			}
			if l.open == r {
				l.open = second
			}
			r = second
		}
		if known < 0 {
			s.With = slices.DeleteFunc(slices.Clone(s.With), func(w string) bool { return l.isSound(now, w) })
			r.Suspects = append(r.Suspects, s)
			known = len(r.Suspects) - 1
			l.addMention(r, known)
		} else {
			r.Suspects[known].With = both(r.Suspects[known].With, s.With)
		}
		r.suspectAt(known, process)
		related = related || l.repeated[s.Trait]
	}
	return related
}

// suspectAt records that a process had a request with a suspect.
func (r *report) suspectAt(suspect int, process string) {
	at := &r.Suspects[suspect].At
	if i := slices.Index(r.Processes, process); i >= 0 && !slices.Contains(*at, i) {
		*at = append(*at, i)
	}
}

// beginAt moves the first crash of a report back to a time, if that is earlier.
func (r *report) beginAt(at time.Time) {
	earlier := r.seen.Sub(at)
	if earlier <= 0 {
		return
	}
	r.seen = at
	for i := range r.Offsets {
		r.Offsets[i] += int(earlier.Milliseconds())
	}
}

// newReport returns an own report.
func (l *Ledger) newReport(seen time.Time) *report {
	delay := l.delay(time.Duration(l.members()) * reportDelayPerDaemon)
	return &report{name: strconv.FormatUint(l.random.Uint64(), 16), seen: seen, writeAt: seen.Add(outageWindow + delay)}
}

// addProcess adds a process to an own report, which ended some time after the first.
func (l *Ledger) addProcess(r *report, key string, after time.Duration) {
	if !slices.Contains(r.Processes, key) && len(r.Processes) < maxProcesses {
		r.Processes = append(r.Processes, key)
		r.Offsets = append(r.Offsets, int(after.Milliseconds()))
		l.reportsOf[key] = append(l.reportsOf[key], r)
		l.outagesOfReports = nil
	}
}

// closeOutage ends the report that further crashes join.
func (l *Ledger) closeOutage(now time.Time) {
	if l.open != nil && now.Sub(l.open.seen) >= outageWindow {
		l.open = nil
	}
}

// addOwnReport adds a report of this daemon, unless it was added before.
func (l *Ledger) addOwnReport(r *report) {
	if l.reports[r.name] == nil {
		l.addReport(r)
		l.unwritten[r.name] = r
	}
}
