package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how the client proposes a change and determines its outcome
// when an answer is lost.

// Propose sends change and returns once its outcome is certain or ctx is done.
//
// After a daemon that certainly did nothing, the next address is tried. After a
// lost answer the change may have taken effect; from then on the outcome is
// decided only by the change stored at its generation: Propose looks it up in
// the history and resends the identical change, for which a daemon returns the
// first result. The error has KindConflict, KindFaults, KindInvalid,
// KindUnauthorized or KindUnavailable when the change has no effect, and
// KindUnknown when it may have.
func (c *Client) Propose(ctx context.Context, change *fescuelatch.Change) (ProposeResult, error) {
	const op = "propose change"
	body, err := json.Marshal(change)
	if err != nil {
		return ProposeResult{}, &Error{Op: op, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	if len(c.Addresses) == 0 {
		return ProposeResult{}, &Error{Op: op, Kind: KindInvalid, Err: errors.New("no operator address given")}
	}
	p := proposal{client: c, change: change, body: body}
	for n := 0; ; n++ {
		for _, a := range c.Addresses {
			if p.attempt(ctx, a); p.settled {
				return p.result, p.err()
			}
		}
		if !backOff(ctx, n) {
			return ProposeResult{}, p.unsettledError(op)
		}
	}
}

// proposal is the state of one Propose call.
type proposal struct {
	client *Client
	change *fescuelatch.Change
	body   []byte
	// maybeApplied is set once an attempt may have taken effect.
	maybeApplied bool
	settled      bool
	result       ProposeResult
	failure      *Error
}

// err returns the failure, or a nil error if there is none.
func (p *proposal) err() error {
	if p.failure == nil {
		return nil
	}
	return p.failure
}

func (p *proposal) unsettledError(op string) error {
	kind := KindUnavailable
	if p.maybeApplied {
		kind = KindUnknown
	}
	var cause error
	if p.failure != nil {
		cause = p.failure.Err
	}
	return &Error{Op: op, Kind: kind, Err: cause}
}

// attempt proposes the change to one daemon.
func (p *proposal) attempt(ctx context.Context, a netip.AddrPort) {
	if p.maybeApplied && p.lookUp(ctx, a) {
		return
	}
	l := apiRequest{op: "propose change", method: http.MethodPost, address: a, path: "/v1/changes", body: p.body}
	var r ProposeResult
	e := p.client.call(ctx, l, &r)
	if e == nil && r.Accepted && r.Change == p.change.ID {
		p.accept(r)
		return
	}
	if e == nil {
		e = &Error{Op: l.op, Kind: KindUnknown, Err: errors.Errorf("%s answered for change %q", a, r.Change)}
	}
	p.failure = e
	switch e.Kind {
	case KindConflict:
		p.handleConflict(ctx, a, e)
	case KindUnavailable:
		// The next address may accept the change.
	case KindFaults, KindInvalid, KindUnauthorized:
		// This answer does not settle the outcome of an earlier lost attempt.
		p.settled = !p.maybeApplied
	default:
		p.maybeApplied = true
	}
}

func (p *proposal) accept(r ProposeResult) {
	p.settled, p.result, p.failure = true, r, nil
}

// handleConflict handles a 409 answer. Its winner may be a later change than
// the one that has the generation of p.change.
func (p *proposal) handleConflict(ctx context.Context, a netip.AddrPort, e *Error) {
	if e.Winner != nil && p.settleBy(e.Winner) {
		return
	}
	if p.lookUp(ctx, a) {
		return
	}
	p.settled = !p.maybeApplied
}

// lookUp searches a daemon's history for the change at the generation and
// reports whether this settled the outcome. A daemon without it may lag.
func (p *proposal) lookUp(ctx context.Context, a netip.AddrPort) bool {
	var body historyBody
	l := apiRequest{op: "list changes", method: http.MethodGet, address: a, path: "/v1/changes?limit=100"}
	if e := p.client.call(ctx, l, &body); e != nil {
		return false
	}
	for n := range body.Changes {
		if p.settleBy(&body.Changes[n]) {
			return true
		}
	}
	return false
}

// settleBy settles the outcome if c has the generation of the proposed change,
// and reports whether it did.
func (p *proposal) settleBy(c *fescuelatch.Change) bool {
	switch {
	case c.ID == p.change.ID:
		p.accept(ProposeResult{Generation: c.Generation(), Change: c.ID, Accepted: true})
	case c.Base == p.change.Base:
		p.settled = true
		p.failure = &Error{Op: "propose change", Kind: KindConflict, Winner: c}
	default:
		return false
	}
	return true
}
