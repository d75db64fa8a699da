package placement

import (
	"time"

	"fescuelatch"
)

// This file defines the baselines that a Policy is compared to.

// LeastLoaded chooses the spot of the highest reported spare capacity.
type LeastLoaded struct{}

// Choose implements fescuelatch.PlacementPolicy.
func (LeastLoaded) Choose(_ time.Time, _ *fescuelatch.Request, spots []fescuelatch.Spot, _ float64) int {
	chosen := none
	for i := range spots {
		if chosen == none || spots[i].Spare > spots[chosen].Spare {
			chosen = i
		}
	}
	return chosen
}

// Random chooses every spot with the same probability.
type Random struct{}

// Choose implements fescuelatch.PlacementPolicy.
func (Random) Choose(_ time.Time, _ *fescuelatch.Request, spots []fescuelatch.Spot, u float64) int {
	return min(int(u*float64(len(spots))), len(spots)-1)
}
