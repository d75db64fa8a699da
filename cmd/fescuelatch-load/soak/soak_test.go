package soak_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/cmd/fescuelatch-load/soak"
	"fescuelatch/fleet/fleettest"
)

// This file runs short soaks with fixed seeds, including seeds that failed
// before.

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m)) }

func TestSoak(t *testing.T) {
	tests := []struct {
		seed uint64
		why  string
	}{
		{1, "any"},
		{2, "any"},
		{13, "SIGHUP ended a daemon that had just started"},
		{5004, "a part of answers under way was blocked"},
	}
	for _, test := range tests {
		t.Run(test.why, func(t *testing.T) {
			c := qt.New(t)
			r, err := soak.Run(t.Context(), soak.Options{
				Seed: test.seed, Duration: 12 * time.Second,
				Program: filepath.Join(fleettest.Bin(), "fescuelatchd"), Dir: t.ArtifactDir(),
				OnFault: func(line string) { t.Log(line) },
			})
			c.Assert(err, qt.IsNil)
			c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("seed %d: %q", test.seed, r.Violations))
			t.Logf("seed %d: %d faults, calls %v", r.Seed, r.Faults, r.Calls)
		})
	}
}
