package decision

import (
	"time"

	"fescuelatch"
)

// This file defines the events that the core takes.

// Event is something that happened. Events are values and are not changed
// after they have been handed over.
type Event interface{ event() }

// Configured says that a configuration has come into force. Generations
// never decrease.
type Configured struct{ View *fescuelatch.View }

// Owned says which endpoints this daemon owns from now on.
type Owned struct {
	Endpoints []fescuelatch.OwnedEndpoint
}

// Arrived says that a request has arrived. Share is the account's weight.
// Claimed reports that a claim of the request is already held, so that it
// may start at once.
type Arrived struct {
	Request *fescuelatch.Request
	Share   float64
	// Attempt is the forwarding daemon's attempt when the request is
	// forwarded, and empty otherwise.
	Attempt fescuelatch.AttemptID
	// PlatformAway reports that the request needs a claim and that the
	// platform is away, so that it cannot start at an endpoint of this
	// daemon. RetryAfter is then the time to come back.
	PlatformAway bool
	RetryAfter   time.Duration
}

// FirstToken says that an attempt has delivered its first token. A streamed
// request cannot be tried elsewhere afterwards.
type FirstToken struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
}

// Opened says that an endpoint has begun its answer to an opaque request.
// Rated reports that it told its own confidence in the answer, from 0 to 1.
// The core says whether the answer is relayed.
type Opened struct {
	Request    fescuelatch.RequestID
	Attempt    fescuelatch.AttemptID
	Confidence float64
	Rated      bool
}

// Ended says that an attempt has ended.
type Ended struct {
	Request fescuelatch.RequestID
	Result  fescuelatch.AttemptResult
}

// Rated says how the answer of an attempt was rated. Rated is false when no
// rating could be had in time.
type Rated struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
	Version fescuelatch.VersionID
	Score   float64
	Rated   bool
}

// Cancelled says that the caller has left, or, with Expired, that the deadline
// has passed while nothing was under way.
type Cancelled struct {
	Request fescuelatch.RequestID
	Expired bool
}

// Reported carries a load report of an owned endpoint.
type Reported struct{ Report fescuelatch.LoadReport }

// Summarised carries what a daemon says of the endpoints that it owns.
type Summarised struct {
	VM       fescuelatch.VMID
	Domain   fescuelatch.DomainID
	Spares   []fescuelatch.Spare
	Evidence []fescuelatch.Evidence
	At       time.Time
}

// Lost says that a daemon has not been heard of for so long that nothing
// should be forwarded to it.
type Lost struct{ VM fescuelatch.VMID }

// Stopping says that this daemon accepts no further requests.
type Stopping struct{}

// Tick lets time pass.
type Tick struct{}

func (Configured) event() {}
func (Owned) event()      {}
func (Arrived) event()    {}
func (FirstToken) event() {}
func (Opened) event()     {}
func (Ended) event()      {}
func (Rated) event()      {}
func (Cancelled) event()  {}
func (Reported) event()   {}
func (Summarised) event() {}
func (Lost) event()       {}
func (Stopping) event()   {}
func (Tick) event()       {}
