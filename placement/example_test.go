package placement_test

import (
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/placement"
)

// Own endpoints are preferred to daemons of the same failure domain, and these to
// other daemons.
func ExamplePolicy_Choose() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	targets := []fescuelatch.Target{
		{VM: "dub-b-1", Domain: "dub-b", Spare: 40, ReportedAt: now},
		{VM: "dub-a-2", Domain: "dub-a", Local: true, Spare: 6, ReportedAt: now},
		{Endpoint: "dub-a-engine-1", Domain: "dub-a", Local: true, Spare: 1, ReportedAt: now},
	}
	var p placement.Policy
	var r fescuelatch.Request
	fmt.Println(p.Choose(now, &r, targets, 0.5))
	targets[2].Spare = 0
	fmt.Println(p.Choose(now, &r, targets, 0.5))
	// Output:
	// 2
	// 1
}
