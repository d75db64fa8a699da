package cascade_test

import (
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/cascade"
)

// A request that requires more than the quality of the cheap version is still
// tried on it first, because a better version replaces answers that are rated
// too low. A streamed request goes directly to the better version.
func Example() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	candidate := func(id fescuelatch.VersionID, quality float64, cost int64) fescuelatch.Candidate {
		return fescuelatch.Candidate{
			Version:  fescuelatch.Version{ID: id, PromptCost: cost, OutputCost: 3 * cost, Weight: 1},
			Estimate: fescuelatch.Estimate{Mean: quality, Low: quality, High: quality},
			Health:   fescuelatch.HealthGood,
			Spare:    4,
			Latency:  time.Second,
		}
	}
	list := []fescuelatch.Candidate{
		candidate("summariser@mid-2", 0.86, 240),
		candidate("summariser@large-2", 0.97, 1100),
	}
	var p cascade.Policy
	unstreamed := fescuelatch.Request{Quality: 0.95, Idempotent: true}
	streamed := fescuelatch.Request{Quality: 0.95, Idempotent: true, Streamed: true}
	fmt.Println(p.Plan(now, &unstreamed, list, 0.5))
	fmt.Println(p.Plan(now, &streamed, list, 0.5))
	// Output:
	// [summariser@mid-2 summariser@large-2]
	// [summariser@large-2]
}
