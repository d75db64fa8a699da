package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the choice of the versions that a request is tried on.

func (c *Core) planAndPlace(now time.Time, q *request) {
	c.fire(q, chart.EventPlan)
	plan, reason := c.planVersions(now, q)
	if len(plan) == 0 {
		c.refuse(q, reason, defaultRetryAfter)
		return
	}
	q.plan = plan
	q.step = 0
	c.place(now, q)
}

// Pick returns the version that a request would begin with, or none, without
// side effects.
func (c *Core) Pick(now time.Time, r *fescuelatch.Request) fescuelatch.VersionID {
	if c.view == nil {
		return ""
	}
	c.sparesCached = false
	plan, _ := c.planVersions(now, &request{Request: r})
	if len(plan) == 0 {
		return ""
	}
	return plan[0]
}

// planVersions returns the versions to try, or the reason why there is none.
func (c *Core) planVersions(now time.Time, q *request) ([]fescuelatch.VersionID, Reason) {
	candidates := c.candidates(now, q)
	if q.Forwarded || q.Version != "" {
		if len(candidates) == 0 {
			return nil, c.noCandidateReason(q)
		}
		return []fescuelatch.VersionID{q.Version}, ""
	}
	if len(candidates) == 0 {
		return nil, c.noCandidateReason(q)
	}
	c.trace.consider(candidates)
	plan := c.options.Versions.Plan(now, q.Request, candidates, c.options.Random.Float64())
	c.trace.plan(plan)
	if len(plan) == 0 {
		return nil, ReasonQuality
	}
	return plan, ""
}

// noCandidateReason returns why none of the requested versions can be used.
func (c *Core) noCandidateReason(q *request) Reason {
	account, ok := c.view.Account(q.Account)
	if !ok {
		return ReasonNoVersion
	}
	why := ReasonNoVersion
	for _, v := range c.versionsFor(q) {
		if !c.view.Allowed(account, v) || (q.pinned() != "" && v.ID != q.pinned()) {
			continue
		}
		if !c.view.Withdrawn(v.ID) {
			return ReasonQuality
		}
		why = ReasonWithdrawn
	}
	return why
}

// pinned returns the only version that the request may run on, or none.
func (q *request) pinned() fescuelatch.VersionID {
	if q.Version != "" {
		return q.Version
	}
	return q.Session
}

// versionsFor returns the versions of the models that q names.
func (c *Core) versionsFor(q *request) []fescuelatch.Version {
	if len(q.Ladder) == 0 {
		return c.view.VersionsOf(q.Model)
	}
	var vs []fescuelatch.Version
	for _, m := range q.Ladder {
		vs = append(vs, c.view.VersionsOf(m)...)
	}
	return vs
}

// exclusion returns why a request may not run on a version whatever its health, or nothing.
func (c *Core) exclusion(a *fescuelatch.Account, v fescuelatch.Version, pinned fescuelatch.VersionID) Exclusion {
	switch {
	case pinned != "" && v.ID != pinned:
		return ExcludedPinned
	case !c.view.Allowed(a, v):
		return ExcludedAccount
	case c.view.Withdrawn(v.ID):
		return ExcludedWithdrawn
	}
	return ""
}

// candidates returns the versions that the request may run on. A session or
// a pinned version leaves at most one. A quarantined version remains available
// to its own sessions and to requests that pin it.
func (c *Core) candidates(now time.Time, q *request) []fescuelatch.Candidate {
	account, ok := c.view.Account(q.Account)
	if !ok {
		return nil
	}
	pinned := q.pinned()
	var cs []fescuelatch.Candidate
	for _, v := range c.versionsFor(q) {
		if x := c.exclusion(account, v, pinned); x != "" {
			c.trace.exclude(v, x)
			continue
		}
		health := c.options.Quality.Health(now, v.ID)
		if health == fescuelatch.HealthQuarantined && pinned == "" {
			c.trace.exclude(v, ExcludedQuarantined)
			continue
		}
		cs = append(cs, fescuelatch.Candidate{
			Version:  v,
			Estimate: c.options.Quality.Estimate(now, v.ID),
			Health:   health,
			Spare:    c.spareOf(now, serviceKey{version: v.ID}),
			Latency:  c.options.Gate.Latency(v.ID),
		})
	}
	return cs
}
