package permit

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages between daemons.

// Request asks an allocator for the permits of one endpoint and passes on what the
// endpoint has stated.
type Request struct {
	From    fescuelatch.VMID
	Process fescuelatch.EndpointProcess
	// Domain is the failure domain of the endpoint.
	Domain fescuelatch.DomainID
	// Want is the number of permits wanted.
	Want int
	// Limit is the latest known statement of the endpoint, and Age the time since
	// it held.
	Limit fescuelatch.RateLimit
	Age   time.Duration
}

// Reply answers a Request.
type Reply struct {
	// Permits may be used within Lifetime of the request.
	Permits int
	// RetryAfter is the time until the next request for this endpoint.
	RetryAfter time.Duration
	// Limit is the latest statement known to the allocator, and Age the time since
	// it held.
	Limit fescuelatch.RateLimit
	Age   time.Duration
}

const (
	// maxPermits bounds the permits of one message.
	maxPermits = 10_000
	// maxAge bounds the age of a statement and the time until the next request.
	maxAge = 24 * time.Hour
	// maxRate bounds limits, in requests per second.
	maxRate = 1e9
)

// Check reports whether the values of a request are within their ranges.
func (q *Request) Check() error {
	const op = "check permit request"
	switch {
	case q.From == "" || q.Process.Endpoint == "":
		return &Error{op, KindInvalid, errors.New("the daemon or the endpoint is missing")}
	case q.Want < 0 || q.Want > maxPermits:
		return &Error{op, KindInvalid, errors.Errorf("%d permits are out of range", q.Want)}
	}
	return checkStatement(op, q.Limit, q.Age)
}

// Check reports whether the values of a reply are within their ranges.
func (r *Reply) Check() error {
	const op = "check permit reply"
	switch {
	case r.Permits < 0 || r.Permits > maxPermits:
		return &Error{op, KindInvalid, errors.Errorf("%d permits are out of range", r.Permits)}
	case r.RetryAfter < 0 || r.RetryAfter > maxAge:
		return &Error{op, KindInvalid, errors.Errorf("the delay %s is out of range", r.RetryAfter)}
	}
	return checkStatement(op, r.Limit, r.Age)
}

func checkStatement(op string, l fescuelatch.RateLimit, age time.Duration) error {
	if !(l.PerSecond >= 0 && l.PerSecond <= maxRate) {
		return &Error{op, KindInvalid, errors.Errorf("the limit %v is out of range", l.PerSecond)}
	}
	if age < 0 || age > maxAge {
		return &Error{op, KindInvalid, errors.Errorf("the age %s is out of range", age)}
	}
	return nil
}

func (q *Request) statement(now time.Time) fescuelatch.LimitStatement {
	return fescuelatch.LimitStatement{Limit: q.Limit, At: now.Add(-q.Age)}
}

func newReply(now time.Time, s fescuelatch.LimitStatement) Reply {
	return Reply{Limit: s.Limit, Age: age(now, s)}
}

// age returns the age of a statement within the range of a message.
func age(now time.Time, s fescuelatch.LimitStatement) time.Duration {
	return min(max(now.Sub(s.At), 0), maxAge)
}
