package main

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the command that sets the weights of a rollout.

// versionWeight is an argument VERSION=WEIGHT.
type versionWeight struct {
	version fescuelatch.VersionID
	weight  float64
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (w *versionWeight) UnmarshalText(text []byte) error {
	id, number, ok := strings.Cut(string(text), "=")
	if !ok || id == "" {
		return errors.Errorf("%q is not VERSION=WEIGHT", text)
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil || f < 0 || math.IsInf(f, 0) || math.IsNaN(f) {
		return errors.Errorf("the weight %q is not a number of 0 or above", number)
	}
	w.version, w.weight = fescuelatch.VersionID(id), f
	return nil
}

func (c *rolloutSet) run(ctx context.Context, s *session) error {
	return s.change(ctx, c.changeFlags, func(base *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
		next := *base
		next.Inventory.Versions = slices.Clone(base.Inventory.Versions)
		for _, w := range c.Weights {
			n := slices.IndexFunc(next.Inventory.Versions, func(v fescuelatch.Version) bool { return v.ID == w.version })
			if n < 0 {
				return nil, usageError("set weights", errors.Errorf("there is no version %q at generation %d", w.version, base.Generation))
			}
			next.Inventory.Versions[n].Weight = w.weight
		}
		return &next, nil
	})
}
