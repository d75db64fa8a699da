package quality_test

import (
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/quality"
)

// A version whose answers are rated bad is quarantined and later put on
// probation.
func Example() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	m := quality.New("daemon-1", quality.Settings{Quarantine: 5 * time.Minute})
	m.Configure(now, []fescuelatch.Version{{ID: "triage@small-4", Quality: 0.9}})
	for range 30 {
		now = now.Add(time.Second)
		m.ObserveRating(now, "triage@small-4", 0)
	}
	fmt.Println(m.Health(now, "triage@small-4"))
	now = now.Add(5 * time.Minute)
	fmt.Println(m.Health(now, "triage@small-4"))
	// Output:
	// quarantined
	// suspect
}

// Merged evidence of one daemon updates the estimate of another.
func ExampleModel_Merge() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	versions := []fescuelatch.Version{{ID: "triage@small-4", Quality: 0.9}}
	a, b := quality.New("daemon-1", quality.Settings{}), quality.New("daemon-2", quality.Settings{})
	a.Configure(now, versions)
	b.Configure(now, versions)
	for range 60 {
		a.ObserveRating(now, "triage@small-4", 0.75)
	}
	b.Merge(now, a.Evidence(now))
	b.Merge(now, a.Evidence(now))
	e := b.Estimate(now, "triage@small-4")
	fmt.Printf("%.2f from %.0f ratings\n", e.Mean, e.Samples)
	// Output:
	// 0.82 from 60 ratings
}
