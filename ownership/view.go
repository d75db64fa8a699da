package ownership

import (
	"time"

	"fescuelatch"
)

// This file defines the outputs of a Table.

// Owned returns the endpoints that this daemon claims at now, ordered by
// endpoint.
func (t *Table) Owned(now time.Time) []fescuelatch.OwnedEndpoint {
	t.advance(now)
	os := make([]fescuelatch.OwnedEndpoint, 0, len(t.claims))
	for _, c := range t.claims {
		if c.held {
			os = append(os, c.owned)
		}
	}
	return os
}

// OwnerOf returns the daemon that receives work for endpoint e in this
// daemon's view. It reports false when e is unknown or has no owner now.
func (t *Table) OwnerOf(now time.Time, e fescuelatch.EndpointID) (fescuelatch.VMID, bool) {
	t.advance(now)
	c := t.byID[e]
	if c == nil || c.owner == nil {
		return "", false
	}
	return c.owner.vm, true
}

// Members returns the other members, ordered by VM.
func (t *Table) Members(now time.Time) []Member {
	t.advance(now)
	ms := make([]Member, len(t.others))
	for i, m := range t.others {
		ms[i] = Member{
			VM:          m.vm,
			Incarnation: m.incarnation,
			State:       m.state,
			Since:       m.since,
			Heard:       m.heard,
			Joined:      m.joined,
			Lease:       m.lease,
		}
	}
	return ms
}

// Joined reports whether this daemon may use cold slots.
func (t *Table) Joined(now time.Time) bool {
	t.advance(now)
	return t.joined
}

// Next returns the earliest time after now at which Owned may change without
// further input. The caller passes Owned to its gate again before any decision
// at or after that time.
func (t *Table) Next(now time.Time) time.Time {
	t.advance(now)
	return t.validUntil
}

func (t *Table) nextChange(now time.Time) time.Time {
	next := now.Add(t.settings.TakeoverTimeout)
	consider := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	consider(t.readyAt)
	consider(t.replacedAt.Add(t.settings.TakeoverTimeout))
	consider(t.joinStarted.Add(t.settings.TakeoverTimeout))
	for _, m := range t.others {
		consider(m.lease)
		consider(m.unresponsiveAt(t.settings))
	}
	for _, c := range t.claims {
		if c.held && c.targetShare > c.owned.Share {
			consider(c.raiseAt)
		}
	}
	return next
}
