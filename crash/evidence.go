package crash

import (
	"maps"
	"slices"
	"time"
)

// This file defines the evidence that reports hold, and which traits it points at.

// evidence is what all reports say.
type evidence struct {
	*outages
	// traits holds the traits of the requests at each crash. A trait that is blocked
	// explains the crash: the others are those of requests that ran there as well.
	traits    [][]string
	explained []bool
	// settled reports the crashes that traits explain which are blocked without doubt.
	settled []bool
	// unexplained is the number of crashes in each outage that no trait explains, and
	// open that of the outages with such crashes.
	unexplained []int
	open        int
	// counts is the number of outages with unexplained crashes that each trait may have
	// caused.
	counts map[string]int
	// in holds the crashes of each trait, and depths its depth.
	in     map[string][]int
	depths map[string]int
	// parents holds the traits that come before a trait in requests; "" stands for
	// reports that do not tell. preceding holds all that come before it, if asked for.
	parents   map[string]map[string]bool
	preceding map[string]map[string]bool
	// with holds the traits that all requests with a trait had that met a crash, if they
	// are known.
	with map[string][]string
	// crashMarks and outageMarks tell what was counted since mark last changed.
	crashMarks, outageMarks []int
	mark                    int
}

// collectEvidence collects what the reports say on traits that are in several of them, or
// blocked. It leaves out traits that were stated to be sound after a report, or that this
// daemon knows to be.
func (l *Ledger) collectEvidence(now time.Time) *evidence {
	if l.outagesOfReports == nil {
		l.outagesOfReports = l.joinReports()
	}
	o := l.outagesOfReports
	e := &evidence{
		outages: o, traits: make([][]string, len(o.of)), explained: make([]bool, len(o.of)), settled: make([]bool, len(o.of)),
		unexplained: slices.Clone(o.sizes), open: len(o.sizes),
		counts: make(map[string]int), in: make(map[string][]int), depths: make(map[string]int),
		parents: make(map[string]map[string]bool), preceding: make(map[string]map[string]bool), with: make(map[string][]string),
		crashMarks: make([]int, len(o.of)), outageMarks: make([]int, len(o.sizes)),
	}
	clear(l.named)
	for t := range l.repeated {
		l.collectTrait(now, e, t)
	}
	for t := range l.blocks {
		if !l.repeated[t] {
			l.collectTrait(now, e, t)
		}
	}
	for t, with := range e.with {
		e.with[t] = slices.DeleteFunc(with, func(w string) bool { return e.in[w] == nil })
	}
	return e
}

// collectTrait collects what the reports say on a trait.
func (l *Ledger) collectTrait(now time.Time, e *evidence, trait string) {
	var in []int
	var last *Suspect
	e.mark++
	sound, vouched := l.vouched[trait]
	var with []string
	for _, m := range l.mentions[trait] {
		if vouched && sound.clears(m.report) {
			continue
		}
		s := &m.report.Suspects[m.suspect]
		if last == nil {
			with = slices.Clone(s.With)
		} else {
			with = both(with, s.With)
		}
		if last == nil || s.After != last.After || s.Depth != last.Depth {
			e.addTrait(s)
			last = s
		}
		for i, number := range m.report.crashes {
			if e.crashMarks[number] != e.mark && (len(s.At) == 0 || slices.Contains(s.At, i)) {
				e.crashMarks[number] = e.mark
				in = append(in, number)
			}
		}
	}
	if len(in) == 0 {
		return
	}
	e.in[trait] = in
	n := e.count(trait)
	l.named[trait] = n
	if l.isSound(now, trait) || n < suspectAfter && l.blocks[trait] == nil {
		delete(e.in, trait)
		return
	}
	e.counts[trait] = n
	if with != nil {
		e.with[trait] = with
	}
	for _, number := range in {
		e.traits[number] = append(e.traits[number], trait)
	}
}

// addTrait adds what a suspect tells of its trait.
func (e *evidence) addTrait(s *Suspect) {
	e.depths[s.Trait] = max(e.depths[s.Trait], s.Depth)
	if s.Depth > 0 && (s.After != "" || !isRequest(s.Trait)) {
		if e.parents[s.Trait] == nil {
			e.parents[s.Trait] = make(map[string]bool)
		}
		e.parents[s.Trait][s.After] = true
	}
}

// count returns the number of outages with unexplained crashes that a trait may have caused.
func (e *evidence) count(trait string) int { return e.countWithout(trait, e.explained) }

// countOpen returns the number of outages of a trait that no trait explains without doubt.
func (e *evidence) countOpen(trait string) int { return e.countWithout(trait, e.settled) }

// countWithout returns the number of outages of a trait that have others than certain crashes.
func (e *evidence) countWithout(trait string, crashes []bool) int {
	n := 0
	e.mark++
	for _, number := range e.in[trait] {
		if o := e.of[number]; !crashes[number] && e.outageMarks[o] != e.mark {
			e.outageMarks[o] = e.mark
			n++
		}
	}
	return n
}

// explain marks the crashes of a trait as explained, with or without doubt.
func (e *evidence) explain(trait string, certain bool) {
	affected := make(map[string]bool)
	for _, number := range e.in[trait] {
		e.settled[number] = e.settled[number] || certain
		if e.explained[number] {
			continue
		}
		e.explained[number] = true
		o := e.of[number]
		if e.unexplained[o]--; e.unexplained[o] == 0 {
			e.open--
		}
		for _, t := range e.traits[number] {
			affected[t] = true
		}
	}
	for t := range affected {
		e.counts[t] = e.count(t)
	}
}

