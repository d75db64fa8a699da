package server

import (
	"sync"

	"golang.org/x/time/rate"
)

// This file defines rate limits that can change at run time.

// burstWindow is the time whose calls may arrive in one burst.
const burstWindow = 0.25 // seconds

// Limiter limits the rate of calls. The zero value is ready for use.
type Limiter struct {
	mu sync.Mutex
	l  *rate.Limiter
}

// Allow reports whether a call is within the rate; 0 means no limit.
func (l *Limiter) Allow(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.l == nil || l.l.Limit() != rate.Limit(perSecond) {
		l.l = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstWindow)))
	}
	return l.l.Allow()
}
