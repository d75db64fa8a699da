package shared

import (
	"math"
	"math/rand/v2"
)

// This file defines how the requests of many daemons that know the same are spread over
// endpoints.

// option is the cost of a request at an endpoint, in nanoseconds.
//
// If all daemons chose the endpoint of the least cost, all would fill the same one until its
// reports told of it. A daemon instead assumes that the others decide as it does, and shares
// the requests of all of them out so that the endpoints in use end at the same cost, the
// level; it then draws one endpoint in proportion to these shares. With few requests this is
// the endpoint of the least cost.
//
// The daemons of each failure domain fill its endpoints. Those of other ones get requests only as
// far as the level at home is above theirs, distance included.
//
// Endpoints that have a part of the prompt cached are cheaper for the requests with that part
// only. What is shared out at first is therefore the cost without a cache; of the requests with
// the part, the endpoints that have it then get as many as bring them to the level.
type option struct {
	// cost is that of the next request, and perRequest what each further one adds, both
	// without cached parts of the prompt. saving is what the cached ones save.
	cost, perRequest, saving float64
	// near reports that the endpoint is in this daemon's failure domain.
	near bool
	// factor is the endpoint's service time relative to the usual one, and distance the
	// part of the cost that does not depend on it.
	factor, distance float64
	// usual is the cost at the usual service time.
	usual, usualPerRequest float64
}

// scaled returns an option given by its cost at the usual service time, without the distance.
func (o option) scaled() option {
	o.usual, o.usualPerRequest = o.cost+o.distance, o.perRequest
	o.cost = o.cost*o.factor + o.distance
	o.perRequest *= o.factor
	o.saving *= o.factor
	return o
}

// trialShare is the least share of the work that a slow endpoint gets of what it would get at
// the usual speed, so that it is found out when it is quick again.
const trialShare = 0.1

// room returns the number of requests after which the endpoint's cost reaches a level.
func (o *option) room(level float64) float64 {
	return max(0, (level-o.cost)/o.perRequest, trialShare*(level-o.usual)/o.usualPerRequest)
}

// load is the number of requests that daemons start without knowing of each other's.
type load struct {
	// near is that of this failure domain, far that of all others, and withPart that of this
	// one with the same prompt part.
	near, far, withPart float64
}

// draw returns the index of the candidate that gets a request.
func draw(candidates []candidate, n load, r *rand.Rand) int {
	near := level(candidates, n.near, func(o *option) (float64, bool) { return o.cost, o.near })
	far := level(candidates, n.far, func(o *option) (float64, bool) { return o.cost, !o.near })
	l := min(near, far)
	toCached := func(o *option) float64 { return max(l, o.cost) - o.saving }
	cachedLevel := min(l, level(candidates, n.withPart, func(o *option) (float64, bool) { return toCached(o), o.saving > 0 }))
	cachedRoom := func(o *option) float64 {
		if o.saving == 0 {
			return 0
		}
		return max(0, (cachedLevel-toCached(o))/o.perRequest)
	}
	if r.Float64() < sum(candidates, cachedRoom)/n.withPart {
		return drawBy(candidates, r, func(o *option) float64 { return cachedRoom(o) * (1 + o.room(l)) })
	}
	roomIn := func(near bool, level float64) func(*option) float64 {
		return func(o *option) float64 {
			if o.near != near {
				return 0
			}
			return o.room(level)
		}
	}
	if near <= far || r.Float64() < sum(candidates, roomIn(true, far))/n.near {
		return drawBy(candidates, r, roomIn(true, l))
	}
	return drawBy(candidates, r, roomIn(false, far))
}

func sum(candidates []candidate, weight func(*option) float64) float64 {
	s := 0.0
	for i := range candidates {
		s += weight(&candidates[i].option)
	}
	return s
}

// drawBy returns the index of a candidate, drawn in proportion to the weights.
func drawBy(candidates []candidate, r *rand.Rand, weight func(*option) float64) int {
	left := r.Float64() * sum(candidates, weight)
	last := 0
	for i := range candidates {
		if w := weight(&candidates[i].option); w > 0 {
			last = i
			if left -= w; left < 0 {
				break
			}
		}
	}
	return last
}

// level returns the cost that the candidates in use reach with n more requests, or infinity if
// there are none. cost returns that of the next request at a candidate, and whether the candidate
// may be used. Candidates whose cost is above the level get none, and are left out until none is.
func level(candidates []candidate, n float64, cost func(*option) (float64, bool)) float64 {
	l, used := math.Inf(1), -1
	for {
		requests, perCost, count := n, 0.0, 0
		for i := range candidates {
			o := &candidates[i].option
			if c, ok := cost(o); ok && c < l {
				requests += c / o.perRequest
				perCost += 1 / o.perRequest
				count++
			}
		}
		if count == used || count == 0 {
			return l
		}
		l, used = requests/perCost, count
	}
}