// last returns when the last outage of a trait was first heard of.
func (e *evidence) last(trait string) time.Time {
	var last time.Time
	for _, number := range e.in[trait] {
		if seen := e.seen[e.of[number]]; seen.After(last) {
			last = seen
		}
	}
	return last
}

// causes returns the traits that are in the most outages, and that number, if it suffices to
// block them. Of traits of the same request only the one that is in the fewest other ones is
// returned, and the last of those that are always together. Only one trait of each group is a
// cause.
func (e *evidence) causes(blocked func(string) bool) ([][]string, int) {
	candidates, most := e.candidates(blocked)
	var top []string
	for t, n := range candidates {
		if n == most {
			top = append(top, t)
		}
	}
	general := make(map[string]bool)
	for _, t := range top {
		for _, o := range top {
			if o != t && e.isMoreGeneral(o, t) {
				general[o] = true
			}
		}
	}
	last := slices.DeleteFunc(top, func(t string) bool { return general[t] })
	unknownDepth := 0
	for _, t := range last {
		if e.parents[t][""] {
			unknownDepth = max(unknownDepth, e.depths[t])
		}
	}
	last = slices.DeleteFunc(last, func(t string) bool { return e.depths[t] < unknownDepth })
	slices.Sort(last)
	return e.group(last), most
}

// isMoreGeneral reports whether a trait is in more requests than another one that comes with it,
// by the requests that met a crash. Of traits that always come together it is the first one.
func (e *evidence) isMoreGeneral(trait, o string) bool {
	always, alwaysO := slices.Contains(e.with[o], trait), slices.Contains(e.with[trait], o)
	if always != alwaysO {
		return always
	}
	before, after := e.precedingOf(o)[trait], e.precedingOf(trait)[o]
	if before != after {
		return before
	}
	// Prompts have the two in either order.
	return always && trait > o
}

// comesWith reports whether all requests with a trait have another one, as far as that is known.
func (e *evidence) comesWith(trait, o string) bool {
	return e.precedingOf(trait)[o] || slices.Contains(e.with[trait], o)
}

// candidates returns the traits that may have caused enough outages, with their number, and
// the largest of these. An outage that a blocked trait explains counts as well for a trait
// that comes with that one: if this is the cause, the requests that were blocked for
// themselves crashed endpoints because of it.
func (e *evidence) candidates(blocked func(string) bool) (all map[string]int, most int) {
	withBlocked := make(map[string]bool)
	for t := range e.in {
		if blocked(t) {
			maps.Copy(withBlocked, e.precedingOf(t))
			for _, w := range e.with[t] {
				withBlocked[w] = true
			}
		}
	}
	all = make(map[string]int)
	for t, n := range e.counts {
		if n < suspectAfter || blocked(t) {
			continue
		}
		if n < blockAfter && withBlocked[t] {
			n += e.explainedTogether(t, blocked)
		}
		if n >= blockAfter {
			all[t] = n
			most = max(most, n)
		}
	}
	return all, most
}

// explainedTogether returns the number of outages with a trait in which each blocked trait
// comes with it.
func (e *evidence) explainedTogether(trait string, blocked func(string) bool) int {
	n := 0
	e.mark++
	for _, number := range e.in[trait] {
		explained, other := false, false
		for _, t := range e.traits[number] {
			if blocked(t) {
				explained = true
				other = other || !e.comesWith(t, trait)
			}
		}
		if o := e.of[number]; explained && !other && e.outageMarks[o] != e.mark {
			e.outageMarks[o] = e.mark
			n++
		}
	}
	return n
}

// precedingOf returns the traits that come before a trait in requests.
func (e *evidence) precedingOf(trait string) map[string]bool {
	if p := e.preceding[trait]; p != nil {
		return p
	}
	preceding := make(map[string]bool)
	for next := []string{trait}; len(next) > 0; next = next[1:] {
		for p := range e.parents[next[0]] {
			if !preceding[p] {
				preceding[p] = true
				next = append(next, p)
			}
		}
	}
	e.preceding[trait] = preceding
	return preceding
}

// group divides traits into groups. Those that are in a crash together are in one.
func (e *evidence) group(traits []string) [][]string {
	joined := make(map[string]string)
	first := make(map[int]string) // trait of each crash
	for _, t := range traits {
		joined[t] = t
	}
	for _, t := range traits {
		for _, number := range e.in[t] {
			if o, ok := first[number]; ok {
				join(joined, o, t)
			} else {
				first[number] = t
			}
		}
	}
	index := make(map[string]int)
	var groups [][]string
	for _, t := range traits {
		root := find(joined, t)
		i, ok := index[root]
		if !ok {
			i = len(groups)
			index[root] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], t)
	}
	return groups
}

// find returns the representative of the set of a trait.
func find(joined map[string]string, trait string) string {
	for joined[trait] != trait {
		trait = joined[trait]
	}
	return trait
}

// join unites the sets of two traits.
func join(joined map[string]string, a, b string) {
	joined[find(joined, b)] = find(joined, a)
}
