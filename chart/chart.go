// Package chart loads the state charts of the domain objects from embedded
// files and runs them.
//
// A chart is compiled once: qmuntal/stateless interprets every event in every
// state, and the results form a transition table. A Machine then needs one
// table lookup per event, which is cheap enough for every request.
package chart

import (
	"embed"
	"sync"
)

// This file defines the charts of the domain and the type Chart.

//go:embed *.yaml
var files embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// noTransition marks a missing transition in the transition table.
const noTransition = -1

// Chart is a compiled state chart. It is immutable and safe for concurrent use.
type Chart struct {
	definition Definition
	file       string
	states     []State
	events     []Event
	stateIndex map[State]int
	eventIndex map[Event]int
	final      []bool
	initial    int
	// next maps state and event indices to the index of the next state.
	next [][]int
}

var (
	request       = sync.OnceValue(func() *Chart { return mustLoad("request.yaml") })
	endpoint      = sync.OnceValue(func() *Chart { return mustLoad("endpoint.yaml") })
	modelVersion  = sync.OnceValue(func() *Chart { return mustLoad("model-version.yaml") })
	daemon        = sync.OnceValue(func() *Chart { return mustLoad("daemon.yaml") })
	failureDomain = sync.OnceValue(func() *Chart { return mustLoad("failure-domain.yaml") })
	rollout       = sync.OnceValue(func() *Chart { return mustLoad("rollout.yaml") })
)

// Request returns the life cycle of a request at the daemon that accepted it.
func Request() *Chart { return request() }

// Endpoint returns the life cycle of an endpoint in its owner's view.
func Endpoint() *Chart { return endpoint() }

// ModelVersion returns the life cycle of a version.
func ModelVersion() *Chart { return modelVersion() }

// Daemon returns the life cycle of a daemon.
func Daemon() *Chart { return daemon() }

// FailureDomain returns the life cycle of a failure domain.
func FailureDomain() *Chart { return failureDomain() }

// Rollout returns the life cycle of a rollout.
func Rollout() *Chart { return rollout() }

// All returns all charts, in the order of the documentation.
func All() []*Chart {
	return []*Chart{Request(), Endpoint(), ModelVersion(), Daemon(), FailureDomain(), Rollout()}
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.definition.Chart }

// File returns the name of the file that the chart was read from.
func (c *Chart) File() string { return c.file }

// Definition returns the content of the chart's file. Callers must not modify
// it.
func (c *Chart) Definition() *Definition { return &c.definition }

// Initial returns the state in which a machine starts.
func (c *Chart) Initial() State { return c.states[c.initial] }

// States returns all states in the order of the file.
func (c *Chart) States() []State { return append([]State(nil), c.states...) }

// Events returns all events in the order of the file.
func (c *Chart) Events() []Event { return append([]Event(nil), c.events...) }

// Final reports whether s is a final state.
func (c *Chart) Final(s State) bool {
	i, ok := c.stateIndex[s]
	return ok && c.final[i]
}

// Next returns the target of the transition of event e from state s, if any.
func (c *Chart) Next(s State, e Event) (State, bool) {
	i, ok := c.stateIndex[s]
	if !ok {
		return "", false
	}
	j, ok := c.eventIndex[e]
	if !ok || c.next[i][j] == noTransition {
		return "", false
	}
	return c.states[c.next[i][j]], true
}

// New returns a machine in the initial state.
func (c *Chart) New() *Machine { return &Machine{chart: c, state: c.initial} }
