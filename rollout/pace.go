package rollout

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuelatch"
)

// This file judges the pace of a release: the time between the events of its streams. A
// release may begin its answers in time and then generate slowly. Its endpoints have
// little load during the trial and those of the others have the usual one, so that the
// faster streams of the others are the measure.

const (
	// paceQuantile is the percentile of the others' paces that is compared, and
	// slowPaceFactor the multiple of it above which a stream is slow.
	paceQuantile   = 25
	slowPaceFactor = 2.5
	// minSlowPace is the pace below which no stream is slow.
	minSlowPace = 25 * time.Millisecond
	// minSlowShare is the minimum share of slow streams of a bad release, and
	// slowShareFactor the multiple of the others' share that it exceeds. A release
	// that is slower by less than half has fewer.
	minSlowShare    = 0.35
	slowShareFactor = 1.5
	// minPaces is the minimum number of the others' paces of a model.
	minPaces = 5
	// maxPace and paceDigits are the range and precision of recorded paces.
	maxPace    = time.Minute
	paceDigits = 2
)

// paces holds the paces of the other releases by model.
type paces map[fescuelatch.ModelID]*hdrhistogram.Histogram

func (p paces) add(m fescuelatch.ModelID, pace time.Duration) {
	h := p[m]
	if h == nil {
		h = hdrhistogram.New(1, maxPace.Microseconds(), paceDigits)
		p[m] = h
	}
	// The value is within the range of the histogram.
	_ = h.RecordValue(min(max(pace, time.Microsecond), maxPace).Microseconds())
}

// limit returns the pace above which a stream of a model is slow, or false if too few
// are known.
func (p paces) limit(m fescuelatch.ModelID) (time.Duration, bool) {
	h := p[m]
	if h == nil || h.TotalCount() < minPaces {
		return 0, false
	}
	usual := time.Duration(h.ValueAtQuantile(paceQuantile)) * time.Microsecond
	return max(minSlowPace, time.Duration(slowPaceFactor*float64(usual))), true
}

// ObservePace records the mean time between the events of a stream.
func (r *Rollout) ObservePace(m fescuelatch.ModelID, release fescuelatch.ReleaseID, pace time.Duration) {
	counts := &r.own.OthersPaces
	if release == r.order.Target {
		counts = &r.own.TargetPaces
	}
	if limit, ok := r.paces.limit(m); ok {
		counts.Answers++
		if pace > limit {
			counts.Bad++
		}
	}
	if release != r.order.Target {
		r.paces.add(m, pace)
	}
}

// paceCounts adds the judged paces of all daemons.
func (r *Rollout) paceCounts() (target, others Count) {
	return r.own.TargetPaces.plus(r.peersSum.TargetPaces), r.own.OthersPaces.plus(r.peersSum.OthersPaces)
}

// slowPaces reports whether the release has too many slow streams.
func (r *Rollout) slowPaces() bool {
	target, others := r.paceCounts()
	share := float64(target.Bad) / float64(max(target.Answers, 1))
	usual := float64(others.Bad) / float64(max(others.Answers, 1))
	return target.Bad >= minBadAnswers && share >= minSlowShare && share > slowShareFactor*usual
}
