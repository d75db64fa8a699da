package daemon

import (
	"slices"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file defines how a daemon tells another one the free capacity of the
// endpoints that it owns.

// numberingsKept is the number of generations whose numbers are understood:
// another daemon may not have heard of the present one yet.
const numberingsKept = 4

// numberings are those of the latest generations, the newest first. The zero
// value is ready to use.
type numberings struct {
	mu   sync.Mutex
	kept []*peer.Numbering
}

// of returns the numbering of v.
func (ns *numberings) of(v *fescuelatch.View) *peer.Numbering {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if n := ns.find(v.Generation()); n != nil {
		return n
	}
	n := peer.NewNumbering(v)
	ns.kept = slices.Insert(ns.kept, 0, n)
	ns.kept = ns.kept[:min(len(ns.kept), numberingsKept)]
	return n
}

// at returns the numbering of a generation, or nil.
func (ns *numberings) at(g fescuelatch.Generation) *peer.Numbering {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.find(g)
}

func (ns *numberings) find(g fescuelatch.Generation) *peer.Numbering {
	for _, n := range ns.kept {
		if n.Generation() == g {
			return n
		}
	}
	return nil
}

// hello says who this daemon is and what it has in force, to a daemon that
// was last known to have generation g.
func (d *Daemon) hello(g fescuelatch.Generation) peer.Hello {
	d.mu.Lock()
	spares, evidence := d.core.Summary(time.Now())
	d.mu.Unlock()
	h := peer.Hello{
		VM: d.options.VM, Domain: d.options.Domain, Incarnation: d.incarnation,
		Generation: d.holder.Generation(), Leaving: d.leaving.Load(),
		Spares: spares, Evidence: inCommonTime(d.options.Clock, evidence),
	}
	if v := d.holder.View(); v != nil && v.Generation() == h.Generation && h.Generation == g {
		h.Counts, h.Spares = d.numbers.of(v).Pack(spares), nil
	}
	return h
}

// sparesOf returns the free capacity that a hello tells. What was heard
// before stays when the numbers of its generation are unknown.
func (d *Daemon) sparesOf(h *peer.Hello, before heard) []fescuelatch.Spare {
	if len(h.Counts) == 0 {
		return h.Spares
	}
	if n := d.numbers.at(h.Generation); n != nil {
		if ss, err := n.Unpack(h.Counts); err == nil {
			return ss
		}
	}
	if before.hello.Incarnation != h.Incarnation {
		return nil
	}
	return before.hello.Spares
}
