package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/rollout"
)

// This file tests outcomes that daemons record at the same time.

// TestOutcomesRecordedByOthers guards against daemons that keep their own judgement when
// another one is recorded: after a completion the old release has no endpoints, and none
// would be left.
func TestOutcomesRecordedByOthers(t *testing.T) {
	tests := []struct {
		name     string
		bad      bool
		recorded fescuelatch.RolloutState
		state    chart.State
		excluded bool
	}{
		{"completed, though bad here", true, fescuelatch.RolloutCompleted, chart.RolloutCompleted, false},
		{"rolled back, though good here", false, fescuelatch.RolloutRolledBack, chart.RolloutRolledBack, true},
		{"rolled back, as here", true, fescuelatch.RolloutRolledBack, chart.RolloutRolledBack, true},
		{"nothing, though bad here", true, fescuelatch.RolloutInProgress, chart.RolloutCondemned, true},
	}
	for _, test := range tests {
		c := qt.New(t)
		r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
		if test.bad {
			for range 20 {
				r.Observe(rollout.Attempt{Release: "v2", Outcome: rollout.OutcomeFailed})
			}
		}
		r.Advance(epoch)
		r.ApplyRecorded(test.recorded)
		c.Check(r.State(), qt.Equals, test.state, qt.Commentf("%s", test.name))
		c.Check(r.Excluded(), qt.Equals, test.excluded, qt.Commentf("%s", test.name))
	}
}
