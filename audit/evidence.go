// Package audit checks a run against the promises of the router, from the
// records of callers, endpoints and the platform. It asks no daemon how a
// request went and does no I/O.
package audit

import (
	"time"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

// This file defines evidence, the input of an audit.

// Evidence holds the records of a run.
type Evidence struct {
	// Configuration is the initial configuration of the run.
	Configuration *fescuelatch.Configuration
	Records       []load.Record
	Endpoints     []fleet.EndpointLog
	Bills         []fescuelatch.Bill
	Events        []Event
	Samples       []Sample
	Stops         []Stop
	// Grace is the time that a change may take to become active.
	Grace time.Duration
	// Ended is a time after the end of the last call.
	Ended time.Time
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. Withdrawn, out and leaving have a kind for the reverse.
const (
	EventVersionWithdrawn EventKind = "version-withdrawn"
	EventVersionRestored  EventKind = "version-restored"
	EventDomainOut        EventKind = "failure-domain-out"
	EventDomainIn         EventKind = "failure-domain-in"
	EventEndpointLeaving  EventKind = "endpoint-leaving"
	EventEndpointReturned EventKind = "endpoint-back"
	EventEndpointCold     EventKind = "endpoint-cold"
	EventDaemonKilled     EventKind = "daemon-killed"
	EventDaemonStarted    EventKind = "daemon-started"
)

// Event is an intervention in the fleet.
type Event struct {
	At   time.Time `json:"at"`
	Kind EventKind `json:"kind"`
	// Name is the identifier of the version, failure domain, endpoint or VM.
	Name string `json:"name"`
	// Generation was accepted with the event, if any.
	Generation fescuelatch.Generation `json:"generation,omitempty"`
}

// Sample is the active generation at the daemon of a VM.
type Sample struct {
	At         time.Time
	VM         fescuelatch.VMID
	Generation fescuelatch.Generation
}

// Stop is a planned stop of the daemon of a VM, from the signal to the exit.
type Stop struct {
	VM     fescuelatch.VMID
	Caller string // caller address
	From   time.Time
	To     time.Time
	// Clean reports that the daemon exited by itself with status 0.
	Clean bool
}

// span is a period in which a version, failure domain or endpoint was out.
type span struct {
	from, to time.Time
}

func (s span) contains(t time.Time) bool { return t.After(s.from) && t.Before(s.to) }

// spans returns the periods in which each name was out: from Grace after an
// event of kind out until the next event of kind in, or Grace after the run.
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

func anyContains(ss []span, t time.Time) bool {
	for _, s := range ss {
		if s.contains(t) {
			return true
		}
	}
	return false
}
