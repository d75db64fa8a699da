package placement

import (
	"time"

	"fescuelatch"
)

// This file defines the baselines that Policy is compared to.

// LeastLoaded chooses the target with the highest reported spare capacity.
type LeastLoaded struct{}

// Choose implements fescuelatch.PlacementPolicy.
func (LeastLoaded) Choose(_ time.Time, _ *fescuelatch.Request, targets []fescuelatch.Target, _ float64) int {
	chosen := none
	for i := range targets {
		if chosen == none || targets[i].Spare > targets[chosen].Spare {
			chosen = i
		}
	}
	return chosen
}

// Random chooses a target uniformly at random.
type Random struct{}

// Choose implements fescuelatch.PlacementPolicy.
func (Random) Choose(_ time.Time, _ *fescuelatch.Request, targets []fescuelatch.Target, u float64) int {
	return min(int(u*float64(len(targets))), len(targets)-1)
}
