package egress

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines the share of the work that home has no room for.

const (
	// fullAt is the number of requests per slot from which on all of the work is surplus,
	// and shortAt that from which on some is: above it requests begin to wait.
	fullAt  = 1.1
	shortAt = 0.8
	// spareMargin is the spare part of the slots elsewhere below which less is sent there.
	// At none, nothing is: a queue elsewhere is no better than one at home.
	spareMargin = 0.2
	// smoothing is the time constant by which the shares follow the load: long against
	// the age of load reports, and such that 0.96 of a change is made within a second.
	smoothing = 300 * time.Millisecond
	// minShare is the share that is taken for none, once it is to fall to none.
	minShare = 0.01
)

// Room is the load and the capacity of a failure domain's endpoints, as far as they take
// work.
type Room struct {
	Domain fescuelatch.DomainID `json:"failure-domain"`
	Busy   float64              `json:"busy"`
	Slots  float64              `json:"slots"`
}

// spare returns the slots that are free before requests begin to wait.
func (r Room) spare() float64 { return max(0, shortAt*r.Slots-r.Busy) }

// PerSlot returns the requests per slot; without slots it is that of full ones.
func (r Room) PerSlot() float64 {
	if r.Slots <= 0 {
		return fullAt
	}
	return r.Busy / r.Slots
}

// Reason is why work leaves its failure domain, or stays.
type Reason string

// Reasons.
const (
	// ReasonRoom means that home has room.
	ReasonRoom Reason = "room-at-home"
	// ReasonShort means that home is short of room.
	ReasonShort Reason = "short-at-home"
	// ReasonNone means that no endpoint at home takes work.
	ReasonNone Reason = "no-endpoint-at-home"
	// ReasonElsewhere means that home is short, but the other failure domains have no
	// room either, or cannot be reached.
	ReasonElsewhere Reason = "no-room-elsewhere"
)

// Part is the share of the work that is surplus and meant for a failure domain.
type Part struct {
	Domain fescuelatch.DomainID `json:"failure-domain"`
	Share  float64              `json:"share"`
}

// Share is the part of the work of a daemon that is surplus, by the failure domains that have
// room for it. All daemons of a failure domain see a similar shortage, and each lets a similar
// part of its work go, so that they need not agree. The zero value has no surplus.
type Share struct {
	parts  []Part
	at     time.Time
	reason Reason
}

// Observe updates the shares to the load at home and in the other failure domains. One that
// is not given cannot be reached, and gets nothing at once.
func (s *Share) Observe(now time.Time, home Room, others []Room) {
	weight := 1.0
	if !s.at.IsZero() {
		weight = -math.Expm1(-float64(max(0, now.Sub(s.at))) / float64(smoothing))
	}
	s.at = now
	want, spare := wanted(home, others)
	s.reason = reasonOf(home, want, spare)
	parts := make([]Part, 0, len(others))
	for _, o := range others {
		p := Part{o.Domain, s.For(o.Domain)}
		aim := 0.0
		if spare > 0 {
			aim = want * o.spare() / spare
		}
		p.Share += weight * (aim - p.Share)
		if aim > 0 || p.Share >= minShare {
			parts = append(parts, p)
		}
	}
	s.parts = parts
}

// wanted returns the share of the work that should leave, and the room for it.
func wanted(home Room, others []Room) (share, spare float64) {
	slots := 0.0
	for _, o := range others {
		spare += o.spare()
		slots += o.Slots
	}
	if slots <= 0 {
		return 0, 0
	}
	shortage := min(max(0, (home.PerSlot()-shortAt)/(fullAt-shortAt)), 1)
	return shortage * min(1, spare/(spareMargin*slots)), spare
}

func reasonOf(home Room, want, spare float64) Reason {
	switch {
	case home.Slots <= 0:
		return ReasonNone
	case home.PerSlot() <= shortAt:
		return ReasonRoom
	case want < minShare || spare <= 0:
		return ReasonElsewhere
	}
	return ReasonShort
}

// Reason returns why work leaves, or stays, at the last observation.
func (s *Share) Reason() Reason { return s.reason }

// Parts returns the shares of the failure domains that get any.
func (s *Share) Parts() []Part { return s.parts }

// For returns the share that is meant for a failure domain.
func (s *Share) For(d fescuelatch.DomainID) float64 {
	for _, p := range s.parts {
		if p.Domain == d {
			return p.Share
		}
	}
	return 0
}

// Total returns the share of the work that is surplus.
func (s *Share) Total() float64 {
	total := 0.0
	for _, p := range s.parts {
		total += p.Share
	}
	return total
}

// Draw returns the failure domain that a request is meant for if it is surplus, or none. lot
// is a uniform number of the request from 0 up to 1, which it keeps while it waits.
func (s *Share) Draw(lot float64) fescuelatch.DomainID {
	for _, p := range s.parts {
		if lot < p.Share {
			return p.Domain
		}
		lot -= p.Share
	}
	return ""
}
