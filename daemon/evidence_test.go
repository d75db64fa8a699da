package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file tests that evidence which is told only when it has changed
// reaches the other daemon all the same.

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestExchangeSince(t *testing.T) {
	told := exchange{incarnation: "i", generation: 3, through: epoch.Add(time.Second), full: epoch}
	tests := []struct {
		name        string
		now         time.Duration
		incarnation fescuelatch.Incarnation
		generation  fescuelatch.Generation
		want        time.Time
	}{
		{"same", time.Minute / 4, "i", 3, told.through},
		{"replaced", time.Minute / 4, "j", 3, time.Time{}},
		{"other configuration", time.Minute / 4, "i", 4, time.Time{}},
		{"long ago", fullEvidenceInterval, "i", 3, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(told.since(epoch.Add(test.now), test.incarnation, test.generation), qt.Equals, test.want)
		})
	}
}

// TestExchangeCatchesUp loses messages and replaces the receiver at random.
// A receiver that was told without loss holds what the sender has.
func TestExchangeCatchesUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := epoch
		evidence := []fescuelatch.Evidence{{Version: "a", Updated: now}, {Version: "b", Updated: now}, {Version: "c", Updated: now}}
		var x exchange
		heard := fescuelatch.Incarnation("0")
		process, held := heard, map[fescuelatch.VersionID]time.Time{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				evidence[rapid.IntRange(0, 2).Draw(r, "version")].Updated = now
			case 2:
				process += "x"
				held = map[fescuelatch.VersionID]time.Time{}
			default:
				since := x.since(now, heard, 1)
				told := changedSince(evidence, since)
				for _, e := range told {
					held[e.Version] = e.Updated
				}
				if rapid.Bool().Draw(r, "reply lost") {
					continue
				}
				same := heard == process
				x = x.next(now, since, process, 1, told)
				heard = process
				for _, e := range evidence {
					if same && !held[e.Version].Equal(e.Updated) {
						r.Fatalf("%s: held %v, has %v", e.Version, held[e.Version], e.Updated)
					}
				}
			}
		}
	})
}
