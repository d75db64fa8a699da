package main

import (
	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/gate"
	"fescuelatch/placement"
	"fescuelatch/quality"
)

// This file defines the selection of policies by name.

// policyOption is a policy that a setting can select by name.
type policyOption[T any] struct {
	name string
	make func(fescuelatch.Incarnation) T
}

var versionPolicies = []policyOption[fescuelatch.VersionPolicy]{
	{"cascade", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return new(cascade.Policy) }},
	{"always-best", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return cascade.AlwaysBest{} }},
	{"always-cheapest", func(fescuelatch.Incarnation) fescuelatch.VersionPolicy { return cascade.AlwaysCheapest{} }},
}

var placementPolicies = []policyOption[fescuelatch.PlacementPolicy]{
	{"affinity", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return new(placement.Policy) }},
	{"least-loaded", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return placement.LeastLoaded{} }},
	{"random", func(fescuelatch.Incarnation) fescuelatch.PlacementPolicy { return placement.Random{} }},
}

var gates = []policyOption[fescuelatch.Gate]{
	{"adaptive", func(fescuelatch.Incarnation) fescuelatch.Gate { return gate.NewAdaptive(gate.Settings{}) }},
	{"fixed", func(fescuelatch.Incarnation) fescuelatch.Gate { return new(gate.Fixed) }},
}

var qualityModels = []policyOption[fescuelatch.QualityModel]{
	{"learned", func(i fescuelatch.Incarnation) fescuelatch.QualityModel { return quality.New(i, quality.Settings{}) }},
	{"static", func(fescuelatch.Incarnation) fescuelatch.QualityModel { return new(quality.Static) }},
}

// samplers are selected by name like the policies but depend on settings.
var samplers = map[string]func(*settings) fescuelatch.Sampler{
	"adaptive": func(s *settings) fescuelatch.Sampler {
		return &quality.AdaptiveShare{Base: s.SampleShare, Rate: s.RatingRate}
	},
	"fixed": func(s *settings) fescuelatch.Sampler { return quality.FixedShare{Share: s.SampleShare} },
}

// findPolicy returns the constructor of the named policy, or nil.
func findPolicy[T any](choices []policyOption[T], name string) func(fescuelatch.Incarnation) T {
	for _, c := range choices {
		if c.name == name {
			return c.make
		}
	}
	return nil
}

func (s *settings) checkPolicies() []string {
	var faults []string
	if findPolicy(versionPolicies, s.VersionPolicy) == nil {
		faults = append(faults, "--version-policy is unknown")
	}
	if findPolicy(placementPolicies, s.Placement) == nil {
		faults = append(faults, "--placement is unknown")
	}
	if findPolicy(gates, s.Gate) == nil {
		faults = append(faults, "--gate is unknown")
	}
	if findPolicy(qualityModels, s.Quality) == nil {
		faults = append(faults, "--quality is unknown")
	}
	if samplers[s.Sampling] == nil {
		faults = append(faults, "--sampling is unknown")
	}
	return faults
}
