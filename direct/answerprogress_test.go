package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests which answers count as under way when their endpoint crashes.

// TestAnswersUnderWayAreNotSuspected guards against parts that are blocked because requests
// with them ran on the endpoints that another prompt crashed.
func TestAnswersUnderWayAreNotSuspected(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		events []time.Duration // since the answer began
		at     time.Duration
		begins bool
		shows  bool // an event shows that the answer is under way
	}{
		{"no event", nil, 2 * time.Second, true, false},
		{"the first event", []time.Duration{0}, 100 * ms, true, false},
		{"the first event, long ago", []time.Duration{0}, 600 * ms, false, false},
		{"several quick events", []time.Duration{0, 15 * ms, 30 * ms}, 40 * ms, false, false},
		{"events for a while", []time.Duration{0, 300 * ms, 600 * ms}, 610 * ms, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var p answerProgress
			shows := false
			for _, after := range test.events {
				shows = p.event(epoch.Add(after)) || shows
			}
			c.Check(p.begins(epoch.Add(test.at)), qt.Equals, test.begins)
			c.Check(shows, qt.Equals, test.shows)
		})
	}
}
