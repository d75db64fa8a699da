package decision

import (
	"time"

	"fescuelatch"
)

// This file defines the events that the core processes.

// Event is an input of the core. An event must not be modified after it is
// passed to the core.
type Event interface{ event() }

// Configured reports that a configuration has become active. Generations
// never decrease.
type Configured struct{ View *fescuelatch.View }

// Owned replaces the list of endpoints that this daemon owns.
type Owned struct {
	Endpoints []fescuelatch.OwnedEndpoint
}

// Arrived reports a new request. Share is the account's weight.
type Arrived struct {
	Request *fescuelatch.Request
	Share   float64
	// Attempt is the forwarding daemon's attempt, or empty if the request is
	// not forwarded.
	Attempt fescuelatch.AttemptID
	// PlatformUnavailable reports that the request needs a claim and that the
	// platform is unavailable, so that it cannot start at an endpoint of this
	// daemon. RetryAfter is then the delay before a retry.
	PlatformUnavailable bool
	RetryAfter          time.Duration
}

// BlocksChanged reports that other requests may reach endpoints than before.
type BlocksChanged struct{}

// FirstToken reports that an attempt has delivered its first token. A streamed
// request cannot be retried afterwards unless it is resumable.
type FirstToken struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
}

// Opened reports that an endpoint has begun its answer to an opaque request.
// HasConfidence is set if it stated its confidence in the answer, from 0 to 1. The
// core decides whether the answer is relayed.
type Opened struct {
	Request       fescuelatch.RequestID
	Attempt       fescuelatch.AttemptID
	Confidence    float64
	HasConfidence bool
}

// Unresponsive reports that the inactivity timeout of an attempt has passed. The attempt
// goes on. Result has what is known of its endpoint so far.
type Unresponsive struct {
	Request fescuelatch.RequestID
	Result  fescuelatch.AttemptResult
}

// Resumed reports that an attempt that was unresponsive receives its answer after all.
type Resumed struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
}

// Ended reports the end of an attempt.
type Ended struct {
	Request fescuelatch.RequestID
	Result  fescuelatch.AttemptResult
}

// Rated reports the rating of an attempt's answer. Rated is false if there
// was no rating in time.
type Rated struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
	Version fescuelatch.VersionID
	Score   float64
	Rated   bool
}

// Cancelled reports that the caller has left or, with Expired, that the
// deadline has passed while no attempt was running.
type Cancelled struct {
	Request fescuelatch.RequestID
	Expired bool
}

// Reported carries a load report of an owned endpoint.
type Reported struct{ Report fescuelatch.LoadReport }

// PeerSummarised carries another daemon's free capacity and quality evidence.
type PeerSummarised struct {
	VM       fescuelatch.VMID
	Domain   fescuelatch.DomainID
	Spares   []fescuelatch.Spare
	Evidence []fescuelatch.Evidence
	At       time.Time
}

// PeerLost reports that a daemon has been unresponsive for so long that no request
// should be forwarded to it.
type PeerLost struct{ VM fescuelatch.VMID }

// Stopping reports that this daemon accepts no further requests.
type Stopping struct{}

// Tick advances the time.
type Tick struct{}

func (Configured) event()     {}
func (Owned) event()          {}
func (Arrived) event()        {}
func (FirstToken) event()     {}
func (Opened) event()         {}
func (Unresponsive) event()   {}
func (Resumed) event()        {}
func (Ended) event()          {}
func (BlocksChanged) event()  {}
func (Rated) event()          {}
func (Cancelled) event()      {}
func (Reported) event()       {}
func (PeerSummarised) event() {}
func (PeerLost) event()       {}
func (Stopping) event()       {}
func (Tick) event()           {}
