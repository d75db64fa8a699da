package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how the client sends a change and settles what became of
// it when an answer is lost.

// Propose sends change and returns once its outcome is certain or ctx ends.
//
// A daemon that certainly did nothing is followed by the next address. Once
// an answer has been lost, the change may have taken effect; from then on
// only the change at its generation decides: it is looked up in the history,
// and the very same change is sent again, which a daemon answers with the
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
			if p.try(ctx, a); p.settled {
				return p.result, p.err()
			}
		}
		if !backOff(ctx, n) {
			return ProposeResult{}, p.unsettled(op)
		}
	}
}

// proposal is the state of one Propose.
type proposal struct {
	client *Client
	change *fescuelatch.Change
	body   []byte
	// lost reports that an attempt may have taken effect.
	lost    bool
	settled bool
	result  ProposeResult
	failure *Error
}

// err returns the failure as an error that is nil when there is none.
func (p *proposal) err() error {
	if p.failure == nil {
		return nil
	}
	return p.failure
}

func (p *proposal) unsettled(op string) error {
	kind := KindUnavailable
	if p.lost {
		kind = KindUnknown
	}
	var cause error
	if p.failure != nil {
		cause = p.failure.Err
	}
	return &Error{Op: op, Kind: kind, Err: cause}
}

// try makes one attempt at one daemon.
func (p *proposal) try(ctx context.Context, a netip.AddrPort) {
	if p.lost && p.lookUp(ctx, a) {
		return
	}
	l := call{op: "propose change", method: http.MethodPost, address: a, path: "/v1/changes", body: p.body}
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
		p.conflict(ctx, a, e)
	case KindUnavailable:
		// The next address may be able to.
	case KindFaults, KindInvalid, KindUnauthorized:
		// After a lost answer this says nothing of the attempt before.
		p.settled = !p.lost
	default:
		p.lost = true
	}
}

func (p *proposal) accept(r ProposeResult) {
	p.settled, p.result, p.failure = true, r, nil
}

// conflict settles an answer 409. The winner that it names may be a later
// change than the one that has the generation of p.change.
func (p *proposal) conflict(ctx context.Context, a netip.AddrPort, e *Error) {
	if e.Winner != nil && p.decide(e.Winner) {
		return
	}
	if p.lookUp(ctx, a) {
		return
	}
	p.settled = !p.lost
}

// lookUp asks a daemon for the change at the generation and reports whether
// that settled the outcome. A daemon that does not have it yet may lag.
func (p *proposal) lookUp(ctx context.Context, a netip.AddrPort) bool {
	var body historyBody
	l := call{op: "list changes", method: http.MethodGet, address: a, path: "/v1/changes?limit=100"}
	if e := p.client.call(ctx, l, &body); e != nil {
		return false
	}
	for n := range body.Changes {
		if p.decide(&body.Changes[n]) {
			return true
		}
	}
	return false
}

// decide settles the outcome when c has the generation of the change.
func (p *proposal) decide(c *fescuelatch.Change) bool {
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
