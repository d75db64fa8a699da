// Package cascade chooses the versions that a request is tried on.
//
// A Policy searches for the plan with the lowest expected cost among those whose
// expected quality is sufficient for the request and whose steps fit its
// deadline. A plan is a single version, or a cascade: a cheap version first, and
// a better one for the answers that are rated too low. The same comparison
// omits a cheap step that rarely suffices, as it costs more than it saves.
//
// A streamed request cannot be escalated once its answer has begun, and a
// non-idempotent request must not run twice; both get single-version plans.
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

// Policy chooses the plan of the lowest expected cost. The zero value is ready
// to use.
type Policy struct {
	Settings Settings
}

// Plan implements fescuelatch.VersionPolicy.
func (p *Policy) Plan(now time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, u float64) []fescuelatch.VersionID {
	if v := pinned(r); v != "" {
		return pin(list, v)
	}
	s := p.Settings.withDefaults()
	g := constraints{quality: r.Quality, budget: budget(now, r), steps: maxSteps}
	if r.Streamed || !r.Idempotent {
		g.steps = 1
	}
	random := newUniforms(u)
	plan := g.choose(r, list, &s, &random)
	if len(plan) > 1 && random.next() < s.DirectShare {
		plan = plan[len(plan)-1:]
	}
	return plan
}

// pinned returns the only version that may serve r, if there is one. A
// session takes precedence over a version named by the caller.
func pinned(r *fescuelatch.Request) fescuelatch.VersionID {
	if r.Session != "" {
		return r.Session
	}
	return r.Version
}

// pin returns the plan of version v alone, or nil if it is not a candidate.
func pin(list []fescuelatch.Candidate, v fescuelatch.VersionID) []fescuelatch.VersionID {
	for i := range list {
		if list[i].Version.ID == v {
			return []fescuelatch.VersionID{v}
		}
	}
	return nil
}

// budget returns the time left for r, or 0 for a request without deadline. A
// request past its deadline has the minimum budget of 1 ns.
func budget(now time.Time, r *fescuelatch.Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(now), 1)
}

// choose plans with the versions drawn by their shares. If no such plan reaches
// the quality, it plans with all good versions in use, or with the suspect ones
// if there is no good one.
func (g *constraints) choose(r *fescuelatch.Request, list []fescuelatch.Candidate, s *Settings, random *uniforms) []fescuelatch.VersionID {
	all := make([]option, len(list))
	waitDraw := random.next()
	for i := range list {
		all[i] = newOption(r, &list[i], s, random.next(), waitDraw)
	}
	options := optionsAt(all, drawCandidates(list, s, random))
	best := g.search(options, s)
	if best.length > 0 && g.meets(&best) {
		return versionIDs(options, best)
	}
	good, suspect := splitByHealth(list)
	if len(good) == 0 {
		good = suspect
	}
	options = optionsAt(all, good)
	best = g.search(options, s)
	if best.length > 0 {
		return versionIDs(options, best)
	}
	return fastest(options)
}

// optionsAt returns the pruned options with the given indices.
func optionsAt(all []option, indices []int) []option {
	options := make([]option, 0, len(indices))
	for _, i := range indices {
		options = append(options, all[i])
	}
	return prune(options)
}

// splitByHealth splits the indices of the candidates with a weight into good
// and suspect ones.
func splitByHealth(list []fescuelatch.Candidate) (good, suspect []int) {
	for i := range list {
		switch {
		case list[i].Version.Weight <= 0:
		case list[i].Health == fescuelatch.HealthGood:
			good = append(good, i)
		default:
			suspect = append(suspect, i)
		}
	}
	return good, suspect
}

// fastest returns the plan of the fastest option alone. It is used if no
// version is expected to answer in time; admission may refuse the request.
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

// versionIDs returns the versions of the steps of p.
func versionIDs(list []option, p plan) []fescuelatch.VersionID {
	ids := make([]fescuelatch.VersionID, p.length)
	for i := range ids {
		ids[i] = list[p.steps[i]].version
	}
	return ids
}
