package cascade

import (
	"time"

	"fescuelatch"
)

// This file defines the baselines for a Policy.

// AlwaysBest plans the version of the highest estimated quality.
type AlwaysBest struct{}

// Plan implements fescuelatch.VersionPolicy.
func (AlwaysBest) Plan(_ time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, _ float64) []fescuelatch.VersionID {
	return single(r, list, func(a, b *fescuelatch.Candidate) bool {
		return a.Estimate.Mean > b.Estimate.Mean
	})
}

// AlwaysCheapest plans the version of the lowest price.
type AlwaysCheapest struct{}

// Plan implements fescuelatch.VersionPolicy.
func (AlwaysCheapest) Plan(_ time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, _ float64) []fescuelatch.VersionID {
	return single(r, list, func(a, b *fescuelatch.Candidate) bool {
		return price(r, &a.Version) < price(r, &b.Version)
	})
}

// single returns the plan of the best candidate, or of the pinned version.
func single(r *fescuelatch.Request, list []fescuelatch.Candidate, better func(a, b *fescuelatch.Candidate) bool) []fescuelatch.VersionID {
	if v := pinned(r); v != "" {
		return pin(list, v)
	}
	var first *fescuelatch.Candidate
	for i := range list {
		c := &list[i]
		if c.Version.Weight <= 0 {
			continue
		}
		if first == nil || better(c, first) {
			first = c
		}
	}
	if first == nil {
		return nil
	}
	return []fescuelatch.VersionID{first.Version.ID}
}
