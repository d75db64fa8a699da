package shared

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines what endpoints ask for in their answers: no more work,
// because they are leaving, or none for a while. Unlike an ejection this is no
// judgement, and nothing overrides it.

const (
	// maxPause bounds the time for which an endpoint may ask for no work. A
	// longer one is taken for a mistake.
	maxPause = time.Minute
	// maxAdvised bounds the processes whose advice is remembered.
	maxAdvised = 4096
)

// process is one process of an endpoint at an address.
type process struct {
	endpoint fescuelatch.EndpointID
	born     int64
	address  netip.AddrPort
}

func processOf(o fescuelatch.OwnedEndpoint) process {
	return process{o.Endpoint.ID, o.Process, o.Endpoint.Address}
}

// advice is what a process has asked for.
type advice struct {
	leaving bool
	// paused is until when it wants no work.
	paused time.Time
}

// advices remembers the advice of processes, also while they are not
// registered: a registration may lapse and return.
type advices struct {
	known *simplelru.LRU[process, advice]
}

func newAdvices() advices {
	// The size is a positive constant, which is all that is checked.
	known, _ := simplelru.NewLRU[process, advice](maxAdvised, nil)
	return advices{known}
}

func (as advices) of(o fescuelatch.OwnedEndpoint) advice {
	a, _ := as.known.Get(processOf(o))
	return a
}

// leave notes that the process at p has said that it is leaving.
func (as advices) leave(p *place) {
	p.advice.leaving = true
	as.known.Add(processOf(p.owned), p.advice)
}

// pause notes that the process at p wants no work for a time. A later answer
// may come from an earlier request, so that a pause is never shortened.
func (as advices) pause(now time.Time, p *place, d time.Duration) {
	if until := now.Add(min(d, maxPause)); until.After(p.advice.paused) {
		p.advice.paused = until
		as.known.Add(processOf(p.owned), p.advice)
	}
}

// out reports whether the endpoint gets no new work for good.
func (p *place) out() bool { return p.owned.Out || p.advice.leaving }

// paused reports whether the endpoint wants no work at present.
func (p *place) paused(now time.Time) bool { return now.Before(p.advice.paused) }
