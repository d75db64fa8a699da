package rollout

import (
	"maps"
	"time"

	"fescuelatch"
)

// This file defines the evidence on a release and its judgement.

const (
	// minBad is the number of bad answers without which nothing is said.
	minBad = 4
	// badFactor is how many times the usual share of bad answers is too many.
	badFactor = 3
	// badSlack allows for bad answers by chance.
	badSlack = 2
	// leastUsual is the share of bad answers that is taken for usual at
	// least.
	leastUsual = 0.02
	// slowFactor is how many times the usual latency makes an answer bad.
	slowFactor = 4
	// slowLeast is the latency below which no answer is slow.
	slowLeast = 200 * time.Millisecond
	// latencyMemory weighs the last latency against the earlier ones.
	latencyMemory = 0.05
)

// Count is a number of answers, and of bad ones among them.
type Count struct {
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
}

// Evidence is what one daemon has seen of a release and of the others since
// an order, by route. A later one of the same daemon replaces an earlier one.
type Evidence struct {
	Revision int64                         `json:"revision"`
	Target   map[fescuelatch.RouteID]Count `json:"target"`
	Others   map[fescuelatch.RouteID]Count `json:"others"`
}

func newEvidence(revision int64) Evidence {
	return Evidence{
		Revision: revision,
		Target:   make(map[fescuelatch.RouteID]Count), Others: make(map[fescuelatch.RouteID]Count),
	}
}

// Answer is how an endpoint has answered one attempt.
type Answer struct {
	Route   fescuelatch.RouteID
	Release fescuelatch.ReleaseID
	Failed  bool
	// Latency is the time to the answer, or to the first event of a stream.
	Latency time.Duration
}

// latency is the usual one of a route on the other releases.
type latency struct{ mean float64 }

// Observe counts an answer.
func (r *Rollout) Observe(a Answer) {
	usual := r.usual[a.Route]
	slow := usual != nil && a.Latency >= slowLeast && float64(a.Latency) > slowFactor*usual.mean
	counts := r.own.Others
	if a.Release == r.order.Target {
		counts = r.own.Target
	} else if !a.Failed {
		r.learn(a)
	}
	c := counts[a.Route]
	c.Answers++
	if a.Failed || slow {
		c.Bad++
	}
	counts[a.Route] = c
}

func (r *Rollout) learn(a Answer) {
	l := r.usual[a.Route]
	if l == nil {
		r.usual[a.Route] = &latency{mean: float64(a.Latency)}
		return
	}
	l.mean += latencyMemory * (float64(a.Latency) - l.mean)
}

// Evidence returns a copy of what this daemon has seen.
func (r *Rollout) Evidence() Evidence {
	return Evidence{Revision: r.own.Revision, Target: maps.Clone(r.own.Target), Others: maps.Clone(r.own.Others)}
}

// Merge takes in what another daemon has seen. Evidence on another order is
// ignored.
func (r *Rollout) Merge(vm fescuelatch.VMID, e Evidence) {
	if e.Revision == r.order.Revision {
		r.peers[vm] = e
	}
}

// Bad reports whether the release answers badly more often than the others,
// on any route or overall.
func (r *Rollout) Bad() bool {
	target, others := r.sums()
	var all, usual Count
	for route, c := range target {
		if tooMany(c, others[route]) {
			return true
		}
		all = all.plus(c)
	}
	for _, c := range others {
		usual = usual.plus(c)
	}
	return tooMany(all, usual)
}

// tooMany compares bad answers with the usual share of them, to which one bad
// answer in twenty is added while little is known.
func tooMany(c, usual Count) bool {
	share := max(leastUsual, float64(usual.Bad+1)/float64(usual.Answers+20))
	return c.Bad >= minBad && float64(c.Bad) > badFactor*share*float64(c.Answers)+badSlack
}

func (c Count) plus(o Count) Count { return Count{c.Answers + o.Answers, c.Bad + o.Bad} }

// sums adds the evidence of all daemons.
func (r *Rollout) sums() (target, others map[fescuelatch.RouteID]Count) {
	target, others = maps.Clone(r.own.Target), maps.Clone(r.own.Others)
	for _, e := range r.peers {
		for route, c := range e.Target {
			target[route] = target[route].plus(c)
		}
		for route, c := range e.Others {
			others[route] = others[route].plus(c)
		}
	}
	return target, others
}

// answers returns the number of answers of the release.
func (r *Rollout) answers() int {
	target, _ := r.sums()
	n := 0
	for _, c := range target {
		n += c.Answers
	}
	return n
}

// News reports whether this daemon's evidence has changed so much since it was
// last told that others should know: a bad answer, or twice as many answers.
func (r *Rollout) News(told Evidence) bool {
	return total(r.own.Target).Bad > total(told.Target).Bad ||
		total(r.own.Target).Answers >= 2*total(told.Target).Answers+1
}

func total(counts map[fescuelatch.RouteID]Count) Count {
	var sum Count
	for _, c := range counts {
		sum = sum.plus(c)
	}
	return sum
}
