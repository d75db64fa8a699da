package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file tests that evidence reaches the other daemon although only changes
// are sent.

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestExchangeSince(t *testing.T) {
	cursor := evidenceCursor{incarnation: "i", generation: 3, through: epoch.Add(time.Second), full: epoch}
	tests := []struct {
		name        string
		now         time.Duration
		incarnation fescuelatch.Incarnation
		generation  fescuelatch.Generation
		want        time.Time
	}{
		{"same", time.Minute / 4, "i", 3, cursor.through},
		{"replaced", time.Minute / 4, "j", 3, time.Time{}},
		{"other configuration", time.Minute / 4, "i", 4, time.Time{}},
		{"long ago", fullEvidenceInterval, "i", 3, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(cursor.since(epoch.Add(test.now), test.incarnation, test.generation), qt.Equals, test.want)
		})
	}
}

// TestExchangeCatchesUp loses replies and replaces the receiver at random.
// After a complete exchange, a receiver that the sender already knew must hold
// all its evidence.
func TestExchangeCatchesUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := epoch
		evidence := []fescuelatch.Evidence{{Version: "a", Updated: now}, {Version: "b", Updated: now}, {Version: "c", Updated: now}}
		var x evidenceCursor
		known := fescuelatch.Incarnation("0")
		process, received := known, map[fescuelatch.VersionID]time.Time{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				evidence[rapid.IntRange(0, 2).Draw(r, "version")].Updated = now
			case 2:
				process += "x"
				received = map[fescuelatch.VersionID]time.Time{}
			default:
				since := x.since(now, known, 1)
				sent := changedSince(evidence, since)
				for _, e := range sent {
					received[e.Version] = e.Updated
				}
				if rapid.Bool().Draw(r, "reply lost") {
					continue
				}
				same := known == process
				x = x.advance(now, since, process, 1, sent)
				known = process
				for _, e := range evidence {
					if same && !received[e.Version].Equal(e.Updated) {
						r.Fatalf("%s: receiver has %v, sender has %v", e.Version, received[e.Version], e.Updated)
					}
				}
			}
		}
	})
}
