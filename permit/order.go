package permit

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines the order of the daemons of an endpoint.

const (
	// minHolders and maxHolders bound the number of daemons that share the permits
	// of an endpoint, which grows by holdersPerPermit for each permit a second. With
	// more holders, more permits would be lost at daemons with few requests, and
	// the allocator would get more messages.
	minHolders       = 8
	maxHolders       = 64
	holdersPerPermit = 2
	// minPollInterval is the minimum interval at which a daemon that gets no permits
	// asks whether the limit has ended.
	minPollInterval = 2 * time.Second
)

// Order is the order of the daemons of an endpoint, as one of them needs it.
type Order struct {
	// Allocators are the daemons that may be asked for permits, in order of
	// preference.
	Allocators []fescuelatch.VMID
	// Position is the number of daemons before this one.
	Position int
	// Daemons is their total number.
	Daemons int
}

// key orders the daemons of an endpoint. Those of its failure domain come first: they
// reach it while the domain is cut off.
type key struct {
	other bool // in another failure domain
	hash  uint64
	vm    fescuelatch.VMID
}

func keyOf(e fescuelatch.EndpointID, domain fescuelatch.DomainID, vm fescuelatch.VMID, at fescuelatch.DomainID) key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(vm))
	return key{at != domain, d.Sum64(), vm}
}

func (k key) before(o key) bool {
	switch {
	case k.other != o.other:
		return o.other
	case k.hash != o.hash:
		return k.hash < o.hash
	}
	return k.vm < o.vm
}

// OrderOf returns the order of members, which are daemons with their failure domains,
// for an endpoint of a failure domain. All daemons find the same order for the same
// members. self is this daemon; if it is no member, it comes last.
func OrderOf(e fescuelatch.EndpointID, domain fescuelatch.DomainID, self fescuelatch.VMID, members iter.Seq2[fescuelatch.VMID, fescuelatch.DomainID]) Order {
	first := make([]key, 0, len(shares)+1)
	var o Order
	var own key
	isMember := false
	for vm, at := range members {
		k := keyOf(e, domain, vm, at)
		if vm == self {
			own, isMember = k, true
		}
		first = insert(first, k)
		o.Daemons++
	}
	for _, k := range first {
		o.Allocators = append(o.Allocators, k.vm)
	}
	if !isMember {
		o.Position = o.Daemons
		return o
	}
	for vm, at := range members {
		if keyOf(e, domain, vm, at).before(own) {
			o.Position++
		}
	}
	return o
}

// insert inserts a key into the sorted first ones, of which there are as many as shares.
func insert(first []key, k key) []key {
	first = append(first, k)
	for i := len(first) - 1; i > 0 && first[i].before(first[i-1]); i-- {
		first[i], first[i-1] = first[i-1], first[i]
	}
	return first[:min(len(first), len(shares))]
}

// MayHold reports whether this daemon gets permits of an endpoint with limit l.
func (o Order) MayHold(l fescuelatch.RateLimit) bool {
	return float64(o.Position) < min(minHolders+holdersPerPermit*l.PerSecond, maxHolders)
}

// PollInterval returns the interval at which a daemon that gets no permits asks whether
// the limit has ended.
func (o Order) PollInterval() time.Duration { return max(minPollInterval, interval(o.Daemons)) }
