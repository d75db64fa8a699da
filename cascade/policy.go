// Package cascade chooses the versions that a request is tried on.
//
// A Policy looks for the plan with the lowest expected cost among those whose
// expected quality meets the request's need and whose steps fit its deadline.
// A plan is a single version, or a cascade: a cheap version first, and a
// better one for the answers that are rated too low. A cheap step that rarely
// suffices costs more than it saves and is left out by the same comparison.
//
// A streamed request cannot be escalated once its answer has begun, and a
// request that is not idempotent must not run twice; both get plans of a
// single version.
//
// AlwaysBest and AlwaysCheapest are baselines.
package cascade

import (
	"time"

	"fescuelatch"
)

// This file defines Policy.

var (
	_ fescuelatch.VersionPolicy = (*Policy)(nil)
	_ fescuelatch.VersionPolicy = AlwaysBest{}
	_ fescuelatch.VersionPolicy = AlwaysCheapest{}
)

// Policy plans at the lowest expected cost. The zero value is ready to use.
type Policy struct {
	Settings Settings
}

// Plan implements fescuelatch.VersionPolicy.
func (p *Policy) Plan(now time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, u float64) []fescuelatch.VersionID {
	if v := pinned(r); v != "" {
		return pin(list, v)
	}
	s := p.Settings.withDefaults()
	g := goal{quality: r.Quality, budget: budget(now, r), steps: maxSteps}
	if r.Streamed || !r.Idempotent {
		g.steps = 1
	}
	random := newUniforms(u)
	plan := g.plan(r, list, &s, &random)
	if len(plan) > 1 && random.next() < s.DirectShare {
		plan = plan[len(plan)-1:]
	}
	return plan
}

// pinned returns the only version that may serve r, if there is one. A
// session goes before a version that the caller names.
func pinned(r *fescuelatch.Request) fescuelatch.VersionID {
	if r.Session != "" {
		return r.Session
	}
	return r.Version
}

// pin returns the plan of the single version v.
func pin(list []fescuelatch.Candidate, v fescuelatch.VersionID) []fescuelatch.VersionID {
	for i := range list {
		if list[i].Version.ID == v {
			return []fescuelatch.VersionID{v}
		}
	}
	return nil
}

// budget returns the time left for r, or 0 for a request without deadline. A
// request past its deadline has the least budget.
func budget(now time.Time, r *fescuelatch.Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(now), 1)
}

// plan tries the versions that take part by their shares, then all good
// versions in use, then whatever is left. A later set is only used when the
// earlier ones hold no plan that meets the quality; suspects are only added
// when there is no other version.
func (g *goal) plan(r *fescuelatch.Request, list []fescuelatch.Candidate, s *Settings, random *uniforms) []fescuelatch.VersionID {
	all := make([]option, len(list))
	patience := random.next()
	for i := range list {
		all[i] = newOption(r, &list[i], s, random.next(), patience)
	}
	options := among(all, draw(list, s, random))
	best := g.search(options, s)
	if best.n > 0 && g.meets(&best) {
		return versions(options, best)
	}
	good, rest := inUse(list)
	if len(good) == 0 {
		good = rest
	}
	options = among(all, good)
	best = g.search(options, s)
	if best.n > 0 {
		return versions(options, best)
	}
	return fastest(options)
}

// among returns the pruned options with the given indices.
func among(all []option, indices []int) []option {
	options := make([]option, 0, len(indices))
	for _, i := range indices {
		options = append(options, all[i])
	}
	return prune(options)
}

// inUse splits the indices of the candidates with a weight into good ones
// and others.
func inUse(list []fescuelatch.Candidate) (good, rest []int) {
	for i := range list {
		switch {
		case list[i].Version.Weight <= 0:
		case list[i].Health == fescuelatch.HealthGood:
			good = append(good, i)
		default:
			rest = append(rest, i)
		}
	}
	return good, rest
}

// fastest returns the plan of the single fastest option. It serves requests
// that no version is expected to answer in time, and leaves it to admission
// to refuse them.
func fastest(list []option) []fescuelatch.VersionID {
	if len(list) == 0 {
		return nil
	}
	first := &list[0]
	for i := range list {
		if list[i].latency < first.latency {
			first = &list[i]
		}
	}
	return []fescuelatch.VersionID{first.version}
}

// versions returns the versions of the steps of p.
func versions(list []option, p plan) []fescuelatch.VersionID {
	ids := make([]fescuelatch.VersionID, p.n)
	for i := range ids {
		ids[i] = list[p.steps[i]].version
	}
	return ids
}
