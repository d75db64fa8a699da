package decision

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines what is known of the other daemons. It is kept indexed,
// because a request asks for the sum over all of them once for each version.

// peer is what another daemon last said of the endpoints that it owns.
type peer struct {
	vm     fescuelatch.VMID
	domain fescuelatch.DomainID
	at     time.Time
	spares map[service]*spare
	out    bool // its failure domain gets no new work
}

func newPeer(e Summarised) *peer {
	p := &peer{vm: e.VM, domain: e.Domain, at: e.At, spares: make(map[service]*spare, len(e.Spares))}
	for _, s := range e.Spares {
		p.spares[serviceOf(s)] = &spare{Spare: s}
	}
	return p
}

// spare is a peer's free capacity and what was sent there since.
type spare struct {
	fescuelatch.Spare
	sent int
}

// free is negative when attempts wait.
func (s *spare) free() int { return s.Free - s.Queued - s.sent }

// peers are the other daemons that were heard of.
type peers struct {
	byVM   map[fescuelatch.VMID]*peer
	sorted []*peer // by VM
	// free is the sum over all peers that may get new work.
	free map[service]int
}

func newPeers() peers {
	return peers{byVM: make(map[fescuelatch.VMID]*peer), free: make(map[service]int)}
}

func (ps *peers) find(vm fescuelatch.VMID) (int, bool) {
	return slices.BinarySearchFunc(ps.sorted, vm, func(p *peer, vm fescuelatch.VMID) int { return cmp.Compare(p.vm, vm) })
}

// put replaces what is known of one daemon. The view may be nil.
func (ps *peers) put(p *peer, v *fescuelatch.View) {
	p.out = v != nil && v.DomainOut(p.domain)
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

// configure takes in which failure domains get no new work.
func (ps *peers) configure(v *fescuelatch.View) {
	for _, p := range ps.sorted {
		ps.add(p, -1)
		p.out = v.DomainOut(p.domain)
		ps.add(p, 1)
	}
}

// sent counts an attempt sent to a daemon since it was heard of.
func (ps *peers) sent(vm fescuelatch.VMID, s service) {
	p, ok := ps.byVM[vm]
	if !ok {
		return
	}
	if w, ok := p.spares[s]; ok {
		before := w.free()
		w.sent++
		if !p.out {
			ps.sum(s, w.free()-before)
		}
	}
}

// add adds the free capacity of p to the sums, sign times.
func (ps *peers) add(p *peer, sign int) {
	if p.out {
		return
	}
	for s, w := range p.spares {
		ps.sum(s, sign*w.free())
	}
}

func (ps *peers) sum(s service, n int) {
	ps.free[s] += n
	if ps.free[s] == 0 {
		delete(ps.free, s)
	}
}
