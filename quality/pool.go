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
	// alarm is the sum of the statistics of the origins counted in origins.
	alarm   float64
	origins int
}

// add adds e, decayed to now. The alarm statistic does not decay.
func (c *counts) add(now time.Time, e *fescuelatch.Evidence, halfLife time.Duration) {
	w := decay(now.Sub(e.Updated), halfLife)
	c.rated += w * e.Rated
	c.good += w * e.Good
	c.attempts += w * e.Attempts
	c.failed += w * e.Failed
	c.alarm += e.Alarm
	if hasObservations(e) {
		c.origins++
	}
}

// hasObservations reports whether e holds any observation. The statistic of an
// origin without observations is always 0 and must not raise the threshold of
// the sum: a daemon that has just started would ignore the alarms of others.
func hasObservations(e *fescuelatch.Evidence) bool { return e.Rated+e.Attempts > 0 }

const (
	// poolUnit is the fixed-point unit of a pool's sums.
	poolUnit = 1 << 20
	// rebuildInterval is how often a pool is rebuilt, which drops expired
	// evidence and bounds the growth of weights.
	rebuildInterval = 10 * time.Second
)

// pool is the sum over the evidence of other daemons. The sums are integers, so
// that evidence can be added and removed in any order. All evidence decays at one
// rate, so that the sums, the counts at time at, only have to be scaled later.
type pool struct {
	at time.Time
	// epoch is the earliest Since of evidence that counts.
	epoch    time.Time
	halfLife time.Duration

	rated, good, attempts, failed, alarm int64
	origins                              int
}

// newPool sums the evidence of other daemons at now.
func newPool(now, epoch time.Time, halfLife time.Duration, list peers) pool {
	p := pool{at: now, epoch: epoch, halfLife: halfLife}
	for i := range list {
		p.add(&list[i], 1)
	}
	return p
}

// stale reports whether p has to be rebuilt.
func (p *pool) stale(now time.Time) bool {
	return p.at.IsZero() || now.Sub(p.at) >= rebuildInterval
}

// add adds e with a sign of 1, or subtracts it with a sign of -1.
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
	if hasObservations(e) {
		p.origins += int(sign)
	}
}

// counts returns the sums, decayed to now.
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
