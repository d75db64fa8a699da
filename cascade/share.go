package cascade

import (
	"math"

	"fescuelatch"
)

// This file selects the versions considered for one request, by the shares of
// a rollout and the reduced share of suspect versions.

// uniforms derives independent uniform numbers from one with SplitMix64.
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

// costGroup is the set of versions of one model with the same cost. They
// replace each other during a rollout.
type costGroup struct {
	model          fescuelatch.ModelID
	prompt, output int64
	weight         float64
	// chosen is the index of the candidate drawn by weight.
	chosen int
}

func (l *costGroup) matches(v *fescuelatch.Version) bool {
	return l.model == v.Model && l.prompt == v.PromptCost && l.output == v.OutputCost
}

// drawCandidates returns the indices of the candidates considered for one new
// session. One version of each cost group is drawn by weight. Groups of a model
// compete by cost; each is considered with the probability of its weight
// relative to the heaviest group of the model. Suspect versions are considered
// in their reduced share.
func drawCandidates(list []fescuelatch.Candidate, s *Settings, g *uniforms) []int {
	var lots []costGroup
	for i := range list {
		c := &list[i]
		x, y := g.next(), g.next()
		if c.Version.Weight <= 0 || (c.Health != fescuelatch.HealthGood && x >= s.SuspectShare) {
			continue
		}
		lots = addToGroup(lots, &c.Version, i, y)
	}
	return drawGroups(lots, g)
}

// addToGroup adds candidate i to its group, where it replaces the chosen one with
// the probability of its part of the group's weight. In total, this is one
// weighted draw.
func addToGroup(lots []costGroup, v *fescuelatch.Version, i int, u float64) []costGroup {
	for j := range lots {
		l := &lots[j]
		if !l.matches(v) {
			continue
		}
		l.weight += v.Weight
		if u*l.weight < v.Weight {
			l.chosen = i
		}
		return lots
	}
	return append(lots, costGroup{v.Model, v.PromptCost, v.OutputCost, v.Weight, i})
}

// drawGroups draws the groups and returns their chosen candidates.
func drawGroups(lots []costGroup, g *uniforms) []int {
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
