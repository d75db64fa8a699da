package direct

import (
	"cmp"
	"maps"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines through which daemon of its failure domain another one follows
// the store.

const (
	// readers is the number of daemons of a failure domain that follow the
	// store themselves.
	readers = 1
	// standBys is the number of daemons after the readers through which the
	// others follow the store when a reader fails. They ask the store then.
	standBys = 1
	// followers is the number of daemons that one passes changes on to. With
	// the reader, failure domains of 111 daemons are two steps deep.
	followers = 10
	// sourceRest is how long a source that failed is not asked.
	sourceRest = 3 * time.Second
)

// source is the daemon through which the store is followed.
type source struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	client  *rpc.Client
	process string
	next    int64
	steps   int // between it and the readers
}

// sources chooses sources and remembers which have failed. Only the loop that
// follows the store uses it.
type sources struct {
	current *source
	failed  map[fescuelatch.VMID]time.Time
}

// chooseSource returns the source to use, or nil when this daemon is to follow the
// store itself.
func (d *Daemon) chooseSource(now time.Time) *source {
	d.mu.Lock()
	candidates := sourcesOf(d.known, d.options.Domain, d.options.VM)
	d.mu.Unlock()
	if d.inForce.Load() == nil {
		return nil
	}
	s := &d.sources
	for _, c := range candidates {
		if now.Sub(s.failed[c.vm]) < sourceRest {
			continue
		}
		if s.current == nil || s.current.vm != c.vm || s.current.address != c.address {
			s.drop()
			s.current = &source{vm: c.vm, address: c.address}
		}
		s.current.steps = c.steps
		return s.current
	}
	return nil
}

// candidate is a daemon through which another one may follow the store.
type candidate struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	steps   int // between it and the readers
}

// sourcesOf returns the daemons through which a daemon may follow the store,
// the best first: the one whose part it is, then the readers and those that
// stand by. There is none for a reader.
func sourcesOf(k *knowledge, domain fescuelatch.DomainID, self fescuelatch.VMID) []candidate {
	local := localDaemons(k, domain, self)
	order := slices.SortedFunc(maps.Keys(local), func(a, b fescuelatch.VMID) int { return cmp.Compare(rank(a), rank(b)) })
	place := slices.Index(order, self)
	if place < readers {
		return nil
	}
	places := []int{(place - readers) / followers}
	for i := range min(readers+standBys, place) { // Those after it may follow the store through it.
		places = append(places, i)
	}
	var cs []candidate
	for _, i := range places {
		vm := order[i]
		if !slices.ContainsFunc(cs, func(c candidate) bool { return c.vm == vm }) {
			cs = append(cs, candidate{vm, local[vm], stepsOf(i)})
		}
	}
	return cs
}

// stepsOf returns the number of steps between the daemon at a place in the
// order and the readers.
func stepsOf(place int) int {
	steps := 0
	for place >= readers {
		place = (place - readers) / followers
		steps++
	}
	return steps
}

// localDaemons returns the daemons of a failure domain with their control
// addresses.
func localDaemons(k *knowledge, domain fescuelatch.DomainID, self fescuelatch.VMID) map[fescuelatch.VMID]netip.AddrPort {
	local := make(map[fescuelatch.VMID]netip.AddrPort)
	for vm, m := range k.members {
		if m.Domain == domain && (m.Control.IsValid() || vm == self) {
			local[vm] = m.Control
		}
	}
	if _, ok := local[self]; !ok {
		local[self] = netip.AddrPort{}
	}
	return local
}

func (s *sources) drop() {
	if s.current != nil {
		s.current.close()
	}
	s.current = nil
}

func (s *sources) fail(now time.Time) {
	if s.failed == nil {
		s.failed = make(map[fescuelatch.VMID]time.Time)
	}
	if s.current != nil {
		s.failed[s.current.vm] = now
	}
	s.drop()
}
