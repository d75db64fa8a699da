package quality

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines the sums over the evidence of several daemons.

// counts are sums over the evidence of several origins.
type counts struct {
	rated, good, attempts, failed float64
	// alarm is the sum of the statistics of origins many origins.
	alarm   float64
	origins int
}

// add adds e as it stands at now. The statistic does not decay.
func (c *counts) add(now time.Time, e *fescuelatch.Evidence, halfLife time.Duration) {
	w := decay(now.Sub(e.Updated), halfLife)
	c.rated += w * e.Rated
	c.good += w * e.Good
	c.attempts += w * e.Attempts
	c.failed += w * e.Failed
	c.alarm += e.Alarm
	if observed(e) {
		c.origins++
	}
}

// observed reports whether e holds any observation. The statistic of an
// origin without one is 0 for certain, and must not raise the threshold of
// the sum: a daemon that has just started would not believe the others.
func observed(e *fescuelatch.Evidence) bool { return e.Rated+e.Attempts > 0 }

const (
	// poolUnit is the fixed-point unit of a pool's sums.
	poolUnit = 1 << 20
	// rebuildInterval is how often a pool is summed anew, which drops expired
	// evidence and bounds the growth of weights.
	rebuildInterval = 10 * time.Second
)

// pool is the sum over the evidence of other daemons. Its sums are integers:
// evidence can be added and taken away in any order with the same result. All
// evidence decays at one rate, so that the sums only have to be scaled as
// time passes; they hold the counts as of at.
type pool struct {
	at time.Time
	// epoch is the earliest beginning of evidence that counts.
	epoch    time.Time
	halfLife time.Duration

	rated, good, attempts, failed, alarm int64
	origins                              int
}

// newPool sums the evidence of others at now.
func newPool(now, epoch time.Time, halfLife time.Duration, list peers) pool {
	p := pool{at: now, epoch: epoch, halfLife: halfLife}
	for i := range list {
		p.add(&list[i], 1)
	}
	return p
}

// stale reports whether p has to be summed anew.
func (p *pool) stale(now time.Time) bool {
	return p.at.IsZero() || now.Sub(p.at) >= rebuildInterval
}

// add adds e with a sign of 1, or takes it away with a sign of -1.
func (p *pool) add(e *fescuelatch.Evidence, sign int64) {
	if p.at.IsZero() || e.Since.Before(p.epoch) {
		return
	}
	w := poolUnit * math.Exp2(e.Updated.Sub(p.at).Seconds()/p.halfLife.Seconds())
	p.rated += sign * int64(w*e.Rated)
	p.good += sign * int64(w*e.Good)
	p.attempts += sign * int64(w*e.Attempts)
	p.failed += sign * int64(w*e.Failed)
	p.alarm += sign * int64(poolUnit*e.Alarm)
	if observed(e) {
		p.origins += int(sign)
	}
}

// counts returns the sums as they stand at now.
func (p *pool) counts(now time.Time) counts {
	w := decay(now.Sub(p.at), p.halfLife) / poolUnit
	return counts{
		rated:    w * float64(p.rated),
		good:     w * float64(p.good),
		attempts: w * float64(p.attempts),
		failed:   w * float64(p.failed),
		alarm:    float64(p.alarm) / poolUnit,
		origins:  p.origins,
	}
}
