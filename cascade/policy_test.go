package cascade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// candidate returns a good candidate with spare capacity.
func candidate(id fescuelatch.VersionID, quality float64, cost int64) fescuelatch.Candidate {
	return fescuelatch.Candidate{
		Version:  fescuelatch.Version{ID: id, Model: "triage", Quality: quality, PromptCost: cost, OutputCost: 3 * cost, Weight: 1},
		Estimate: fescuelatch.Estimate{Mean: quality, Low: quality, High: quality},
		Health:   fescuelatch.HealthGood,
		Spare:    4,
		Latency:  time.Second,
	}
}

// testCandidates returns three versions of one model.
func testCandidates() []fescuelatch.Candidate {
	return []fescuelatch.Candidate{
		candidate("small", 0.82, 40),
		candidate("medium", 0.87, 100),
		candidate("base", 0.96, 300),
	}
}

func ids(v ...fescuelatch.VersionID) []fescuelatch.VersionID { return v }

func TestPlan(t *testing.T) {
	request := fescuelatch.Request{Idempotent: true, Deadline: epoch.Add(time.Minute)}
	tests := []struct {
		name   string
		change func(r *fescuelatch.Request, list []fescuelatch.Candidate) []fescuelatch.Candidate
		want   []fescuelatch.VersionID
	}{
		{"cheapest suffices", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality = 0.8
			return l
		}, ids("small")},
		{"escalates over all", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality = 0.95
			return l
		}, ids("small", "medium", "base")},
		{"omits an expensive middle step", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality = 0.95
			l[1].Version.PromptCost, l[1].Version.OutputCost = 280, 840
			return l
		}, ids("small", "base")},
		{"streamed", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Streamed = 0.95, true
			return l
		}, ids("base")},
		{"not idempotent", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Idempotent = 0.95, false
			return l
		}, ids("base")},
		{"no time to escalate", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Deadline = 0.95, epoch.Add(2*time.Second)
			return l
		}, ids("base")},
		{"no time at all", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Deadline = 0.95, epoch.Add(time.Millisecond)
			l[1].Latency = 100 * time.Millisecond
			return l
		}, ids("medium")},
		{"first step that rarely suffices", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality = 0.94
			l[0].Estimate.Mean = 0.1
			l[0].Version.PromptCost, l[0].Version.OutputCost = 60, 180
			l[1].Version.PromptCost, l[1].Version.OutputCost = 290, 870
			return l
		}, ids("base")},
		{"unreachable quality", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Streamed = 0.99, true
			return l
		}, ids("base")},
		{"session", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality, r.Session, r.Version = 0.95, "small", "medium"
			return l
		}, ids("small")},
		{"session on a removed version", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Session = "other"
			return l
		}, nil},
		{"named version", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Version = "medium"
			return l
		}, ids("medium")},
		{"only a suspect version", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			l[0].Health = fescuelatch.HealthSuspect
			return l[:1]
		}, ids("small")},
		{"no candidate", func(_ *fescuelatch.Request, _ []fescuelatch.Candidate) []fescuelatch.Candidate {
			return nil
		}, nil},
		{"no weight", func(_ *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			l[0].Version.Weight = 0
			return l[:1]
		}, nil},
		{"saturated version", func(r *fescuelatch.Request, l []fescuelatch.Candidate) []fescuelatch.Candidate {
			r.Quality = 0.8
			l[0].Spare = 0
			l[1].Version.PromptCost, l[1].Version.OutputCost = 50, 150
			return l
		}, ids("medium")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := request
			list := test.change(&r, testCandidates())
			var p Policy
			qt.Assert(t, p.Plan(epoch, &r, list, 0.5), qt.DeepEquals, test.want)
		})
	}
}

func TestShares(t *testing.T) {
	const draws = 20000
	tests := []struct {
		name   string
		change func(l []fescuelatch.Candidate)
		want   float64 // share of the first candidate
	}{
		{"rollout at the same price", func(l []fescuelatch.Candidate) { l[0].Version.Weight, l[1].Version.Weight = 1, 3 }, 0.25},
		{"heavier successor that costs more", func(l []fescuelatch.Candidate) {
			l[0].Version.Weight = 0.25
			l[1].Version.PromptCost = 200
		}, 0.25},
		{"suspect version", func(l []fescuelatch.Candidate) {
			l[0].Health = fescuelatch.HealthSuspect
			l[1].Version.PromptCost = 200
		}, defaultSuspectShare},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list := []fescuelatch.Candidate{candidate("old", 0.9, 100), candidate("new", 0.9, 100)}
			test.change(list)
			r := fescuelatch.Request{Quality: 0.8}
			var p Policy
			n := 0
			for i := range draws {
				if p.Plan(epoch, &r, list, (float64(i)+0.5)/draws)[0] == "old" {
					n++
				}
			}
			share := float64(n) / draws
			qt.Assert(t, share > test.want-0.02 && share < test.want+0.02, qt.IsTrue, qt.Commentf("share %.3f", share))
		})
	}
}
