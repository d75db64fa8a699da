package daemon

import (
	"slices"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file defines how daemons report the free capacity of the endpoints that
// they own.

// maxNumberings is the number of recent generations whose numbering is kept,
// because another daemon may not have received the current one yet.
const maxNumberings = 4

// numberings holds the numberings of the latest generations, newest first. The
// zero value is ready to use.
type numberings struct {
	mu     sync.Mutex
	recent []*peer.Numbering
}

// forView returns the numbering of v, creating it if necessary.
func (ns *numberings) forView(v *fescuelatch.View) *peer.Numbering {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if n := ns.find(v.Generation()); n != nil {
		return n
	}
	n := peer.NewNumbering(v)
	ns.recent = slices.Insert(ns.recent, 0, n)
	ns.recent = ns.recent[:min(len(ns.recent), maxNumberings)]
	return n
}

// forGeneration returns the numbering of a generation, or nil.
func (ns *numberings) forGeneration(g fescuelatch.Generation) *peer.Numbering {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.find(g)
}

func (ns *numberings) find(g fescuelatch.Generation) *peer.Numbering {
	for _, n := range ns.recent {
		if n.Generation() == g {
			return n
		}
	}
	return nil
}

// hello returns the identity, generation, free capacity and evidence of this
// daemon, for a daemon whose last known generation is g.
func (d *Daemon) hello(g fescuelatch.Generation) peer.Hello {
	d.mu.Lock()
	spares, evidence := d.core.Summary(time.Now())
	d.mu.Unlock()
	h := peer.Hello{
		VM: d.options.VM, Domain: d.options.Domain, Incarnation: d.incarnation,
		Generation: d.holder.Generation(), Leaving: d.leaving.Load(),
		Spares: spares, Evidence: toCommonTime(d.options.Clock, evidence),
	}
	if v := d.holder.View(); v != nil && v.Generation() == h.Generation && h.Generation == g {
		h.Counts, h.Spares = d.numberings.forView(v).Pack(spares), nil
	}
	return h
}

// sparesOf returns the free capacity in a hello. If the numbering of its
// generation is unknown, the capacity received before stays.
func (d *Daemon) sparesOf(h *peer.Hello, before peerState) []fescuelatch.Spare {
	if len(h.Counts) == 0 {
		return h.Spares
	}
	if n := d.numberings.forGeneration(h.Generation); n != nil {
		if ss, err := n.Unpack(h.Counts); err == nil {
			return ss
		}
	}
	if before.hello.Incarnation != h.Incarnation {
		return nil
	}
	return before.hello.Spares
}
