package gate

import (
	"cmp"
	"slices"

	"fescuelatch"
)

// This file sums the free capacity of endpoints.

// target is the destination of an attempt: a version or a plain service.
type target struct {
	version fescuelatch.VersionID
	service fescuelatch.ServiceID
}

func targetOf(w fescuelatch.Work) target {
	if w.Request.IsService() {
		return target{service: w.Request.Service}
	}
	return target{version: w.Version}
}

// targetsOf returns all targets that a pool serves.
func targetsOf(p fescuelatch.Pool) []target {
	ts := make([]target, 0, len(p.Versions)+1)
	for _, v := range p.Versions {
		ts = append(ts, target{version: v})
	}
	if p.Service != "" {
		ts = append(ts, target{service: p.Service})
	}
	return ts
}

// spareTable sums capacity for each target. The zero value is empty. Endpoints
// are summed by pool first, because those of a pool serve the same targets.
type spareTable struct {
	pools  []poolSpare
	queued map[target]int
}

// poolSpare is the capacity of the endpoints of one pool.
type poolSpare struct {
	pool        fescuelatch.Pool
	slots, free int
}

// addSlots adds the slots of one endpoint of pool p.
func (t *spareTable) addSlots(p fescuelatch.Pool, slots, free int) {
	i := slices.IndexFunc(t.pools, func(o poolSpare) bool { return o.pool.ID == p.ID })
	if i < 0 {
		i = len(t.pools)
		t.pools = append(t.pools, poolSpare{pool: p})
	}
	t.pools[i].slots += slots
	t.pools[i].free += max(free, 0)
}

// addQueued adds n attempts queued for k. They are listed only if an endpoint
// serves k.
func (t *spareTable) addQueued(k target, n int) {
	if t.queued == nil {
		t.queued = make(map[target]int)
	}
	t.queued[k] += n
}

// list returns the rows ordered by version, then service.
func (t *spareTable) list() []fescuelatch.Spare {
	ss := make([]fescuelatch.Spare, 0, len(t.pools))
	for _, o := range t.pools {
		for _, k := range targetsOf(o.pool) {
			ss = append(ss, fescuelatch.Spare{
				Version: k.version, Service: k.service, Free: o.free, Slots: o.slots, Queued: t.queued[k],
			})
		}
	}
	slices.SortFunc(ss, func(a, b fescuelatch.Spare) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
	return mergeRows(ss)
}

// mergeRows merges adjacent rows of the same target, which several pools may
// serve.
func mergeRows(ss []fescuelatch.Spare) []fescuelatch.Spare {
	merged := ss[:0]
	for _, s := range ss {
		last := len(merged) - 1
		if last >= 0 && merged[last].Version == s.Version && merged[last].Service == s.Service {
			merged[last].Free += s.Free
			merged[last].Slots += s.Slots
			continue
		}
		merged = append(merged, s)
	}
	return merged
}
