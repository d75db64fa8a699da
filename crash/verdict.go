package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file defines the conclusion from the reports: which parts are blocked.

const (
	// suspectAfter is the number of outages that a part may have caused after which
	// a request with it that has met a crash is not sent again.
	suspectAfter = 2
	// blockAfter is the number after which the part is blocked. All daemons have to
	// know it after five crashes, of which not each is reported.
	blockAfter = 3
)

// outage is the parts that may have caused crashes of one moment, by their depth.
type outage map[string]int

// update draws the conclusion from all reports.
func (l *Ledger) update(now time.Time) {
	l.updated = now
	l.expireBlocks(now)
	open := l.collectOutages()
	l.named, _ = countOutages(open)
	for _, i := range open {
		for p := range i {
			if l.isSound(now, p) {
				delete(i, p)
			}
		}
	}
	for {
		// A part that is blocked explains its outages: the other parts there are
		// those of requests that ran on the same endpoints.
		open = l.unexplained(open)
		counts, depths := countOutages(open)
		l.outages = counts
		part := ""
		for p, n := range counts {
			if n >= blockAfter && (part == "" || moreSuspicious(counts, depths, p, part)) {
				part = p
			}
		}
		if part == "" || !l.block(now, part, counts[part]) {
			return
		}
	}
}

// moreSuspicious reports whether part a is more likely than b to cause the outages. Of
// two parts that are in the same ones, the deeper one is in fewer other prompts.
func moreSuspicious(counts, depths map[string]int, a, b string) bool {
	return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(depths[a], depths[b]), cmp.Compare(a, b)) > 0
}

// collectOutages joins the reports that have processes in common. It leaves out parts
// that were stated to be sound after a report.
func (l *Ledger) collectOutages() []outage {
	parents := make(map[string]string)
	for _, r := range l.reports {
		for _, p := range r.Processes {
			join(parents, r.Processes[0], p)
		}
	}
	byRoot := make(map[string]outage)
	for _, r := range l.reports {
		root := find(parents, r.Processes[0])
		for _, s := range r.Suspects {
			if l.cleared(s.Part, r) {
				continue
			}
			if byRoot[root] == nil {
				byRoot[root] = make(outage)
			}
			byRoot[root][s.Part] = max(byRoot[root][s.Part], s.Depth)
		}
	}
	return slices.Collect(maps.Values(byRoot))
}

// find returns the representative of the set of a process.
func find(parents map[string]string, p string) string {
	for parents[p] != "" && parents[p] != p {
		p = parents[p]
	}
	return p
}

// join unites the sets of two processes.
func join(parents map[string]string, a, b string) {
	a, b = find(parents, a), find(parents, b)
	if a != b {
		parents[b] = a
	}
}

// unexplained returns the outages without a blocked part.
func (l *Ledger) unexplained(all []outage) []outage {
	var rest []outage
	for _, i := range all {
		explained := false
		for p := range i {
			explained = explained || l.blocks[p] != nil
		}
		if !explained {
			rest = append(rest, i)
		}
	}
	return rest
}

func countOutages(all []outage) (counts, depths map[string]int) {
	counts, depths = make(map[string]int), make(map[string]int)
	for _, i := range all {
		for p, depth := range i {
			counts[p]++
			depths[p] = max(depths[p], depth)
		}
	}
	return counts, depths
}
