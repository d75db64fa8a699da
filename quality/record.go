package quality

import (
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the record that a Model keeps of one version.

// refreshInterval is how long an estimate is reused while only time passes.
const refreshInterval = time.Second

// failureInterval is the time in which further failures count as the same fault:
// several at one endpoint, or of different versions, are more likely caused by
// the endpoint or the failure domain than by the version.
const failureInterval = 5 * time.Second

// maxFailures bounds the endpoints whose last failure is tracked.
const maxFailures = 16

// endpointFailure is the last failure of an endpoint.
type endpointFailure struct {
	endpoint fescuelatch.EndpointID
	at       time.Time
}

// record is the state of one version.
type record struct {
	prior    float64
	ratings  ratioTest
	attempts ratioTest

	own        fescuelatch.Evidence
	ratingSum  cusum
	failureSum cusum
	// pooledSum is the statistic over the ratings of all daemons, in the order
	// in which this daemon receives them.
	pooledSum cusum
	failures  []endpointFailure

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

// configure sets the configured quality.
func (r *record) configure(quality float64, s *Settings) {
	r.prior = min(max(quality, minProbability), maxProbability)
	r.ratings = newRatioTest(r.prior-s.Tolerance, s.OddsRatio)
	r.attempts = newRatioTest(1-s.FailureShare, s.OddsRatio)
	r.invalidateEstimate()
}

// invalidateEstimate discards the cached estimate.
func (r *record) invalidateEstimate() { r.estimateAt = time.Time{} }

// addRating records a rating of one answer.
func (r *record) addRating(now time.Time, score float64, s *Settings) {
	decayCounts(&r.own, now, s.HalfLife)
	r.own.Rated++
	r.own.Good += score
	ratio := r.ratings.ratio(score)
	r.own.LogRatio += ratio
	r.addPooledRatio(ratio)
	r.addRatio(&r.ratingSum, ratio)
	r.invalidateEstimate()
}

// addAttempt records the end of an attempt: 1 for an answer, 0 for a failure.
func (r *record) addAttempt(now time.Time, score float64, s *Settings) {
	decayCounts(&r.own, now, s.HalfLife)
	r.own.Attempts++
	r.own.Failed += 1 - score
	r.addRatio(&r.failureSum, r.attempts.ratio(score))
}

// addRatio adds a ratio to one of the statistics. They are frozen during a
// quarantine, so that a daemon that starts meanwhile receives its cause.
func (r *record) addRatio(c *cusum, ratio float64) {
	if r.quarantined() {
		return
	}
	c.add(ratio)
	r.own.Alarm = combine(r.ratingSum, r.failureSum)
}

// addPooledRatio adds a ratio to the statistic over the ratings of all daemons.
func (r *record) addPooledRatio(ratio float64) {
	if !r.quarantined() {
		r.pooledSum.add(ratio)
	}
}

// mergeRatings adds the ratings that e has beyond former, the previous evidence
// of the same origin. Those of an unknown origin may have been counted before
// its evidence expired. Its pooled statistic from a quarantine is adopted
// instead, which a newly started or partitioned daemon could not compute.
func (r *record) mergeRatings(e, former *fescuelatch.Evidence, known bool) {
	switch {
	case e.Since.Before(r.verdict.epoch):
	case !known:
		if !r.quarantined() {
			r.pooledSum = max(r.pooledSum, cusum(e.Pooled))
		}
	case e.Since.Equal(former.Since):
		r.addPooledRatio(e.LogRatio - former.LogRatio)
	default:
		r.addPooledRatio(e.LogRatio)
	}
}

func (r *record) quarantined() bool {
	return r.verdict.machine.State() == chart.ModelVersionQuarantined
}

// repeatedFailure reports whether endpoint e failed within failureInterval, and
// records the failure otherwise.
func (r *record) repeatedFailure(now time.Time, e fescuelatch.EndpointID) bool {
	oldest := 0
	for i := range r.failures {
		if r.failures[i].endpoint == e {
			repeated := now.Sub(r.failures[i].at) < failureInterval
			if !repeated {
				r.failures[i].at = now
			}
			return repeated
		}
		if r.failures[i].at.Before(r.failures[oldest].at) {
			oldest = i
		}
	}
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, endpointFailure{e, now})
	} else {
		r.failures[oldest] = endpointFailure{e, now}
	}
	return false
}

// reset discards the daemon's own evidence and starts again.
func (r *record) reset(now time.Time) {
	r.own = fescuelatch.Evidence{Origin: r.own.Origin, Version: r.own.Version, Since: now, Updated: now}
	r.ratingSum, r.failureSum, r.pooledSum = 0, 0, 0
	r.failures = r.failures[:0]
	r.invalidateSums()
}

// invalidateSums discards all cached sums.
func (r *record) invalidateSums() {
	r.pool = pool{}
	r.invalidateEstimate()
}

// merge merges the evidence of another daemon.
func (r *record) merge(e fescuelatch.Evidence, s *Settings) {
	former, known := r.peers.find(e.Origin)
	dropped, ok := r.peers.put(e, s.MaxOrigins)
	if !ok {
		return
	}
	r.mergeRatings(&e, &former, known)
	r.pool.add(&e, 1)
	if dropped.Origin != "" {
		r.pool.add(&dropped, -1)
	}
	r.invalidateEstimate()
}

// counts returns the sums over the evidence of all daemons at now.
func (r *record) counts(now time.Time, s *Settings) counts {
	if r.pool.stale(now) {
		r.peers.expire(now, s)
		r.pool = newPool(now, r.verdict.epoch, s.HalfLife, r.peers)
		r.invalidateEstimate()
	}
	c := r.pool.counts(now)
	c.add(now, &r.own, s.HalfLife)
	return c
}

// currentEstimate returns the estimate from the prior and all evidence, cached
// for refreshInterval.
func (r *record) currentEstimate(now time.Time, s *Settings) fescuelatch.Estimate {
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
