package cascade_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cascade"
)

// This file measures policies whose cheap version has no spare capacity.

// engine is a version with slots that serve in order of arrival. Each slot
// is the time at which it becomes free.
type engine struct {
	version fescuelatch.Version
	slots   []time.Time
	// waiting holds the start times of the waiting requests.
	waiting []time.Time
}

func newEngine(v fescuelatch.Version, slots int) *engine {
	return &engine{version: v, slots: make([]time.Time, slots)}
}

// spare returns the number of free slots minus the waiting requests.
func (e *engine) spare(now time.Time) int {
	e.waiting = slices.DeleteFunc(e.waiting, func(start time.Time) bool { return !start.After(now) })
	n := -len(e.waiting)
	for _, free := range e.slots {
		if !free.After(now) {
			n++
		}
	}
	return n
}

// serve takes the next free slot and returns the wait for it.
func (e *engine) serve(now time.Time, hold time.Duration) time.Duration {
	slices.SortFunc(e.slots, time.Time.Compare)
	start := now
	if e.slots[0].After(now) {
		start = e.slots[0]
		e.waiting = append(e.waiting, start)
	}
	e.slots[0] = start.Add(hold)
	return start.Sub(now)
}

// overload runs requests at load times the capacity of the cheap version. It
// returns the mean cost and the share of requests that wait for more than
// maxWait. If queues is set, the policy receives the number of waiting requests.
func overload(p fescuelatch.VersionPolicy, load float64, queues bool, seed uint64) (cost, late float64) {
	const slots, requests, hold, maxWait = 10, 4000, time.Second, 4 * time.Second
	random := rand.New(rand.NewPCG(seed, 8))
	versions := inventory()
	engines := []*engine{newEngine(versions[0], slots), newEngine(versions[2], 2*slots)}
	now := epoch
	for range requests {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(hold) / (load * slots)))
		var list []fescuelatch.Candidate
		for _, e := range engines {
			q, spare := e.version.Quality, e.spare(now)
			if !queues {
				spare = max(spare, 0)
			}
			list = append(list, fescuelatch.Candidate{
				Version: e.version, Estimate: fescuelatch.Estimate{Mean: q, Low: q, High: q},
				Health: fescuelatch.HealthGood, Spare: spare, Latency: hold,
			})
		}
		r := fescuelatch.Request{Quality: 0.8, Idempotent: true, Deadline: now.Add(maxWait + hold)}
		plan := p.Plan(now, &r, list, random.Float64())
		for _, e := range engines {
			if e.version.ID != plan[0] {
				continue
			}
			cost += (float64(e.version.PromptCost) + float64(e.version.OutputCost)/4) / requests
			if e.serve(now, time.Duration(random.ExpFloat64()*float64(hold))) > maxWait {
				late += 1.0 / requests
			}
		}
	}
	return cost, late
}

// TestOverload requires that at most one request in a hundred is late while
// another version has spare capacity, at less than the cost of always using
// the best version.
func TestOverload(t *testing.T) {
	contenders := []struct {
		name   string
		policy fescuelatch.VersionPolicy
		queues bool
	}{
		{"policy", &cascade.Policy{}, true},
		{"policy, queues unknown", &cascade.Policy{}, false},
		{"ignores spare capacity", &cascade.Policy{Settings: cascade.Settings{SaturatedFactor: 1}}, true},
		{"always best", cascade.AlwaysBest{}, true},
		{"always cheapest", cascade.AlwaysCheapest{}, true},
	}
	for _, load := range []float64{0.6, 0.8, 1, 1.5} {
		costs := map[string]float64{}
		for _, c := range contenders {
			cost, late := 0.0, 0.0
			for seed := range uint64(seeds) {
				x, y := overload(c.policy, load, c.queues, seed)
				cost += x / seeds
				late += y / seeds
			}
			costs[c.name] = cost
			t.Logf("load %.1f, %-26s: cost %5.1f, late %.3f", load, c.name, cost, late)
			if strings.HasPrefix(c.name, "policy") {
				qt.Check(t, late <= 0.01, qt.IsTrue)
			}
		}
		qt.Check(t, costs["policy"] < costs["always best"], qt.IsTrue)
	}
}
