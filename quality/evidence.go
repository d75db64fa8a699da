package quality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines how evidence is checked, ordered, decayed and kept.

// maxCount bounds the figures of a piece of evidence, so that the sums over
// all origins stay in range.
const maxCount = 1e8

// valid reports whether e can be pooled at time now.
func valid(now time.Time, e *fescuelatch.Evidence, s *Settings) bool {
	for _, x := range [...]float64{e.Rated, e.Good, e.Attempts, e.Failed, e.Alarm, e.Pooled} {
		if math.IsNaN(x) || x < 0 || x > maxCount {
			return false
		}
	}
	if math.IsNaN(e.LogRatio) || math.Abs(e.LogRatio) > maxCount {
		return false
	}
	if e.Good > e.Rated || e.Failed > e.Attempts || e.Updated.Before(e.Since) {
		return false
	}
	return !e.Updated.After(now.Add(s.MaxSkew)) && !expired(now, e, s)
}

// expired reports whether e is too old to be used.
func expired(now time.Time, e *fescuelatch.Evidence, s *Settings) bool {
	return now.Sub(e.Updated) > s.Expiry
}

// compare orders two pieces of evidence of one origin and version; the
// greater one is kept. The order is total on what is pooled, so the result
// does not depend on the order of arrival.
func compare(a, b *fescuelatch.Evidence) int {
	return cmp.Or(
		a.Updated.Compare(b.Updated),
		a.Since.Compare(b.Since),
		cmp.Compare(a.Alarm, b.Alarm),
		cmp.Compare(a.Rated, b.Rated),
		cmp.Compare(a.Good, b.Good),
		cmp.Compare(a.Attempts, b.Attempts),
		cmp.Compare(a.Failed, b.Failed),
		cmp.Compare(a.LogRatio, b.LogRatio),
		cmp.Compare(a.Pooled, b.Pooled),
	)
}

// decay returns the weight that evidence keeps after age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// age multiplies the counts of e by their decay until now.
func age(e *fescuelatch.Evidence, now time.Time, halfLife time.Duration) {
	w := decay(now.Sub(e.Updated), halfLife)
	e.Rated *= w
	e.Good *= w
	e.Attempts *= w
	e.Failed *= w
	e.Updated = now
}

// peers holds the newest evidence of each other daemon on one version,
// ordered by origin.
type peers []fescuelatch.Evidence

// find returns the evidence of an origin, if there is any.
func (p peers) find(o fescuelatch.Incarnation) (fescuelatch.Evidence, bool) {
	i, found := p.search(o)
	if !found {
		return fescuelatch.Evidence{}, false
	}
	return p[i], true
}

func (p peers) search(o fescuelatch.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(p, o, func(x fescuelatch.Evidence, o fescuelatch.Incarnation) int {
		return cmp.Compare(x.Origin, o)
	})
}

// put takes in e. It reports whether e was new, and what was dropped for it:
// the former evidence of its origin, or the oldest one beyond the limit.
func (p *peers) put(e fescuelatch.Evidence, limit int) (dropped fescuelatch.Evidence, ok bool) {
	i, found := p.search(e.Origin)
	if found {
		dropped = (*p)[i]
		if compare(&e, &dropped) <= 0 {
			return fescuelatch.Evidence{}, false
		}
		(*p)[i] = e
		return dropped, true
	}
	*p = slices.Insert(*p, i, e)
	if len(*p) > limit {
		dropped = p.evict()
	}
	return dropped, true
}

// evict drops the evidence that was updated first, which is also the one to
// expire first.
func (p *peers) evict() fescuelatch.Evidence {
	oldest := 0
	for i := range *p {
		if (*p)[i].Updated.Before((*p)[oldest].Updated) {
			oldest = i
		}
	}
	dropped := (*p)[oldest]
	*p = slices.Delete(*p, oldest, oldest+1)
	return dropped
}

// expire drops evidence that is too old.
func (p *peers) expire(now time.Time, s *Settings) {
	*p = slices.DeleteFunc(*p, func(e fescuelatch.Evidence) bool { return expired(now, &e, s) })
}
