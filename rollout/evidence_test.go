package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/rollout"
)

// This file tests when daemons send their evidence.

// TestEvidenceOfManyDaemons guards against a message for each answer in a large fleet, and
// against silence while little is known.
func TestEvidenceOfManyDaemons(t *testing.T) {
	tests := []struct {
		name    string
		known   rollout.Count // of other daemons
		new     int
		failed  bool
		changed bool
	}{
		{"the first answer", rollout.Count{}, 1, false, true},
		{"one of few", rollout.Count{Answers: 20}, 1, false, true},
		{"one of many", rollout.Count{Answers: 3000}, 1, false, false},
		{"many of many", rollout.Count{Answers: 3000}, 110, false, true},
		{"a bad one of many", rollout.Count{Answers: 3000, Bad: 3}, 1, true, true},
		{"a bad one of many bad ones", rollout.Count{Answers: 3000, Bad: 900}, 1, true, false},
	}
	for _, test := range tests {
		r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
		r.Merge("other", rollout.Evidence{Revision: 5, Target: map[fescuelatch.RouteID]rollout.Count{"label": test.known}})
		outcome := rollout.OutcomeAnswered
		if test.failed {
			outcome = rollout.OutcomeFailed
		}
		for range test.new {
			r.Observe(rollout.Attempt{Route: "label", Release: "v2", Outcome: outcome})
		}
		qt.Check(t, r.Changed(rollout.Evidence{}), qt.Equals, test.changed, qt.Commentf("%s", test.name))
	}
}
