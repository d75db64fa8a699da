package direct

import (
	"cmp"
	"maps"
	"net/netip"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"fescuelatch"
	"fescuelatch/internal/transfer"
)

// This file selects the daemon of the same failure domain through which a daemon
// follows the store.

const (
	// readersPerDomain is the number of daemons of a failure domain that follow the
	// store themselves.
	readersPerDomain = 1
	// standbysPerDomain is the number of daemons after the readers that follow the
	// store themselves when a reader fails, and serve the others as sources.
	standbysPerDomain = 1
	// maxFollowers bounds the followers of a daemon. With one reader, failure
	// domains of 111 daemons are two hops deep.
	maxFollowers = 10
	// sourceBackoff is how long a source is not used after a failure.
	sourceBackoff = 3 * time.Second
)

// source is a daemon through which this one follows the store.
type source struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	client  *rpc.Client
	meter   atomic.Pointer[transfer.Meter] // of the current call
	// lastData is when data last arrived from it.
	lastData atomic.Pointer[time.Time]
	process  string
	next     int64
	hops     int // between it and the readers
}

// sources holds the current source and the recent failures. It is used only by the
// loop that follows the store.
type sources struct {
	current  *source
	failedAt map[fescuelatch.VMID]time.Time
}

// chooseSource returns the source to use, or nil when this daemon must follow the
// store itself.
func (d *Daemon) chooseSource(now time.Time) *source {
	d.mu.Lock()
	candidates := sourceCandidates(d.storeView, d.options.Domain, d.options.VM)
	d.mu.Unlock()
	if d.active.Load() == nil {
		return nil
	}
	s := &d.sources
	for _, c := range candidates {
		if now.Sub(s.failedAt[c.vm]) < sourceBackoff {
			continue
		}
		if s.current == nil || s.current.vm != c.vm || s.current.address != c.address {
			s.closeCurrent()
			s.current = &source{vm: c.vm, address: c.address}
		}
		s.current.hops = c.hops
		return s.current
	}
	return nil
}

// candidate is a daemon that may serve as a source.
type candidate struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	hops    int // between it and the readers
}

// sourceCandidates returns the possible sources of a daemon in order of preference:
// the one assigned to it by its position, then the readers and the standbys. A
// reader has none.
func sourceCandidates(k *storeView, domain fescuelatch.DomainID, self fescuelatch.VMID) []candidate {
	local := localDaemons(k, domain, self)
	order := slices.SortedFunc(maps.Keys(local), func(a, b fescuelatch.VMID) int { return cmp.Compare(rank(a), rank(b)) })
	position := slices.Index(order, self)
	if position < readersPerDomain {
		return nil
	}
	positions := []int{(position - readersPerDomain) / maxFollowers}
	for i := range min(readersPerDomain+standbysPerDomain, position) { // Later daemons may use this one as their source.
		positions = append(positions, i)
	}
	var cs []candidate
	for _, i := range positions {
		vm := order[i]
		if !slices.ContainsFunc(cs, func(c candidate) bool { return c.vm == vm }) {
			cs = append(cs, candidate{vm, local[vm], hopsToReader(i)})
		}
	}
	return cs
}

// hopsToReader returns the number of hops between the daemon at a position in the
// order and the readers.
func hopsToReader(position int) int {
	hops := 0
	for position >= readersPerDomain {
		position = (position - readersPerDomain) / maxFollowers
		hops++
	}
	return hops
}

// localDaemons returns the daemons of a failure domain with their control
// addresses.
func localDaemons(k *storeView, domain fescuelatch.DomainID, self fescuelatch.VMID) map[fescuelatch.VMID]netip.AddrPort {
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

func (s *sources) closeCurrent() {
	if s.current != nil {
		s.current.close()
	}
	s.current = nil
}

func (s *sources) failCurrent(now time.Time) {
	if s.failedAt == nil {
		s.failedAt = make(map[fescuelatch.VMID]time.Time)
	}
	if s.current != nil {
		s.failedAt[s.current.vm] = now
	}
	s.closeCurrent()
}
