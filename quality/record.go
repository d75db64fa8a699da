package quality

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines what a Model keeps of one version.

// refreshInterval is how long an estimate is reused while only time passes.
const refreshInterval = time.Second

// failureInterval is the time in which further failures are taken for one
// fault: several at one endpoint, or at different versions, are more likely
// to come from the endpoint or the failure domain than from the version.
const failureInterval = 5 * time.Second

// maxFailing bounds the endpoints remembered as failing.
const maxFailing = 16

// failing remembers when an endpoint last failed.
type failing struct {
	endpoint fescuelatch.EndpointID
	at       time.Time
}

// record is what is kept of one version.
type record struct {
	prior    float64
	ratings  test
	attempts test

	own        fescuelatch.Evidence
	ratingSum  cusum
	failureSum cusum
	// pooledSum is the statistic over the ratings of all daemons, in the order
	// in which this daemon learns of them.
	pooledSum cusum
	failing   []failing

	peers peers
	pool  pool

	verdict verdict

	estimate   fescuelatch.Estimate
	estimateAt time.Time
}

func newRecord(now time.Time, origin fescuelatch.Incarnation, v fescuelatch.VersionID) *record {
	return &record{
		own:     fescuelatch.Evidence{Origin: origin, Version: v, Since: now, Updated: now},
		verdict: verdict{machine: chart.ModelVersion().New()},
	}
}

// configure sets the expected quality.
func (r *record) configure(quality float64, s *Settings) {
	r.prior = min(max(quality, minProbability), maxProbability)
	r.ratings = newTest(r.prior-s.Tolerance, s.OddsRatio)
	r.attempts = newTest(1-s.FailureShare, s.OddsRatio)
	r.changed()
}

// changed forgets the cached estimate.
func (r *record) changed() { r.estimateAt = time.Time{} }

// rate records a rating of one answer.
func (r *record) rate(now time.Time, score float64, s *Settings) {
	age(&r.own, now, s.HalfLife)
	r.own.Rated++
	r.own.Good += score
	ratio := r.ratings.ratio(score)
	r.own.LogRatio += ratio
	r.learn(ratio)
	r.test(&r.ratingSum, ratio)
	r.changed()
}

// attempt records the end of an attempt, 1 for an answer and 0 for a failure.
func (r *record) attempt(now time.Time, score float64, s *Settings) {
	age(&r.own, now, s.HalfLife)
	r.own.Attempts++
	r.own.Failed += 1 - score
	r.test(&r.failureSum, r.attempts.ratio(score))
}

// test adds a ratio to one of the statistics. During a quarantine they stand
// still, so that a daemon that starts meanwhile sees why.
func (r *record) test(c *cusum, ratio float64) {
	if r.quarantined() {
		return
	}
	c.add(ratio)
	r.own.Alarm = combine(r.ratingSum, r.failureSum)
}

// learn adds the ratio of ratings to the statistic over all daemons.
func (r *record) learn(ratio float64) {
	if !r.quarantined() {
		r.pooledSum.add(ratio)
	}
}

// follow takes in the ratings that e has beyond former, the evidence of the
// same origin before it. Of an origin that was not known, it cannot tell
// which ratings are new: they may have been counted before its evidence
// expired. The statistic of a quarantine is taken over instead, which a
// daemon that has just started, or was cut off, would not come to itself.
func (r *record) follow(e, former *fescuelatch.Evidence, known bool) {
	switch {
	case e.Since.Before(r.verdict.epoch):
	case !known:
		if !r.quarantined() {
			r.pooledSum = max(r.pooledSum, cusum(e.Pooled))
		}
	case e.Since.Equal(former.Since):
		r.learn(e.LogRatio - former.LogRatio)
	default:
		r.learn(e.LogRatio)
	}
}

func (r *record) quarantined() bool {
	return r.verdict.machine.State() == chart.ModelVersionQuarantined
}

// repeatedFailure reports whether endpoint e failed a moment ago, and
// remembers this failure otherwise.
func (r *record) repeatedFailure(now time.Time, e fescuelatch.EndpointID) bool {
	oldest := 0
	for i := range r.failing {
		if r.failing[i].endpoint == e {
			repeated := now.Sub(r.failing[i].at) < failureInterval
			if !repeated {
				r.failing[i].at = now
			}
			return repeated
		}
		if r.failing[i].at.Before(r.failing[oldest].at) {
			oldest = i
		}
	}
	if len(r.failing) < maxFailing {
		r.failing = append(r.failing, failing{e, now})
	} else {
		r.failing[oldest] = failing{e, now}
	}
	return false
}

// reset begins new evidence.
func (r *record) reset(now time.Time) {
	r.own = fescuelatch.Evidence{Origin: r.own.Origin, Version: r.own.Version, Since: now, Updated: now}
	r.ratingSum, r.failureSum, r.pooledSum = 0, 0, 0
	r.failing = r.failing[:0]
	r.refresh()
}

// refresh forgets all cached sums.
func (r *record) refresh() {
	r.pool = pool{}
	r.changed()
}

// merge takes in the evidence of another daemon.
func (r *record) merge(e fescuelatch.Evidence, s *Settings) {
	former, known := r.peers.find(e.Origin)
	dropped, ok := r.peers.put(e, s.MaxOrigins)
	if !ok {
		return
	}
	r.follow(&e, &former, known)
	r.pool.add(&e, 1)
	if dropped.Origin != "" {
		r.pool.add(&dropped, -1)
	}
	r.changed()
}

// counts returns the evidence of all daemons at now.
func (r *record) counts(now time.Time, s *Settings) counts {
	if r.pool.stale(now) {
		r.peers.expire(now, s)
		r.pool = newPool(now, r.verdict.epoch, s.HalfLife, r.peers)
		r.changed()
	}
	c := r.pool.counts(now)
	c.add(now, &r.own, s.HalfLife)
	return c
}

// estimateAtNow returns the estimate from the prior and all evidence.
func (r *record) estimateAtNow(now time.Time, s *Settings) fescuelatch.Estimate {
	c := r.counts(now, s)
	if !r.estimateAt.IsZero() && now.Sub(r.estimateAt) < refreshInterval {
		return r.estimate
	}
	b := distuv.Beta{
		Alpha: r.prior*s.PriorWeight + c.good,
		Beta:  (1-r.prior)*s.PriorWeight + c.rated - c.good,
	}
	tail := (1 - s.Confidence) / 2
	r.estimate = fescuelatch.Estimate{
		Mean:    b.Mean(),
		Low:     b.Quantile(tail),
		High:    b.Quantile(1 - tail),
		Samples: c.rated,
	}
	r.estimateAt = now
	return r.estimate
}
