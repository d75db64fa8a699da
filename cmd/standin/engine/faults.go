package engine

import (
	"time"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/cmd/standin/server"
)

// This file defines the faults of an engine.

// Faults are the faults of an engine.
type Faults struct {
	// Quality is the probability that a response of a version is good; the
	// default is 1.
	Quality map[fescuelatch.VersionID]float64 `json:"quality"`
	// LoadLag and CacheLag delay load reports and cache events. CacheGap is
	// the probability that a cache event is missing.
	LoadLag  time.Duration `json:"load-lag"`
	CacheLag time.Duration `json:"cache-lag"`
	CacheGap float64       `json:"cache-gap"`
	// Late delays responses by LateBy.
	Late   server.Chance `json:"late"`
	LateBy time.Duration `json:"late-by"`
	// Twice sends a response twice. Crossed sends the response of another
	// attempt; in streams, from chunk CrossedAfter on.
	Twice        server.Chance `json:"twice"`
	Crossed      server.Chance `json:"crossed"`
	CrossedAfter int           `json:"crossed-after"`
	// Cut closes the connection after CutAfter chunks, or in the middle of
	// an unstreamed response.
	Cut      server.Chance `json:"cut"`
	CutAfter int           `json:"cut-after"`
	// ErrorBefore and ErrorAfter respond 500 before and after execution.
	ErrorBefore server.Chance `json:"error-before"`
	ErrorAfter  server.Chance `json:"error-after"`
	// Unavailable responds 503 without execution.
	Unavailable server.Chance `json:"unavailable"`
	// Leaving is reported in the load. Down closes all connections.
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// IgnoreFencing accepts orders with a stale fencing number.
	IgnoreFencing bool `json:"ignore-fencing"`
	// Cold makes the engine cold once; the active faults omit it.
	Cold *endpoint.Cold `json:"cold,omitempty"`
}

// apply performs the one-time effects of a change of faults and returns the
// faults that stay active.
func (e *Engine) apply(f Faults) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Down {
		e.abortAll()
	}
	if c := f.Cold; c != nil {
		e.makeCold(c, time.Now())
		f.Cold = nil
	}
	return f
}

func (e *Engine) makeCold(c *endpoint.Cold, now time.Time) {
	if c.Break {
		e.abortAll()
	}
	if c.NewIncarnation {
		e.incarnation = endpoint.NewIncarnation()
	}
	e.cache.clear()
	e.cold.MakeCold(c, now)
}
