package cascade

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
)

func drawCandidate(t *rapid.T) fescuelatch.Candidate {
	id := rapid.StringMatching("[a-z]{4}").Draw(t, "id")
	c := candidate(fescuelatch.VersionID(id), rapid.Float64Range(0, 1).Draw(t, "quality"), rapid.Int64Range(0, 2000).Draw(t, "cost"))
	c.Version.Model = rapid.SampledFrom([]fescuelatch.ModelID{"triage", "review"}).Draw(t, "model")
	c.Version.Weight = rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "weight")
	c.Health = rapid.SampledFrom([]fescuelatch.Health{fescuelatch.HealthGood, fescuelatch.HealthSuspect}).Draw(t, "health")
	c.Spare = rapid.IntRange(-1, 3).Draw(t, "spare")
	c.Latency = time.Duration(rapid.IntRange(0, 5000).Draw(t, "latency")) * time.Millisecond
	return c
}

func drawRequest(t *rapid.T, list []fescuelatch.Candidate) fescuelatch.Request {
	r := fescuelatch.Request{
		Quality:    rapid.Float64Range(0, 1).Draw(t, "quality"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Streamed:   rapid.Bool().Draw(t, "streamed"),
		Priority:   fescuelatch.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")),
		Deadline:   epoch.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline")) * time.Second),
	}
	if len(list) > 0 && rapid.Bool().Draw(t, "bound") {
		r.Session = rapid.SampledFrom(list).Draw(t, "session").Version.ID
	}
	return r
}

// TestPlanProperties checks the invariants of plans.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byID := func(c fescuelatch.Candidate) fescuelatch.VersionID { return c.Version.ID }
		list := rapid.SliceOfNDistinct(rapid.Custom(drawCandidate), 0, 20, byID).Draw(t, "candidates")
		r := drawRequest(t, list)
		u := rapid.Float64Range(0, 0.999999).Draw(t, "u")
		before := slices.Clone(list)
		var p Policy
		plan := p.Plan(epoch, &r, list, u)
		usable, good := 0, 0
		for _, c := range list {
			if c.Version.Weight > 0 {
				usable++
				if c.Health == fescuelatch.HealthGood {
					good++
				}
			}
		}
		switch {
		case !slices.Equal(before, list):
			t.Fatalf("candidates were modified")
		case !slices.Equal(plan, p.Plan(epoch, &r, list, u)):
			t.Fatalf("the same arguments yield another plan")
		case r.Session != "":
			if !slices.Equal(plan, []fescuelatch.VersionID{r.Session}) {
				t.Fatalf("plan of session %s is %v", r.Session, plan)
			}
			return
		case (len(plan) == 0) != (usable == 0):
			t.Fatalf("plan %v with %d usable candidates", plan, usable)
		case (r.Streamed || !r.Idempotent) && len(plan) > 1:
			t.Fatalf("plan %v for a request that must run only once", plan)
		}
		checkSteps(t, plan, list)
	})
}

// checkSteps checks that steps are candidates in use of increasing quality.
func checkSteps(t *rapid.T, plan []fescuelatch.VersionID, list []fescuelatch.Candidate) {
	last := -1.0
	for _, v := range plan {
		i := slices.IndexFunc(list, func(c fescuelatch.Candidate) bool { return c.Version.ID == v })
		if i < 0 || list[i].Version.Weight <= 0 {
			t.Fatalf("plan %v contains %s, which is not in use", plan, v)
		}
		if list[i].Estimate.Mean <= last {
			t.Fatalf("plan %v escalates to a worse version", plan)
		}
		last = list[i].Estimate.Mean
	}
}

// TestSearchProperties checks that no single option is better than the plan
// that the search returns.
func TestSearchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawCandidate), 1, 20).Draw(t, "candidates")
		r := fescuelatch.Request{Quality: rapid.Float64Range(0, 1).Draw(t, "quality")}
		s := Settings{}.withDefaults()
		g := constraints{quality: r.Quality, steps: maxSteps}
		options := make([]option, 0, len(list))
		for i := range list {
			options = append(options, newOption(&r, &list[i], &s, 0.5, 0.5))
		}
		all := slices.Clone(options)
		best := g.search(prune(options), &s)
		for i := range all {
			single := plan{}.extend(all, i, &s)
			if g.meets(&single) && (!g.meets(&best) || single.cost < best.cost-tolerance) {
				t.Fatalf("%+v is better than %+v", single, best)
			}
		}
		if best.quality < 0 || best.quality > 1+tolerance {
			t.Fatalf("quality of %+v", best)
		}
	})
}
