package quality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the validation, ordering, decay and storage of evidence.

// maxCount bounds the values of evidence, so that the sums over all origins
// stay in range.
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

// compare orders evidence of the same origin and version; the greater is kept.
// The order is total on the pooled fields, so the result does not depend on the
// order of arrival.
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

// decayCounts applies the decay until now to the counts of e.
func decayCounts(e *fescuelatch.Evidence, now time.Time, halfLife time.Duration) {
	w := decay(now.Sub(e.Updated), halfLife)
	e.Rated *= w
	e.Good *= w
	e.Attempts *= w
	e.Failed *= w
	e.Updated = now
}

// peers holds the latest evidence of each other daemon on one version,
// ordered by origin.
type peers []fescuelatch.Evidence

// find returns the evidence of an origin, if any.
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

// put stores e and reports whether it was newer than its origin's evidence. It
// returns what e replaced: that evidence or, beyond the limit, the oldest.
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

// evict drops the least recently updated evidence, which would also expire
// first.
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

// expire drops expired evidence.
func (p *peers) expire(now time.Time, s *Settings) {
	*p = slices.DeleteFunc(*p, func(e fescuelatch.Evidence) bool { return expired(now, &e, s) })
}
