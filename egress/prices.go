package egress

import (
	"math"
	"time"
)

// This file defines the prices of leaving a failure domain, and their comparison with time.

// Prices of a deployment, all in one currency of its choice.
type Prices struct {
	// Gigabyte is the price of 10^9 bytes between failure domains.
	Gigabyte float64
	// Late is what a request loses that is answered after its target latency, and Lost
	// what one loses that is refused or gets no answer.
	Late, Lost float64
	// Delay is the time to another failure domain and back.
	Delay time.Duration
}

// Request is a request that may leave its failure domain.
type Request struct {
	// Bytes is the expected traffic, there and back.
	Bytes int
	// Target is the target time to the first output; zero means DefaultTarget.
	Target time.Duration
	// Expected is the expected time to the first output at home.
	Expected time.Duration
	// Surplus reports that home has no room for the request, which may be lost there.
	Surplus bool
}

// DefaultTarget is the target latency of requests that have none.
const DefaultTarget = time.Second

const (
	bytesPerGigabyte = 1e9
	// minSlope bounds the price of a second from below: the expected time is an estimate,
	// so that even in calm a request may become late.
	minSlope = 0.05
	// MaxCrossing bounds the time that a crossing counts for, so that times can be added.
	MaxCrossing = time.Hour
)

// Money returns the price of the bytes of a request between failure domains.
func (p Prices) Money(bytes int) float64 { return p.Gigabyte * float64(bytes) / bytesPerGigabyte }

// Crossing returns the time by which another failure domain must be expected to answer
// sooner for the crossing to pay:
//
//	Delay + Money(Bytes) / second
//
// where a second of waiting costs the request
//
//	second = (Late x slope(Expected/Target) + (Lost if Surplus)) / Target
func (p Prices) Crossing(r Request) time.Duration {
	money := p.Money(r.Bytes)
	if money <= 0 {
		return p.Delay
	}
	target := r.Target
	if target <= 0 {
		target = DefaultTarget
	}
	loss := p.Late * slope(float64(r.Expected)/float64(target))
	if r.Surplus {
		loss += p.Lost
	}
	seconds := money * target.Seconds() / loss
	if !(seconds < (MaxCrossing - p.Delay).Seconds()) {
		return MaxCrossing // Also if nothing is lost, or the numbers overflow.
	}
	return p.Delay + time.Duration(seconds*float64(time.Second))
}

// slope returns by how much the chance of being late rises with the expected time, both in
// units of the target. Times to the first output are taken to vary by half of their mean, as
// the sum of 4 exponentially distributed ones does (an Erlang distribution). The chance rises
// most steeply at 0.8 of the target; a second of later requests counts as much, as they may
// be refused.
func slope(x float64) float64 {
	const steepest = 0.8
	k := 4 / min(max(x, 0.01), steepest)
	return max(minSlope, math.Pow(k, 5)*math.Exp(-k)/24)
}
