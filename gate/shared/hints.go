package shared

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file defines the hints that endpoints send with their answers: that they are
// leaving, want no work for a while, accept a limited rate of requests, or must not be
// filled beyond their slots. Unlike ejections, hints are not inferred, and are always
// followed.

const (
	// maxPause bounds the pause that an endpoint may ask for. A longer one is
	// taken for a mistake.
	maxPause = time.Minute
	// maxHints bounds the processes whose hints are kept.
	maxHints = 4096
)

func processOf(o fescuelatch.OwnedEndpoint) fescuelatch.EndpointProcess {
	return fescuelatch.EndpointProcess{Endpoint: o.Endpoint.ID, Started: o.Process, Address: o.Endpoint.Address}
}

// hint is what an endpoint process has asked for.
type hint struct {
	leaving bool
	// paused is until when the process wants no work.
	paused time.Time
	// brittle reports that the process must not be filled beyond its slots, of which
	// slots are those of this daemon; slots is nil if it never was.
	brittle bool
	slots   *permit.SlotHolder
	// permits are for the requests to a process that limits their rate; nil if it
	// never did.
	permits *permit.Holder
}

// hintCache keeps the hints of processes, also while they are not registered: a
// registration may lapse and return.
type hintCache struct {
	byProcess *simplelru.LRU[fescuelatch.EndpointProcess, hint]
}

func newHintCache() hintCache {
	// The size is a positive constant, which is all that is checked.
	byProcess, _ := simplelru.NewLRU[fescuelatch.EndpointProcess, hint](maxHints, nil)
	return hintCache{byProcess}
}

func (c hintCache) of(o fescuelatch.OwnedEndpoint) hint {
	a, _ := c.byProcess.Get(processOf(o))
	return a
}

func (c hintCache) leave(e *endpointLoad) {
	e.hint.leaving = true
	c.byProcess.Add(processOf(e.owned), e.hint)
}

// pause records that the process at e wants no work for a time. A pause is never
// shortened, since a later answer may belong to an earlier request.
func (c hintCache) pause(now time.Time, e *endpointLoad, d time.Duration) {
	if until := now.Add(min(d, maxPause)); until.After(e.hint.paused) {
		e.hint.paused = until
		c.byProcess.Add(processOf(e.owned), e.hint)
	}
}

// out reports whether the endpoint permanently gets no new work.
func (e *endpointLoad) out() bool { return e.owned.Out || e.hint.leaving }

// paused reports whether the endpoint currently wants no work.
func (e *endpointLoad) paused(now time.Time) bool { return now.Before(e.hint.paused) }
