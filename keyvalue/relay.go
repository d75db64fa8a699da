package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how the daemons of a failure domain hand their
// transactions to one of them, so that the domain makes one call in each
// interval rather than every daemon.

// SubmitReply is the outcome of a transaction in a form that can be sent.
type SubmitReply struct {
	Result fescuelatch.KVTxnResult `json:"result"`
	// Kind is empty when the transaction was run.
	Kind       ErrorKind     `json:"kind,omitempty"`
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	Message    string        `json:"message,omitempty"`
}

// NewSubmitReply returns the reply that carries the result of Submit.
func NewSubmitReply(res fescuelatch.KVTxnResult, err error) SubmitReply {
	if err == nil {
		return SubmitReply{Result: res}
	}
	return SubmitReply{Kind: KindOf(err), RetryAfter: RetryAfter(err), Message: err.Error()}
}

// Unpack returns what Submit returned.
func (r SubmitReply) Unpack() (fescuelatch.KVTxnResult, error) {
	switch r.Kind {
	case "":
		return r.Result, nil
	case KindUnavailable, KindInvalid, KindLimited:
		return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: r.Kind, RetryAfter: r.RetryAfter, Err: errors.New(r.Message)}
	default:
		return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New(r.Message)}
	}
}

// Remote sends a transaction to the daemon that makes the calls. Its error
// says that there is no reply; it is of another kind than KindUnknown only
// when the transaction was certainly not sent.
type Remote func(ctx context.Context, t fescuelatch.KVTxn) (SubmitReply, error)

var _ Submitter = (*Relay)(nil)

// Relay is a Submitter that hands transactions to another daemon. Transactions
// carry their own comparisons, so it does not matter for their outcome which
// daemon makes the call, or whether several take themselves for the one.
type Relay struct {
	// Local makes calls itself.
	Local Submitter
	// Remote returns how to reach the daemon that makes the calls, or nil
	// when it is this one.
	Remote func() Remote
}

// Submit implements Submitter. A transaction that certainly did not reach the
// other daemon is submitted locally.
func (r *Relay) Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	send := r.Remote()
	if send == nil {
		return r.Local.Submit(ctx, t)
	}
	reply, err := send(ctx, t)
	switch {
	case err == nil:
		return reply.Unpack()
	case NoEffect(err):
		return r.Local.Submit(ctx, t)
	}
	return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: KindUnknown, Err: err}
}
