package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how the daemons of a failure domain relay transactions to
// one of them, so that only one daemon per domain makes a call in each
// interval.

// SubmitReply is the serializable outcome of a transaction.
type SubmitReply struct {
	Result fescuelatch.KVTxnResult `json:"result"`
	// Kind is empty if the transaction was executed.
	Kind       ErrorKind     `json:"kind,omitempty"`
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	Message    string        `json:"message,omitempty"`
}

// NewSubmitReply returns the reply for the results of Submit.
func NewSubmitReply(res fescuelatch.KVTxnResult, err error) SubmitReply {
	if err == nil {
		return SubmitReply{Result: res}
	}
	return SubmitReply{Kind: KindOf(err), RetryAfter: RetryAfter(err), Message: err.Error()}
}

// Unpack returns the results of Submit.
func (r SubmitReply) Unpack() (fescuelatch.KVTxnResult, error) {
	switch r.Kind {
	case "":
		return r.Result, nil
	case KindUnavailable, KindInvalid, KindRateLimited:
		return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: r.Kind, RetryAfter: r.RetryAfter, Err: errors.New(r.Message)}
	default:
		return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New(r.Message)}
	}
}

// Remote sends a transaction to the daemon that makes the calls. It returns an
// error if there is no reply. Unless that error is of KindUnknown, the
// transaction was not sent.
type Remote func(ctx context.Context, t fescuelatch.KVTxn) (SubmitReply, error)

var _ Submitter = (*Relay)(nil)

// Relay is a Submitter that forwards transactions to another daemon. They
// contain their own comparisons, so their outcome does not depend on which
// daemon makes the call, or whether several do.
type Relay struct {
	// Local submits transactions from this daemon.
	Local Submitter
	// Remote returns the function that sends to the daemon that makes the
	// calls, or nil if it is this one.
	Remote func() Remote
}

// Submit implements Submitter. If the transaction was not sent to the other
// daemon, it is submitted locally.
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
