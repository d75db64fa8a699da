package crash

import (
	"cmp"
	"slices"
	"time"
)

// This file defines which crashes are one outage.

// joinWindow is the time around the first crash of an outage of which several daemons tell.
// Each sees crashes a little later than the others.
const joinWindow = 2 * outageWindow

// outages holds the crashes in all reports, divided into outages.
type outages struct {
	// of is the outage of each crash. Reports hold the numbers of their crashes.
	of []int
	// sizes is the number of crashes in each outage, and seen when it was first heard of.
	sizes []int
	seen  []time.Time
}

// joinReports divides the crashes in all reports into outages. Reports with processes in
// common tell of one, as far as it lasts no longer than joinWindow by the times in them:
// otherwise crashes that follow each other quickly would all be one.
func (l *Ledger) joinReports() *outages {
	o := &outages{}
	numbers := make(map[string]int) // of crashes by process
	ordered := l.reportsInOrder()
	for _, r := range ordered {
		for _, p := range r.Processes {
			if _, ok := numbers[p]; !ok {
				l.addOutage(o, numbers, p, r.seen)
			}
		}
		r.crashes = make([]int, len(r.Processes))
		for i, p := range r.Processes {
			r.crashes[i] = numbers[p]
			if outage := o.of[numbers[p]]; r.seen.Before(o.seen[outage]) {
				o.seen[outage] = r.seen
			}
		}
	}
	return o
}

// addOutage adds the outage of a process.
func (l *Ledger) addOutage(o *outages, numbers map[string]int, process string, seen time.Time) {
	type crash struct {
		process string
		after   time.Duration // the first one
	}
	outage := len(o.sizes)
	o.sizes, o.seen = append(o.sizes, 0), append(o.seen, seen)
	followed := make(map[*report]bool)
	add := func(process string) {
		numbers[process] = len(o.of)
		o.of = append(o.of, outage)
		o.sizes[outage]++
	}
	add(process)
	for next := []crash{{process, 0}}; len(next) > 0; next = next[1:] {
		for _, r := range l.reportsOf[next[0].process] {
			if followed[r] || len(r.Processes) == 1 {
				continue
			}
			followed[r] = true
			began := next[0].after - r.offset(slices.Index(r.Processes, next[0].process))
			for i, p := range r.Processes {
				if _, ok := numbers[p]; ok {
					continue
				}
				if after := began + r.offset(i); after.Abs() < joinWindow {
					add(p)
					next = append(next, crash{p, after})
				}
			}
		}
	}
}

// offset returns how long after the first crash of a report another one was seen.
func (r *report) offset(i int) time.Duration {
	if len(r.Offsets) == 0 {
		return 0
	}
	return time.Duration(r.Offsets[i]) * time.Millisecond
}

// reportsInOrder returns all reports in the order of their records, those that were not read
// from the store last. It is the same at all daemons that know the same records.
func (l *Ledger) reportsInOrder() []*report {
	all := make([]*report, 0, len(l.reports))
	for _, r := range l.reports {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *report) int {
		if aStored, bStored := a.stored.Revision != 0, b.stored.Revision != 0; aStored != bStored {
			if aStored {
				return -1
			}
			return 1
		}
		return cmp.Or(compareStored(a.stored, b.stored), a.seen.Compare(b.seen), cmp.Compare(a.name, b.name))
	})
	return all
}
