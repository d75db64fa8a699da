package rollout

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the evidence on a release and its evaluation.

const (
	// minBadAnswers is the minimum number of bad answers of a bad release.
	minBadAnswers = 4
	// badFactor is the tolerated multiple of the baseline share of bad answers.
	badFactor = 3
	// badAllowance is the number of bad answers tolerated as chance.
	badAllowance = 2
	// minBaselineShare is the minimum baseline share of bad answers.
	minBaselineShare = 0.02
	// slowFactor is the multiple of the baseline latency above which an answer
	// is bad.
	slowFactor = 4
	// minSlowLatency is the latency below which no answer is slow.
	minSlowLatency = 200 * time.Millisecond
	// knownPerChange is the number of known answers for which a further one must be
	// new for a daemon to send its evidence again.
	knownPerChange = 30
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.05
)

// Count is a number of answers, and of bad ones among them.
type Count struct {
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
}

// maxCount bounds a Count, so that those of all daemons can be added up.
const maxCount = 1e9

// UnmarshalJSON implements json.Unmarshaler and checks the decoded count. Bad answers may
// outnumber the others, as an answer can be cut after it has counted.
func (c *Count) UnmarshalJSON(b []byte) error {
	const op = "decode count"
	type plain Count
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return &Error{op, KindInvalid, errors.WithStack(err)}
	}
	if min(c.Answers, c.Bad) < 0 || max(c.Answers, c.Bad) > maxCount {
		return &Error{op, KindInvalid, errors.Errorf("%d answers, %d of them bad, are out of range", c.Answers, c.Bad)}
	}
	return nil
}

// Evidence counts one daemon's answers of the target release and of the others
// since an order, by route. It replaces earlier evidence of the same daemon.
type Evidence struct {
	Revision int64                         `json:"revision"`
	Target   map[fescuelatch.RouteID]Count `json:"target"`
	Others   map[fescuelatch.RouteID]Count `json:"others"`
	// TargetPaces and OthersPaces count the streams whose pace was judged, and the
	// slow ones among them.
	TargetPaces Count `json:"target-paces"`
	OthersPaces Count `json:"others-paces"`
}

func newEvidence(revision int64) Evidence {
	return Evidence{
		Revision: revision,
		Target:   make(map[fescuelatch.RouteID]Count), Others: make(map[fescuelatch.RouteID]Count),
	}
}

// Attempt describes what one attempt shows of a release.
type Attempt struct {
	Route   fescuelatch.RouteID
	Model   fescuelatch.ModelID
	Release fescuelatch.ReleaseID
	Outcome Outcome
	// Latency is the time to the answer or to the first event of a stream, or the
	// time for which an attempt that was given up has waited for it. Stalled is the part
	// of it in which the daemon did not run: the answer may have begun in it unseen.
	Latency, Stalled time.Duration
}

// Outcome is how an attempt has ended, as far as its release is concerned.
type Outcome string

// Outcomes of attempts.
const (
	// OutcomeAnswered means that the endpoint has begun a good answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed means that the endpoint has failed, or that it can be reached
	// but does not answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeCut means that an answer counted as OutcomeAnswered did not get to its
	// end, though the endpoint can be reached.
	OutcomeCut Outcome = "cut"
	// OutcomeGivenUp means that the attempt was given up before the answer, for a
	// reason other than the endpoint.
	OutcomeGivenUp Outcome = "given-up"
)

// latencyKey identifies answers of comparable latency.
type latencyKey struct {
	route fescuelatch.RouteID
	model fescuelatch.ModelID
}

// meanLatency is the baseline latency of a route and model: a moving average over the
// other releases.
type meanLatency struct{ mean float64 }

// Observe records an attempt. One that was given up early is evidence neither for nor
// against its release; given up late, it shows that the release is slow.
func (r *Rollout) Observe(a Attempt) {
	slow := r.slow(a)
	if a.Outcome == OutcomeGivenUp && !slow {
		return
	}
	counts := r.own.Others
	if a.Release == r.order.Target {
		counts = r.own.Target
	} else if a.Outcome == OutcomeAnswered {
		r.updateBaseline(a)
	}
	c := counts[a.Route]
	if a.Outcome != OutcomeCut {
		c.Answers++
	}
	if a.Outcome != OutcomeAnswered || slow {
		c.Bad++
	}
	counts[a.Route] = c
}

// slow reports whether the latency of an attempt is far above the baseline.
func (r *Rollout) slow(a Attempt) bool {
	baseline := r.baseline[latencyKey{a.Route, a.Model}]
	latency := a.Latency - a.Stalled
	return baseline != nil && a.Outcome != OutcomeCut && latency >= minSlowLatency && float64(latency) > slowFactor*baseline.mean
}

