package cascade_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/gonum/stat/distuv"

	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/quality"
)

// This file compares policies offline. A request has a hidden difficulty; a
// version answers well if the difficulty, partly shared between versions, is
// below its limit. The ratings between steps are unreliable, and those for the
// quality model are delayed and sampled.

const (
	seeds          = 5
	sharedPart     = 0.5  // of the variance of difficulty, shared by versions
	detection      = 0.9  // of bad answers by the rating between steps
	falseRejection = 0.05 // of good answers by the rating between steps
	ratedShare     = 0.1  // of first answers, rated for the quality model
	ratingDelay    = 30   // requests
	streamedShare  = 0.3
)

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func inventory() []fescuelatch.Version {
	return []fescuelatch.Version{
		{ID: "small-3", Model: "triage", Quality: 0.82, PromptCost: 40, OutputCost: 120, Weight: 1},
		{ID: "small-4", Model: "triage", Quality: 0.87, PromptCost: 60, OutputCost: 180, Weight: 1},
		{ID: "base-2", Model: "triage", Quality: 0.94, PromptCost: 220, OutputCost: 660, Weight: 1},
		{ID: "large-6", Model: "triage", Quality: 0.97, PromptCost: 1200, OutputCost: 3600, Weight: 1},
	}
}

// rating is a delayed rating for the quality model.
type rating struct {
	version fescuelatch.VersionID
	score   float64
}

// simulation answers requests and sums up their cost.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	versions []fescuelatch.Version
	truth    map[fescuelatch.VersionID]float64
	policy   fescuelatch.VersionPolicy
	model    fescuelatch.QualityModel
	delayed  []rating

	requests, good int
	cost           float64
	// answers counts the answers given by version.
	answers map[fescuelatch.VersionID]int
}

// newSimulation returns a simulation with versions that differ from their
// configured quality by up to spread.
func newSimulation(seed uint64, p fescuelatch.VersionPolicy, m fescuelatch.QualityModel, spread float64) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 4)),
		now:      epoch,
		versions: inventory(),
		truth:    make(map[fescuelatch.VersionID]float64),
		policy:   p,
		model:    m,
		answers:  make(map[fescuelatch.VersionID]int),
	}
	for _, v := range s.versions {
		s.truth[v.ID] = v.Quality + spread*(2*s.random.Float64()-1)
	}
	m.Configure(s.now, s.versions)
	return s
}

func (s *simulation) candidates() []fescuelatch.Candidate {
	var list []fescuelatch.Candidate
	for _, v := range s.versions {
		h := s.model.Health(s.now, v.ID)
		if h == fescuelatch.HealthQuarantined {
			continue
		}
		list = append(list, fescuelatch.Candidate{
			Version: v, Estimate: s.model.Estimate(s.now, v.ID), Health: h, Spare: 8, Latency: time.Second,
		})
	}
	return list
}

// serve runs one request with the given required quality.
func (s *simulation) serve(required float64) {
	s.now = s.now.Add(50 * time.Millisecond)
	r := fescuelatch.Request{
		Quality: required, Idempotent: true, Streamed: s.random.Float64() < streamedShare,
		PromptTokens: 1000, OutputTokens: 250, Deadline: s.now.Add(20 * time.Second),
	}
	plan := s.policy.Plan(s.now, &r, s.candidates(), s.random.Float64())
	shared := s.random.NormFloat64()
	s.requests++
	for i, v := range plan {
		good := s.answer(v, shared)
		if i == 0 {
			s.rate(v, good)
		}
		if i < len(plan)-1 && s.rejected(good) {
			continue
		}
		s.answers[v]++
		if good {
			s.good++
		}
		return
	}
}

// answer charges one answer of v and reports whether it is good.
func (s *simulation) answer(v fescuelatch.VersionID, shared float64) bool {
	for _, c := range s.versions {
		if c.ID == v {
			s.cost += float64(c.PromptCost) + float64(c.OutputCost)/4
		}
	}
	difficulty := math.Sqrt(sharedPart)*shared + math.Sqrt(1-sharedPart)*s.random.NormFloat64()
	return difficulty <= distuv.UnitNormal.Quantile(s.truth[v])
}

// rejected draws the rating between two steps.
func (s *simulation) rejected(good bool) bool {
	if good {
		return s.random.Float64() < falseRejection
	}
	return s.random.Float64() < detection
}

