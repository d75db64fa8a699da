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

// This file tests that daemons whose clocks are wrong share their evidence.

// wrongClock is a daemon's own time, and its clock once the platform has
// answered.
type wrongClock struct {
	by    time.Duration
	clock *keyvalue.Clock
}

func newWrongClock(by time.Duration) *wrongClock {
	w := &wrongClock{by: by, clock: keyvalue.NewClock(epoch.Add(by))}
	w.clock.Answered(w.at(time.Minute), epoch.Add(time.Minute))
	return w
}

// at returns what the daemon takes for the time when a duration has passed.
func (w *wrongClock) at(d time.Duration) time.Time { return epoch.Add(w.by + d) }

// TestWrongClocksShareEvidence has one daemon find a version bad, and another
// learn it. That one must not use it again before the quarantine ends, nor
// when its evidence is old.
func TestWrongClocksShareEvidence(t *testing.T) {
	versions := []fescuelatch.Version{{ID: "m@1", Model: "m", Quality: 0.9, Weight: 1}}
	steps := []time.Duration{0, 30 * time.Second, 5 * time.Hour, -5 * time.Hour, 100 * time.Hour}
	for _, finds := range steps {
		for _, learns := range steps {
			t.Run(fmt.Sprint(finds, " tells ", learns), func(t *testing.T) {
				c := qt.New(t)
				a, b := newWrongClock(finds), newWrongClock(learns)
				finder, learner := quality.New("a", quality.Settings{}), quality.New("b", quality.Settings{})
				finder.Configure(a.at(time.Hour), versions)
				learner.Configure(b.at(time.Hour), versions)
				for range 100 {
					finder.ObserveRating(a.at(time.Hour), "m@1", 0)
				}
				told := inCommonTime(a.clock, finder.Evidence(a.at(time.Hour)))
				learner.Merge(b.at(time.Hour), inOwnTime(b.clock, told))
				c.Check(learner.Health(b.at(time.Hour), "m@1"), qt.Equals, fescuelatch.HealthQuarantined)
				c.Check(learner.Health(b.at(time.Hour+time.Second), "m@1"), qt.Equals, fescuelatch.HealthQuarantined)
				// The same again is nothing new.
				before := learner.Estimate(b.at(time.Hour), "m@1")
				learner.Merge(b.at(time.Hour), inOwnTime(b.clock, told))
				c.Check(learner.Estimate(b.at(time.Hour), "m@1"), qt.Equals, before)
			})
		}
	}
}

// TestOwnTimeDoesNotStep checks that times of other daemons can be compared
// with those of this process by the monotonic clock, which is never stepped.
func TestOwnTimeDoesNotStep(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	k := keyvalue.NewClock(now.Add(-time.Hour))
	own := inOwnTime(k, inCommonTime(k, []fescuelatch.Evidence{{Since: now.Add(-time.Minute), Updated: now}}))
	// Equal times with the same monotonic reading.
	c.Check(own[0].Updated, qt.Equals, now)
}
