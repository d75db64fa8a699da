package permit

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages by which daemons share the slots of an endpoint that must
// not be filled beyond them.

const (
	// SlotLifetime is how long granted slots may be filled after they were requested.
	SlotLifetime = time.Second
	// maxSlots bounds the slots of one message.
	maxSlots = 100_000
)

// SlotRequest asks an allocator for slots of one endpoint.
type SlotRequest struct {
	From    fescuelatch.VMID
	Process fescuelatch.EndpointProcess
	// Domain is the failure domain of the endpoint.
	Domain fescuelatch.DomainID
	// Slots is the number of slots that the endpoint has.
	Slots int
	// Held is the number of slots of this daemon that hold a request, or may be
	// filled, and Want the number that it could fill.
	Held, Want int
	// Queued and Rejected report that requests have waited at the endpoint, or were
	// turned away, since the last request for slots.
	Queued, Rejected bool
}

// SlotReply answers a SlotRequest.
type SlotReply struct {
	// Granted is the number of slots that may hold a request of the daemon, including
	// those that do, within SlotLifetime of the request.
	Granted int
	// Contended reports that other daemons want slots and have none.
	Contended bool
	// RetryAfter is the time until the next request for this endpoint.
	RetryAfter time.Duration
}

// Check reports whether the values of a request are within their ranges.
func (q *SlotRequest) Check() error {
	const op = "check slot request"
	switch {
	case q.From == "" || q.Process.Endpoint == "":
		return &Error{op, KindInvalid, errors.New("the daemon or the endpoint is missing")}
	case min(q.Slots, q.Held, q.Want) < 0 || max(q.Slots, q.Held, q.Want) > maxSlots:
		return &Error{op, KindInvalid, errors.Errorf("%d slots, %d held, %d wanted are out of range", q.Slots, q.Held, q.Want)}
	}
	return nil
}

// Check reports whether the values of a reply are within their ranges.
func (r *SlotReply) Check() error {
	if r.Granted < 0 || r.Granted > maxSlots || r.RetryAfter < 0 || r.RetryAfter > maxAge {
		return &Error{"check slot reply", KindInvalid, errors.Errorf("%d slots, or %s until the next request, are out of range", r.Granted, r.RetryAfter)}
	}
	return nil
}
