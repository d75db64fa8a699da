package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuelatch"
)

// This file tracks the other daemons. Sums of their free capacity are
// maintained because each request reads them once per version.
//
// What a daemon offers depends on the fleet. One that owns the endpoints of its failure domain
// has nothing to offer while that is out, which others may learn before it does. One that
// reaches all endpoints offers those of the failure domains in service, wherever it is.

// peer is another daemon's last summary of the endpoints that it owns or reaches.
type peer struct {
	vm        fescuelatch.VMID
	domain    fescuelatch.DomainID
	updatedAt time.Time
	spares    map[serviceKey]*peerSpare
	out       bool // its endpoints get no new requests
}

func newPeer(e PeerSummarised) *peer {
	p := &peer{vm: e.VM, domain: e.Domain, updatedAt: e.At, spares: make(map[serviceKey]*peerSpare, len(e.Spares))}
	for _, s := range e.Spares {
		p.spares[serviceKeyOf(s)] = &peerSpare{Spare: s}
	}
	return p
}

// peerSpare is a peer's free capacity and the attempts sent since then.
type peerSpare struct {
	fescuelatch.Spare
	sent int
}

// free is negative when attempts wait.
func (s *peerSpare) free() int { return s.Free - s.Queued - s.sent }

// peers holds the other daemons that have sent a summary.
type peers struct {
	// owners reports that daemons offer the endpoints of their own failure domain.
	owners bool
	byVM   map[fescuelatch.VMID]*peer
	sorted []*peer // by VM
	// free is the sum over all peers that may get new requests.
	free map[serviceKey]int
}

func newPeers(owners bool) peers {
	return peers{owners: owners, byVM: make(map[fescuelatch.VMID]*peer), free: make(map[serviceKey]int)}
}

// clone returns a copy of ps, to which requests may be counted as sent.
func (ps *peers) clone() peers {
	c := peers{owners: ps.owners, byVM: make(map[fescuelatch.VMID]*peer, len(ps.byVM)), free: maps.Clone(ps.free)}
	for _, p := range ps.sorted {
		o := *p
		o.spares = make(map[serviceKey]*peerSpare, len(p.spares))
		for s, w := range p.spares {
			spare := *w
			o.spares[s] = &spare
		}
		c.sorted, c.byVM[p.vm] = append(c.sorted, &o), &o
	}
	return c
}

func (ps *peers) find(vm fescuelatch.VMID) (int, bool) {
	return slices.BinarySearchFunc(ps.sorted, vm, func(p *peer, vm fescuelatch.VMID) int { return cmp.Compare(p.vm, vm) })
}

// put adds or replaces the summary of one daemon. The view may be nil.
func (ps *peers) put(p *peer, v *fescuelatch.View) {
	p.out = v != nil && ps.isOut(p, v)
	i, found := ps.find(p.vm)
	if found {
		ps.add(ps.sorted[i], -1)
		ps.sorted[i] = p
	} else {
		ps.sorted = slices.Insert(ps.sorted, i, p)
	}
	ps.byVM[p.vm] = p
	ps.add(p, 1)
}

func (ps *peers) remove(vm fescuelatch.VMID) {
	if i, found := ps.find(vm); found {
		ps.add(ps.sorted[i], -1)
		ps.sorted = slices.Delete(ps.sorted, i, i+1)
		delete(ps.byVM, vm)
	}
}

// configure updates which failure domains get no new requests.
func (ps *peers) configure(v *fescuelatch.View) {
	for _, p := range ps.sorted {
		ps.add(p, -1)
		p.out = ps.isOut(p, v)
		ps.add(p, 1)
	}
}

// isOut reports whether p has nothing to offer as its failure domain is out.
func (ps *peers) isOut(p *peer, v *fescuelatch.View) bool { return ps.owners && v.DomainOut(p.domain) }

// recordSent counts an attempt sent to a daemon since its summary.
func (ps *peers) recordSent(vm fescuelatch.VMID, s serviceKey) {
	p, ok := ps.byVM[vm]
	if !ok {
		return
	}
	if w, ok := p.spares[s]; ok {
		before := w.free()
		w.sent++
		if !p.out {
			ps.addFree(s, w.free()-before)
		}
	}
}

// add adds the free capacity of p, multiplied by sign, to the sums.
func (ps *peers) add(p *peer, sign int) {
	if p.out {
		return
	}
	for s, w := range p.spares {
		ps.addFree(s, sign*w.free())
	}
}

func (ps *peers) addFree(s serviceKey, n int) {
	ps.free[s] += n
	if ps.free[s] == 0 {
		delete(ps.free, s)
	}
}
