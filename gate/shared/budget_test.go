package shared_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate/shared"
)

// This file tests the retry budget against the bound that all daemons
// together must keep.

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestBudget plays daemons whose callers' requests all ask for escalations and
// retries, and checks the bound in every window and that failures are still
// retried when escalations have used up their part.
func TestBudget(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		rate    int // requests a second of each daemon
	}{
		{"few daemons", 6, 20},
		{"many daemons", 80, 10},
		{"hardly any requests", 80, 1},
	}
	settings := shared.BudgetSettings{Ratio: 0.9, Extra: 52, Window: 10 * time.Second}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			budgets := make([]*shared.Budget, test.daemons)
			for i := range budgets {
				budgets[i] = shared.NewBudget(settings, func() int { return test.daemons })
			}
			q := &fescuelatch.Request{Ladder: []fescuelatch.ModelID{"lm:small"}}
			const seconds = 30
			var requests, repeats [seconds]float64
			failures := 0
			for second := range seconds {
				for n := range test.rate {
					now := epoch.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/time.Duration(test.rate))
					for _, b := range budgets {
						b.Earn(now, q)
						requests[second]++
						if b.Take(now, q, fescuelatch.RetryEscalation) {
							repeats[second]++
						}
						if n%10 == 0 && b.Take(now, q, fescuelatch.RetryFailure) {
							repeats[second]++
							failures++
						}
					}
				}
			}
			for from := range seconds - 10 {
				sent, again := 0.0, 0.0
				for second := from; second < from+10; second++ {
					sent += requests[second]
					again += repeats[second]
				}
				c.Check(again <= settings.Ratio*sent+settings.Extra, qt.IsTrue, qt.Commentf("%v of %v from second %d", again, sent, from))
			}
			c.Check(failures >= test.daemons*test.rate*seconds/20, qt.IsTrue, qt.Commentf("%d failures were retried", failures))
		})
	}
}