// rate samples a first answer for the quality model, which receives the rating
// after a delay.
func (s *simulation) rate(v fescuelatch.VersionID, good bool) {
	if s.random.Float64() < ratedShare {
		score := 0.0
		if good {
			score = 1
		}
		s.delayed = append(s.delayed, rating{v, score})
	}
	if len(s.delayed) > ratingDelay*ratedShare {
		s.model.ObserveRating(s.now, s.delayed[0].version, s.delayed[0].score)
		s.delayed = s.delayed[1:]
	}
}

func (s *simulation) quality() float64 { return float64(s.good) / float64(s.requests) }

func (s *simulation) meanCost() float64 { return s.cost / float64(s.requests) }

// variant is a policy with its quality model.
type variant struct {
	name   string
	policy fescuelatch.VersionPolicy
	model  func() fescuelatch.QualityModel
}

func learnedModel() fescuelatch.QualityModel { return quality.New("daemon-1", quality.Settings{}) }

func staticModel() fescuelatch.QualityModel { return &quality.Static{} }

func variants() []variant {
	return []variant{
		{"policy, learned", &cascade.Policy{}, learnedModel},
		{"policy, static", &cascade.Policy{}, staticModel},
		{"always best", cascade.AlwaysBest{}, learnedModel},
		{"always cheapest", cascade.AlwaysCheapest{}, learnedModel},
	}
}

// TestCostAtQuality compares cost at a required quality. At 0.9, which two
// versions together just reach by their configured quality, learning may cost
// at most 25 % more than relying on the configuration.
func TestCostAtQuality(t *testing.T) {
	const requests, spread, slack, maxLearning = 10000, 0.02, 0.01, 1.25
	for _, required := range []float64{0.8, 0.86, 0.9, 0.93, 0.95} {
		costs := map[string]float64{}
		for _, c := range variants() {
			total, lowest := 0.0, 1.0
			for seed := range uint64(seeds) {
				s := newSimulation(seed, c.policy, c.model(), spread)
				for range requests {
					s.serve(required)
				}
				total += s.meanCost() / seeds
				lowest = min(lowest, s.quality())
				if c.name == "policy, learned" {
					qt.Check(t, s.quality() >= required-slack, qt.IsTrue, qt.Commentf("required %.2f seed %d: %.3f", required, seed, s.quality()))
				}
			}
			t.Logf("required %.2f, %-15s: cost %6.1f, lowest quality %.3f", required, c.name, total, lowest)
			costs[c.name] = total
		}
		qt.Check(t, costs["policy, learned"] < costs["always best"], qt.IsTrue)
		if required == 0.9 {
			qt.Check(t, costs["policy, learned"] <= maxLearning*costs["policy, static"], qt.IsTrue)
		}
	}
}

// TestDegradedVersions counts the answers of versions after they degrade.
func TestDegradedVersions(t *testing.T) {
	const before, after, required = 4000, 8000, 0.86
	answers, qualities := map[string]int{}, map[string]float64{}
	for _, c := range variants() {
		for seed := range uint64(seeds) {
			s := newSimulation(seed, c.policy, c.model(), 0)
			for range before {
				s.serve(required)
			}
			s.truth["small-4"], s.truth["small-3"] = 0.5, 0.5
			s.answers, s.requests, s.good = map[fescuelatch.VersionID]int{}, 0, 0
			for range after {
				s.serve(required)
			}
			answers[c.name] += s.answers["small-4"] + s.answers["small-3"]
			qualities[c.name] += s.quality() / seeds
		}
		t.Logf("%-15s: %5d of %d answers by degraded versions, quality %.3f", c.name, answers[c.name], seeds*after, qualities[c.name])
	}
	qt.Check(t, answers["policy, learned"] < answers["policy, static"]/4, qt.IsTrue)
	qt.Check(t, qualities["policy, learned"] >= required, qt.IsTrue)
}

func BenchmarkPlan(b *testing.B) {
	for _, copies := range []int{1, 3, 10} {
		s := newSimulation(1, &cascade.Policy{}, staticModel(), 0)
		list := s.candidates()
		n := len(list)
		for i := n; i < copies*n; i++ {
			c := list[i-n]
			c.Version.ID += "x"
			c.Version.PromptCost += 7
			c.Estimate.Mean += 0.002
			list = append(list, c)
		}
		b.Run(fmt.Sprintf("%d candidates", len(list)), func(b *testing.B) {
			r := fescuelatch.Request{Quality: 0.93, Idempotent: true}
			b.ReportAllocs()
			for i := range b.N {
				s.policy.Plan(epoch, &r, list, float64(i%1000)/1000)
			}
		})
	}
}
