// Package endpoint provides cold starts and load reports for the stand-ins of
// endpoints.
package endpoint

import "time"

// This file defines cold starts.

// Cold is a fault that makes a warm endpoint cold.
type Cold struct {
	// For is how long the endpoint stays cold; 0 means ColdStart.Time.
	For time.Duration `json:"for"`
	// Unannounced keeps the reported state at "warm".
	Unannounced bool `json:"unannounced"`
	// NewIncarnation gives the endpoint a new incarnation.
	NewIncarnation bool `json:"new-incarnation"`
	// Break aborts the requests in progress.
	Break bool `json:"break"`
}

// ColdStart limits the load during a cold start. An endpoint that exceeds the
// limit falls over: it aborts all requests, is down for a time and restarts
// cold. ColdStart is not safe for concurrent use.
type ColdStart struct {
	// Slots limits the concurrent requests when cold; 0 means no limit.
	Slots int
	// Time is the duration of a cold start, FallOver that of the downtime.
	Time     time.Duration
	FallOver time.Duration

	coldUntil   time.Time
	downUntil   time.Time
	unannounced bool
	fallOvers   int
	maxCold     int
}

// Begin starts the cold start of a new process.
func (c *ColdStart) Begin(now time.Time) { c.coldUntil = now.Add(c.Time) }

// MakeCold makes a warm endpoint cold.
func (c *ColdStart) MakeCold(f *Cold, now time.Time) {
	d := f.For
	if d == 0 {
		d = c.Time
	}
	c.coldUntil = now.Add(d)
	c.unannounced = f.Unannounced
}

// Down reports whether the endpoint is down.
func (c *ColdStart) Down(now time.Time) bool { return now.Before(c.downUntil) }

// Cold reports whether the endpoint is cold.
func (c *ColdStart) Cold(now time.Time) bool { return now.Before(c.coldUntil) }

// ReportedCold reports whether the load report shows the endpoint as cold.
func (c *ColdStart) ReportedCold(now time.Time) bool { return c.Cold(now) && !c.unannounced }

// Admit admits a request that makes n concurrent ones. It returns false if
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
	c.downUntil = now.Add(c.FallOver)
	c.Begin(c.downUntil)
	c.unannounced = false
	return false
}

// FallOvers returns how often the endpoint has fallen over.
func (c *ColdStart) FallOvers() int { return c.fallOvers }

// MaxCold returns the maximum number of concurrent requests when cold.
func (c *ColdStart) MaxCold() int { return c.maxCold }
