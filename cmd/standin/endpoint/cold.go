// Package endpoint holds what the stand-ins of endpoints share: cold starts
// and load reports.
package endpoint

import "time"

// This file defines cold starts.

// Cold is a fault that turns a warm endpoint cold.
type Cold struct {
	// For is the time that the endpoint stays cold; 0 means the setting's.
	For time.Duration `json:"for"`
	// Unannounced keeps the load report at "warm".
	Unannounced bool `json:"unannounced"`
	// NewIncarnation gives the endpoint a new incarnation.
	NewIncarnation bool `json:"new-incarnation"`
	// Break breaks the requests in progress.
	Break bool `json:"break"`
}

// ColdStart decides what an endpoint bears in a cold start. One that gets
// more falls over: it breaks all requests, stops answering for a time and
// starts anew, cold. Its caller serialises all calls.
type ColdStart struct {
	// Slots is the number of concurrent requests borne when cold; 0 is no
	// limit.
	Slots int
	// Time is the length of a cold start, FallOver that of the time without
	// service.
	Time     time.Duration
	FallOver time.Duration

	until       time.Time
	down        time.Time
	unannounced bool
	fallOvers   int
	maxCold     int
}

// Begin begins the cold start of a new process.
func (c *ColdStart) Begin(now time.Time) { c.until = now.Add(c.Time) }

// Turn turns a warm endpoint cold.
func (c *ColdStart) Turn(f *Cold, now time.Time) {
	d := f.For
	if d == 0 {
		d = c.Time
	}
	c.until = now.Add(d)
	c.unannounced = f.Unannounced
}

// Down reports whether the endpoint is without service.
func (c *ColdStart) Down(now time.Time) bool { return now.Before(c.down) }

// Cold reports whether the endpoint is cold.
func (c *ColdStart) Cold(now time.Time) bool { return now.Before(c.until) }

// Reported reports whether the load report says that the endpoint is cold.
func (c *ColdStart) Reported(now time.Time) bool { return c.Cold(now) && !c.unannounced }

// Admit admits a request as one of n concurrent ones. It reports false when
// the endpoint falls over instead.
func (c *ColdStart) Admit(now time.Time, n int) bool {
	if !c.Cold(now) {
		return true
	}
	c.maxCold = max(c.maxCold, n)
	if c.Slots == 0 || n <= c.Slots {
		return true
	}
	c.fallOvers++
	c.down = now.Add(c.FallOver)
	c.Begin(c.down)
	c.unannounced = false
	return false
}

// FallOvers returns how often the endpoint has fallen over.
func (c *ColdStart) FallOvers() int { return c.fallOvers }

// MaxCold returns the highest number of concurrent requests when cold.
func (c *ColdStart) MaxCold() int { return c.maxCold }
