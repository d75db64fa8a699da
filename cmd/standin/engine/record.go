package engine

import (
	"maps"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines the record of the requests received.

const (
	maxStarts     = 20_000
	maxExecutions = 200_000
)

// requestRecord describes a received request.
type requestRecord struct {
	At time.Time `json:"at"`
	// Started is when the request got a slot; zero means never.
	Started time.Time             `json:"started,omitzero"`
	Attempt fescuelatch.AttemptID `json:"attempt"`
	Version fescuelatch.VersionID `json:"version"`
	Leaving bool                  `json:"leaving"`
}

// versionCount counts the requests for one version.
type versionCount struct {
	Requests int       `json:"requests"`
	First    time.Time `json:"first"`
	Last     time.Time `json:"last"`
}

// Counts is the response to GET /counts.
type Counts struct {
	Versions map[fescuelatch.VersionID]versionCount `json:"versions"`
	// Executions counts how often each attempt got a slot.
	Executions   map[fescuelatch.AttemptID]int `json:"executions"`
	FallOvers    int                           `json:"fall-overs"`
	MaxCold      int                           `json:"max-cold-concurrency"`
	MaxRunning   int                           `json:"max-concurrency"`
	AfterLeaving int                           `json:"received-while-leaving"`
}

// recorder holds counts and the latest requests.
type recorder struct {
	mu     sync.Mutex
	counts Counts
	starts []*requestRecord
}

func newRecorder() *recorder {
	return &recorder{
		counts: Counts{
			Versions:   make(map[fescuelatch.VersionID]versionCount),
			Executions: make(map[fescuelatch.AttemptID]int),
		},
	}
}

func (c *recorder) recordArrival(r *run, now time.Time, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &requestRecord{At: now, Attempt: r.attempt, Version: r.request.Model, Leaving: leaving}
	c.starts = append(c.starts, s)
	c.starts = c.starts[max(0, len(c.starts)-maxStarts):]
	r.record = s
	v := c.counts.Versions[r.request.Model]
	if v.Requests == 0 {
		v.First = now
	}
	v.Requests++
	v.Last = now
	c.counts.Versions[r.request.Model] = v
	if leaving {
		c.counts.AfterLeaving++
	}
}

// recordStart records that a run got a slot, with the new number of running
// ones.
func (c *recorder) recordStart(r *run, now time.Time, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.record.Started = now
	c.counts.MaxRunning = max(c.counts.MaxRunning, running)
	if len(c.counts.Executions) < maxExecutions {
		c.counts.Executions[r.attempt]++
	}
}

// snapshot returns a copy of the counts.
func (c *recorder) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.counts
	s.Versions = maps.Clone(s.Versions)
	s.Executions = maps.Clone(s.Executions)
	return s
}

// latest returns the requests received at or after a time.
func (c *recorder) latest(since time.Time) []requestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	ss := []requestRecord{}
	for _, s := range c.starts {
		if !s.At.Before(since) {
			ss = append(ss, *s)
		}
	}
	return ss
}