func (r *Rollout) updateBaseline(a Attempt) {
	key := latencyKey{a.Route, a.Model}
	l := r.baseline[key]
	switch {
	case l != nil:
		// The usual latency is assumed if a stall hides the actual one.
		latency := min(max(l.mean, float64(a.Latency-a.Stalled)), float64(a.Latency))
		l.mean += latencyWeight * (latency - l.mean)
	case a.Stalled == 0:
		r.baseline[key] = &meanLatency{mean: float64(a.Latency)}
	}
}

// Evidence returns a copy of this daemon's evidence.
func (r *Rollout) Evidence() Evidence {
	e := r.own
	e.Target, e.Others = maps.Clone(r.own.Target), maps.Clone(r.own.Others)
	return e
}

// Merge merges another daemon's evidence. Evidence on another order is ignored.
func (r *Rollout) Merge(vm fescuelatch.VMID, e Evidence) {
	if e.Revision != r.order.Revision {
		return
	}
	r.peersSum.add(r.peers[vm], -1)
	r.peersSum.add(e, 1)
	r.peers[vm] = e
}

// add adds o, multiplied by a factor, to e.
func (e *Evidence) add(o Evidence, factor int) {
	addCounts(e.Target, o.Target, factor)
	addCounts(e.Others, o.Others, factor)
	e.TargetPaces = e.TargetPaces.plus(o.TargetPaces.times(factor))
	e.OthersPaces = e.OthersPaces.plus(o.OthersPaces.times(factor))
}

func addCounts(to, counts map[fescuelatch.RouteID]Count, factor int) {
	for route, c := range counts {
		to[route] = to[route].plus(c.times(factor))
	}
}

// Bad reports whether the release has too many bad answers in comparison with the
// others, on any route or overall, or too many slow streams.
func (r *Rollout) Bad() bool {
	if r.slowPaces() {
		return true
	}
	target, others := r.sums()
	var all, baseline Count
	for route, c := range target {
		if exceedsBaseline(c, others[route]) {
			return true
		}
		all = all.plus(c)
	}
	for _, c := range others {
		baseline = baseline.plus(c)
	}
	return exceedsBaseline(all, baseline)
}

// exceedsBaseline reports whether c has too many bad answers in comparison with
// the baseline, to which one bad answer in twenty is added as a prior.
func exceedsBaseline(c, baseline Count) bool {
	share := max(minBaselineShare, float64(baseline.Bad+1)/float64(baseline.Answers+20))
	return c.Bad >= minBadAnswers && float64(c.Bad) > badFactor*share*float64(c.Answers)+badAllowance
}

func (c Count) plus(o Count) Count { return Count{c.Answers + o.Answers, c.Bad + o.Bad} }

func (c Count) times(n int) Count { return Count{c.Answers * n, c.Bad * n} }

// sums adds the evidence of all daemons.
func (r *Rollout) sums() (target, others map[fescuelatch.RouteID]Count) {
	target, others = maps.Clone(r.peersSum.Target), maps.Clone(r.peersSum.Others)
	addCounts(target, r.own.Target, 1)
	addCounts(others, r.own.Others, 1)
	return target, others
}

// targetAnswers returns the number of answers of the target release.
func (r *Rollout) targetAnswers() int { return r.targetCount().Answers }

// targetCount adds the answers of the target release over all routes.
func (r *Rollout) targetCount() Count {
	target, _ := r.sums()
	return total(target)
}

// Changed reports whether this daemon's evidence has changed enough since it was last
// sent to be sent again: by a fraction of what is known of all daemons, so that many
// daemons send little, and each answer counts while few are known.
func (r *Rollout) Changed(sent Evidence) bool {
	own, before, known := total(r.own.Target), total(sent.Target), r.targetCount()
	paces, _ := r.paceCounts()
	return significant(own.Answers-before.Answers, known.Answers) || significant(own.Bad-before.Bad, known.Bad) ||
		significant(r.own.TargetPaces.Answers-sent.TargetPaces.Answers, paces.Answers) ||
		significant(r.own.TargetPaces.Bad-sent.TargetPaces.Bad, paces.Bad)
}

// significant reports whether an increase matters beside the known sum.
func significant(increase, known int) bool { return increase >= max(1, known/knownPerChange) }

func total(counts map[fescuelatch.RouteID]Count) Count {
	var sum Count
	for _, c := range counts {
		sum = sum.plus(c)
	}
	return sum
}
