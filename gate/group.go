package gate

import (
	"cmp"
)

// This file defines groups of targets: targets that an endpoint serves together
// compete for the same slots.

func (t target) compare(o target) int {
	return cmp.Or(cmp.Compare(t.version, o.version), cmp.Compare(t.service, o.service))
}

// groupTargets maps each target that the endpoints serve to the first target of its
// group. Endpoints with a common target have their groups merged.
func groupTargets(es []*endpointLoad) map[target]target {
	groups := make(map[target]target)
	for _, e := range es {
		ts := targetsOf(e.owned.Pool)
		for _, t := range ts {
			if _, ok := groups[t]; !ok {
				groups[t] = t
			}
			mergeGroups(groups, groups[ts[0]], groups[t])
		}
	}
	return groups
}

func mergeGroups(groups map[target]target, a, b target) {
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
