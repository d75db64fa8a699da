package cascade

import (
	"math"

	"fescuelatch"
)

// This file defines which versions take part in the choice for one request:
// the shares of a roll-out and the reduced share of suspects.

// uniforms derives independent uniform numbers from one, by the SplitMix64
// generator.
type uniforms uint64

func newUniforms(u float64) uniforms { return uniforms(math.Float64bits(u)) }

// next returns the next number in [0, 1).
func (g *uniforms) next() float64 {
	*g += 0x9e3779b97f4a7c15
	z := uint64(*g)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}

// lot is the versions of one model that cost the same. They replace each
// other during a roll-out.
type lot struct {
	model          fescuelatch.ModelID
	prompt, output int64
	weight         float64
	// chosen is the index of the candidate drawn by weight.
	chosen int
}

func (l *lot) holds(v *fescuelatch.Version) bool {
	return l.model == v.Model && l.prompt == v.PromptCost && l.output == v.OutputCost
}

// draw returns the indices of the candidates that take part for one new
// session. Of versions of a model that cost the same, one is drawn by weight.
// Versions that differ in cost compete by cost; each such lot takes part in
// its weight's share of the heaviest lot of the model. Suspects take part in
// their reduced share.
func draw(list []fescuelatch.Candidate, s *Settings, g *uniforms) []int {
	var lots []lot
	for i := range list {
		c := &list[i]
		x, y := g.next(), g.next()
		if c.Version.Weight <= 0 || (c.Health != fescuelatch.HealthGood && x >= s.SuspectShare) {
			continue
		}
		lots = enter(lots, &c.Version, i, y)
	}
	return admit(lots, g)
}

// enter adds candidate i to its lot and lets it replace the chosen one with a
// probability of its weight's part of the lot, which amounts to one weighted
// draw.
func enter(lots []lot, v *fescuelatch.Version, i int, u float64) []lot {
	for j := range lots {
		l := &lots[j]
		if !l.holds(v) {
			continue
		}
		l.weight += v.Weight
		if u*l.weight < v.Weight {
			l.chosen = i
		}
		return lots
	}
	return append(lots, lot{v.Model, v.PromptCost, v.OutputCost, v.Weight, i})
}

// admit returns the chosen candidates of the lots that take part.
func admit(lots []lot, g *uniforms) []int {
	var chosen []int
	for i := range lots {
		heaviest := 0.0
		for j := range lots {
			if lots[j].model == lots[i].model {
				heaviest = max(heaviest, lots[j].weight)
			}
		}
		if g.next()*heaviest < lots[i].weight {
			chosen = append(chosen, lots[i].chosen)
		}
	}
	return chosen
}
