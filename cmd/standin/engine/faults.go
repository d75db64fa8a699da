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
	// Quality is the probability that an answer of a version is good; 1 for
	// versions that it lacks.
	Quality map[fescuelatch.VersionID]float64 `json:"quality"`
	// LoadLag and CacheLag delay load reports and cache events. CacheGap is
	// the probability that a cache event is missing.
	LoadLag  time.Duration `json:"load-lag"`
	CacheLag time.Duration `json:"cache-lag"`
	CacheGap float64       `json:"cache-gap"`
	// Late delays answers by LateBy.
	Late   server.Chance `json:"late"`
	LateBy time.Duration `json:"late-by"`
	// Twice sends an answer twice, Crossed sends that of another attempt, in
	// streams from chunk CrossedAfter on.
	Twice        server.Chance `json:"twice"`
	Crossed      server.Chance `json:"crossed"`
	CrossedAfter int           `json:"crossed-after"`
	// Cut breaks the connection after CutAfter chunks, or in the middle of
	// a whole answer.
	Cut      server.Chance `json:"cut"`
	CutAfter int           `json:"cut-after"`
	// ErrorBefore and ErrorAfter answer 500 without and with execution.
	ErrorBefore server.Chance `json:"error-before"`
	ErrorAfter  server.Chance `json:"error-after"`
	// Unavailable answers 503 without execution.
	Unavailable server.Chance `json:"unavailable"`
	// Leaving is reported in the load. Down breaks all connections.
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// IgnoreFencing accepts orders with an old fencing number.
	IgnoreFencing bool `json:"ignore-fencing"`
	// Cold turns the engine cold once; it is absent from the faults in force.
	Cold *endpoint.Cold `json:"cold,omitempty"`
}

// apply carries out what was asked of the engine by a change of faults, and
// returns the faults that stay in force.
func (e *Engine) apply(f Faults) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Down {
		e.breakAll()
	}
	if c := f.Cold; c != nil {
		e.cool(c, time.Now())
		f.Cold = nil
	}
	return f
}

func (e *Engine) cool(c *endpoint.Cold, now time.Time) {
	if c.Break {
		e.breakAll()
	}
	if c.NewIncarnation {
		e.incarnation = endpoint.NewIncarnation()
	}
	e.cache.clear()
	e.cold.Turn(c, now)
}
