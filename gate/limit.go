package gate

import "time"

// This file defines the adaptive limit of concurrent attempts at a warm
// endpoint: additive increase while answers arrive in time, multiplicative
// decrease when the endpoint refuses work, fails or slows down.

const (
	// limitDecrease is the factor of each decrease.
	limitDecrease = 0.7
	// decreaseInterval is the minimum time between decreases, so that the
	// attempts of one overload count once.
	decreaseInterval = time.Second
)

// limit is the adaptive limit. It stays between a floor and a ceiling that
// the caller passes.
type limit struct {
	value     float64
	decreased time.Time
}

// increase raises the limit by one for each round of as many answers.
func (l *limit) increase(ceiling int) {
	l.value = min(l.value+1/max(l.value, 1), float64(ceiling))
}

// decrease lowers the limit after an overload.
func (l *limit) decrease(now time.Time, floor int) {
	if now.Before(l.decreased.Add(decreaseInterval)) {
		return
	}
	l.decreased = now
	l.value = max(l.value*limitDecrease, float64(floor))
}
