package daemon

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/quality"
)

// This file tests that daemons with wrong clocks share their evidence.

// wrongClock is a daemon with a skewed clock that the platform has corrected.
type wrongClock struct {
	skew  time.Duration
	clock *keyvalue.Clock
}

func newWrongClock(skew time.Duration) *wrongClock {
	w := &wrongClock{skew: skew, clock: keyvalue.NewClock(epoch.Add(skew))}
	w.clock.Synchronize(w.at(time.Minute), epoch.Add(time.Minute))
	return w
}

// at returns the daemon's own time after d has passed.
func (w *wrongClock) at(d time.Duration) time.Time { return epoch.Add(w.skew + d) }

// TestWrongClocksShareEvidence has one daemon find a version bad and another
// receive the evidence. The second must keep the version in quarantine, also
// when the evidence is old by its own clock.
func TestWrongClocksShareEvidence(t *testing.T) {
	versions := []fescuelatch.Version{{ID: "m@1", Model: "m", Quality: 0.9, Weight: 1}}
	steps := []time.Duration{0, 30 * time.Second, 5 * time.Hour, -5 * time.Hour, 100 * time.Hour}
	for _, finds := range steps {
		for _, learns := range steps {
			t.Run(fmt.Sprint(finds, " sends to ", learns), func(t *testing.T) {
				c := qt.New(t)
				a, b := newWrongClock(finds), newWrongClock(learns)
				finder, learner := quality.New("a", quality.Settings{}), quality.New("b", quality.Settings{})
				finder.Configure(a.at(time.Hour), versions)
				learner.Configure(b.at(time.Hour), versions)
				for range 100 {
					finder.ObserveRating(a.at(time.Hour), "m@1", 0)
				}
				sent := toCommonTime(a.clock, finder.Evidence(a.at(time.Hour)))
				learner.Merge(b.at(time.Hour), toOwnTime(b.clock, sent))
				c.Check(learner.Health(b.at(time.Hour), "m@1"), qt.Equals, fescuelatch.HealthQuarantined)
				c.Check(learner.Health(b.at(time.Hour+time.Second), "m@1"), qt.Equals, fescuelatch.HealthQuarantined)
				// Merging the same evidence again has no effect.
				before := learner.Estimate(b.at(time.Hour), "m@1")
				learner.Merge(b.at(time.Hour), toOwnTime(b.clock, sent))
				c.Check(learner.Estimate(b.at(time.Hour), "m@1"), qt.Equals, before)
			})
		}
	}
}

// TestOwnTimeDoesNotStep checks that converted times of other daemons are
// compared with those of this process by the monotonic clock, which never
// steps.
func TestOwnTimeDoesNotStep(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	k := keyvalue.NewClock(now.Add(-time.Hour))
	own := toOwnTime(k, toCommonTime(k, []fescuelatch.Evidence{{Since: now.Add(-time.Minute), Updated: now}}))
	// The values are equal only with the same monotonic reading.
	c.Check(own[0].Updated, qt.Equals, now)
}
