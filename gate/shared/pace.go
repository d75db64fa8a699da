package shared

import "time"

// This file defines what is known of the time that a version takes.

// paceMemory weighs the last observation against the earlier ones.
const paceMemory = 0.1

// pace is the measured speed of a version, over all endpoints.
type pace struct {
	// token is the time of one uncached prompt token, with baseTokens added
	// to each prompt.
	token time.Duration
	total time.Duration
	// typical is the mean time to the first output.
	typical time.Duration
}

func (p *pace) observeFirst(took time.Duration, fresh int) {
	p.token = blend(p.token, took/time.Duration(fresh+baseTokens))
	p.typical = blend(p.typical, took)
}

func (p *pace) observeTotal(took time.Duration) { p.total = blend(p.total, took) }

// expected returns the expected time to the first output of a prompt with
// fresh uncached tokens at an idle endpoint.
func (p *pace) expected(fresh int) time.Duration {
	token := p.token
	if token == 0 {
		token = defaultTokenTime
	}
	return token * time.Duration(fresh+baseTokens)
}

// first returns the mean time to the first output, or zero before any.
func (p *pace) first() time.Duration { return p.typical }

// whole returns the mean time of an attempt.
func (p *pace) whole() time.Duration {
	if p.total == 0 {
		return defaultTotal
	}
	return p.total
}

// blend moves a mean towards an observation. The first one stands by itself.
func blend(mean, seen time.Duration) time.Duration {
	if mean == 0 {
		return seen
	}
	return mean + time.Duration(paceMemory*float64(seen-mean))
}
