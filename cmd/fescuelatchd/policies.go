package main

import (
	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/gate"
	"fescuelatch/placement"
	"fescuelatch/quality"
)

// This file defines the choice of policies by name.

// choice is one policy that a setting can name.
type choice[T any] struct {
	name string
	make func(fescuelatch.Incarnation) T
}

var versionPolicies = []choice[fescuelatch.VersionPolicy]{
	{"cascade", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return new(cascade.Policy) }},
	{"always-best", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return cascade.AlwaysBest{} }},
	{"always-cheapest", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return cascade.AlwaysCheapest{} }},
}

var placementPolicies = []choice[fescuelatch.PlacementPolicy]{
	{"affinity", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return new(placement.Policy) }},
	{"least-loaded", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return placement.LeastLoaded{} }},
	{"random", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return placement.Random{} }},
}

var gates = []choice[fescuelatch.Gate]{
	{"adaptive", func(fescuelatch.Incarnation) fescuelatch.Gate { return gate.NewAdaptive(gate.Settings{}) }},
	{"fixed", func(fescuelatch.Incarnation) fescuelatch.Gate { return new(gate.Fixed) }},
}

var qualityModels = []choice[fescuelatch.QualityModel]{
	{"learned", func(i fescuelatch.Incarnation) fescuelatch.QualityModel { return quality.New(i, quality.Settings{}) }},
	{"static", func(fescuelatch.Incarnation) fescuelatch.QualityModel { return new(quality.Static) }},
}

// samplers are named like the policies; they have settings of their own.
var samplers = map[string]func(*settings) fescuelatch.Sampler{
	"adaptive": func(s *settings) fescuelatch.Sampler {
		return &quality.AdaptiveShare{Base: s.SampleShare, Rate: s.RatingRate}
	},
	"fixed": func(s *settings) fescuelatch.Sampler { return quality.FixedShare{Share: s.SampleShare} },
}

// find returns the choice of a name, or nil.
func find[T any](choices []choice[T], name string) func(fescuelatch.Incarnation) T {
	for _, c := range choices {
		if c.name == name {
			return c.make
		}
	}
	return nil
}

func (s *settings) checkPolicies() []string {
	var faults []string
	if find(versionPolicies, s.VersionPolicy) == nil {
		faults = append(faults, "--version-policy is unknown")
	}
	if find(placementPolicies, s.Placement) == nil {
		faults = append(faults, "--placement is unknown")
	}
	if find(gates, s.Gate) == nil {
		faults = append(faults, "--gate is unknown")
	}
	if find(qualityModels, s.Quality) == nil {
		faults = append(faults, "--quality is unknown")
	}
	if samplers[s.Sampling] == nil {
		faults = append(faults, "--sampling is unknown")
	}
	return faults
}
