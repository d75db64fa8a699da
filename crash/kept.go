package crash

import (
	"slices"

	"fescuelatch"
)

// This file defines which reports and statements are kept, and how reports are found.

// addReport adds a report and removes others if there are too many.
func (l *Ledger) addReport(r *report) {
	l.reports[r.name] = r
	for _, p := range r.Processes {
		l.reportsOf[p] = append(l.reportsOf[p], r)
	}
	for i := range r.Suspects {
		l.addMention(r, i)
	}
	l.outagesOfReports = nil
	if len(l.reports) > maxReports || l.reported > maxReported {
		l.dropReports()
	}
}

// removeReport removes a report.
func (l *Ledger) removeReport(name string) {
	r := l.reports[name]
	if r == nil {
		return
	}
	delete(l.reports, name)
	delete(l.unwritten, name)
	for _, p := range r.Processes {
		if l.reportsOf[p] = slices.DeleteFunc(l.reportsOf[p], func(o *report) bool { return o == r }); len(l.reportsOf[p]) == 0 {
			delete(l.reportsOf, p)
		}
	}
	for _, s := range r.Suspects {
		l.removeMention(r, s.Trait)
	}
	l.outagesOfReports = nil
}

// addMention records that a report names a suspect.
func (l *Ledger) addMention(r *report, suspect int) {
	trait := r.Suspects[suspect].Trait
	l.mentions[trait] = append(l.mentions[trait], mention{r, suspect})
	l.reported++
	if len(l.mentions[trait]) > 1 {
		l.repeated[trait] = true
	}
}

// removeMention removes the first suspect of a report with a trait.
func (l *Ledger) removeMention(r *report, trait string) {
	all := l.mentions[trait]
	i := slices.IndexFunc(all, func(m mention) bool { return m.report == r })
	if i < 0 {
		return
	}
	all = slices.Delete(all, i, i+1)
	l.mentions[trait] = all
	l.reported--
	if len(all) < 2 {
		delete(l.repeated, trait)
	}
	if len(all) == 0 {
		delete(l.mentions, trait)
	}
}

// dropReports removes an eighth of what may be kept, so that it is called rarely. Of the
// older half those go first none of whose suspects is in several outages, then the oldest.
func (l *Ledger) dropReports() {
	all := l.reportsInOrder()
	drop := func(r *report) {
		if len(l.reports) > maxReports*7/8 || l.reported > maxReported*7/8 {
			if r.stored.After(l.oldReports) {
				l.oldReports = r.stored
			}
			l.removeReport(r.name)
		}
	}
	for _, r := range all[:len(all)/2] {
		if !slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return l.outages[s.Trait] >= suspectAfter }) {
			drop(r)
		}
	}
	for _, r := range all {
		if l.reports[r.name] == r {
			drop(r)
		}
	}
}

// compareStored orders records by when they were written.
func compareStored(a, b fescuelatch.KeyValue) int {
	switch {
	case a.After(b):
		return 1
	case b.After(a):
		return -1
	}
	return 0
}

// dropStatements removes the oldest eighth of the statements.
func (l *Ledger) dropStatements() {
	traits := make([]string, 0, len(l.vouched))
	for t := range l.vouched {
		traits = append(traits, t)
	}
	slices.SortFunc(traits, func(a, b string) int { return compareStored(l.vouched[a].stored, l.vouched[b].stored) })
	for _, t := range traits[:len(traits)/8] {
		if s := l.vouched[t].stored; s.After(l.oldStatements) {
			l.oldStatements = s
		}
		delete(l.vouched, t)
	}
}
