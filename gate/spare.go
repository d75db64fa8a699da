package gate

import (
	"cmp"
	"slices"

	"fescuelatch"
)

// This file defines the sum of free capacity over endpoints.

// target is what an attempt asks for: a version or a plain service.
type target struct {
	version fescuelatch.VersionID
	service fescuelatch.ServiceID
}

// targetOf returns the target of w.
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

// spareTable sums capacity for each target. The zero value is empty.
type spareTable struct {
	rows map[target]*fescuelatch.Spare
}

func (t *spareTable) row(k target) *fescuelatch.Spare {
	if t.rows == nil {
		t.rows = make(map[target]*fescuelatch.Spare)
	}
	r := t.rows[k]
	if r == nil {
		r = &fescuelatch.Spare{Version: k.version, Service: k.service}
		t.rows[k] = r
	}
	return r
}

// addSlots adds the slots of one endpoint of pool p to all that p serves.
func (t *spareTable) addSlots(p fescuelatch.Pool, slots, free int) {
	for _, k := range targetsOf(p) {
		r := t.row(k)
		r.Slots += slots
		r.Free += max(free, 0)
	}
}

// addQueued counts w as waiting when its target has a row.
func (t *spareTable) addQueued(w fescuelatch.Work) {
	if r := t.rows[targetOf(w)]; r != nil {
		r.Queued++
	}
}

// list returns the rows ordered by version, then service.
func (t *spareTable) list() []fescuelatch.Spare {
	ss := make([]fescuelatch.Spare, 0, len(t.rows))
	for _, r := range t.rows {
		ss = append(ss, *r)
	}
	slices.SortFunc(ss, func(a, b fescuelatch.Spare) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
	return ss
}
