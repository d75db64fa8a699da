// Package audit checks a run against the promises of the router, from what
// callers, endpoints and the platform have recorded. It asks no daemon how a
// request went. All of it is pure.
package audit

import (
	"time"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

// This file defines evidence: all that an audit looks at.

// Evidence is what was recorded during a run.
type Evidence struct {
	// Configuration is the one that the run began with.
	Configuration *fescuelatch.Configuration
	Records       []load.Record
	Endpoints     []fleet.EndpointLog
	Bills         []fescuelatch.Bill
	Events        []Event
	Samples       []Sample
	Stops         []Stop
	// Grace is the time that a change may take to come into force.
	Grace time.Duration
	// Ended is when the last call had ended.
	Ended time.Time
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. Each kind that takes something out has one that brings it
// back.
const (
	EventVersionWithdrawn EventKind = "version-withdrawn"
	EventVersionRestored  EventKind = "version-restored"
	EventDomainOut        EventKind = "failure-domain-out"
	EventDomainIn         EventKind = "failure-domain-in"
	EventEndpointLeaving  EventKind = "endpoint-leaving"
	EventEndpointBack     EventKind = "endpoint-back"
	EventEndpointCold     EventKind = "endpoint-cold"
	EventDaemonKilled     EventKind = "daemon-killed"
	EventDaemonStarted    EventKind = "daemon-started"
)

// Event is something that was done to the fleet.
type Event struct {
	At   time.Time `json:"at"`
	Kind EventKind `json:"kind"`
	// Name is the identifier of the version, failure domain, endpoint or VM.
	Name string `json:"name"`
	// Generation is the one accepted with the event, if any.
	Generation fescuelatch.Generation `json:"generation,omitempty"`
}

// Sample is the generation in force at the daemon of a VM.
type Sample struct {
	At         time.Time
	VM         fescuelatch.VMID
	Generation fescuelatch.Generation
}

// Stop is a planned stop of the daemon of a VM, from the signal to its end.
type Stop struct {
	VM     fescuelatch.VMID
	Caller string // caller address
	From   time.Time
	To     time.Time
	// Clean reports that the daemon ended by itself with exit status 0.
	Clean bool
}

// span is a time in which something was out.
type span struct {
	from, to time.Time
}

func (s span) holds(t time.Time) bool { return t.After(s.from) && t.Before(s.to) }

// spans returns the times in which each name was out, from the grace after
// an event of kind out to the next one of kind in, or the end of the run.
func (e *Evidence) spans(out, in EventKind) map[string][]span {
	m := make(map[string][]span)
	for n, v := range e.Events {
		if v.Kind != out {
			continue
		}
		s := span{v.At.Add(e.Grace), e.Ended.Add(e.Grace)}
		for _, w := range e.Events[n+1:] {
			if w.Kind == in && w.Name == v.Name {
				s.to = w.At
				break
			}
		}
		m[v.Name] = append(m[v.Name], s)
	}
	return m
}

func within(ss []span, t time.Time) bool {
	for _, s := range ss {
		if s.holds(t) {
			return true
		}
	}
	return false
}
