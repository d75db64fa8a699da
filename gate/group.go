package gate

import (
	"cmp"
)

// This file defines groups of targets: those that endpoints serve together
// compete for the same slots.

func (t target) compare(o target) int {
	return cmp.Or(cmp.Compare(t.version, o.version), cmp.Compare(t.service, o.service))
}

// grouped returns the first target of its group for each target that the
// places serve. Places that serve a target in common join their groups.
func grouped(ps []*place) map[target]target {
	groups := make(map[target]target)
	for _, p := range ps {
		ts := targetsOf(p.owned.Pool)
		for _, t := range ts {
			if _, ok := groups[t]; !ok {
				groups[t] = t
			}
			join(groups, groups[ts[0]], groups[t])
		}
	}
	return groups
}

// join makes one group of those of a and b.
func join(groups map[target]target, a, b target) {
	if a.compare(b) > 0 {
		a, b = b, a
	}
	if a == b {
		return
	}
	for t, group := range groups {
		if group == b {
			groups[t] = a
		}
	}
}
