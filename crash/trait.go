package crash

import (
	"slices"
	"strings"

	"fescuelatch"
)

// This file defines the traits of requests by which the cause of crashes is found: the
// parts that a prompt shares with others, and what identifies the request itself.

const (
	// maxTrait bounds a trait, which is part of a key. Parts with longer identifiers are
	// never blocked.
	maxTrait = 64
	// requestPrefix distinguishes the traits that are fingerprints. Prompt parts with
	// such names are ignored.
	requestPrefix = "request:"
	// requestDepth is the depth of fingerprints. No request has so many parts.
	requestDepth = 1 << 16
)

// isRequest reports whether a trait is the fingerprint of a request.
func isRequest(trait string) bool { return strings.HasPrefix(trait, requestPrefix) }

// beside returns the traits of a request other than a given one.
func beside(traits []Suspect, trait string) []string {
	with := make([]string, 0, len(traits))
	for _, s := range traits {
		if s.Trait != trait && !slices.Contains(with, s.Trait) && len(with) < maxWith {
			with = append(with, s.Trait)
		}
	}
	return with
}

// both returns what two lists have in common, or nil if one of them is nil.
func both(a, b []string) []string {
	if a == nil || b == nil {
		return nil
	}
	common := make([]string, 0, min(len(a), len(b)))
	for _, s := range a {
		if slices.Contains(b, s) {
			common = append(common, s)
		}
	}
	return common
}

// traitsOf returns the traits of a request, the most common ones first: all parts of the
// prompt but the last, which no other prompt has, and the fingerprints.
func traitsOf(q *fescuelatch.Request) []Suspect {
	var traits []Suspect
	before := ""
	add := func(trait string, depth int) {
		traits = append(traits, Suspect{Trait: trait, Depth: depth, After: before})
		before = trait
	}
	for i := range max(0, len(q.Parts)-1) {
		if id := q.Parts[i].ID; id != "" && len(id) <= maxTrait && !isRequest(id) && i < requestDepth-1 {
			add(id, i)
		}
	}
	for i, f := range []string{q.QuerylessFingerprint, q.Fingerprint} {
		if f != "" && len(requestPrefix+f) <= maxTrait {
			add(requestPrefix+f, requestDepth-1+i)
		}
	}
	for i := range traits {
		traits[i].With = beside(traits, traits[i].Trait)
	}
	return traits
}
