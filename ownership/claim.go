package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuelatch"
)

// This file decides which endpoints a daemon claims and which share of the
// cold slots it may use.

// claim is the state of one endpoint at one daemon.
type claim struct {
	owned fescuelatch.OwnedEndpoint
	// ranking orders all members, including this daemon.
	ranking []*member
	// owner is the member that receives work, or nil.
	owner *member
	held  bool
	// targetShare, if above owned.Share, takes effect at raiseAt.
	targetShare float64
	raiseAt     time.Time
}

// setEndpoints replaces the endpoints and keeps the claims to retained ones.
func (t *Table) setEndpoints(es []fescuelatch.OwnedEndpoint) {
	all := append(slices.Clone(t.others), t.selfMember)
	byID := make(map[fescuelatch.EndpointID]*claim, len(es))
	t.claims = t.claims[:0]
	for _, e := range es {
		c := t.byID[e.Endpoint.ID]
		if c == nil {
			c = new(claim)
		}
		c.owned.Endpoint, c.owned.Pool, c.owned.Out = e.Endpoint, e.Pool, e.Out
		c.ranking = rank(e.Endpoint.ID, all)
		byID[e.Endpoint.ID] = c
		t.claims = append(t.claims, c)
	}
	slices.SortFunc(t.claims, func(a, b *claim) int {
		return cmp.Compare(a.owned.Endpoint.ID, b.owned.Endpoint.ID)
	})
	t.byID = byID
}

// recompute updates states and claims after an input.
func (t *Table) recompute(now time.Time) {
	t.changed = true
	t.advance(now)
}

// advance updates states and claims to now. Each input first does so with
// the previous state, so that a lease that expired during a pause is noticed.
func (t *Table) advance(now time.Time) {
	if !t.changed && now.Before(t.validUntil) {
		return
	}
	for _, m := range t.others {
		m.updateState(now, t.settings)
	}
	t.renewIncarnation(now)
	t.updateJoined(now)
	leased := t.leasesValid(now)
	ready, joined := t.ready(now), t.joined || t.anyJoined()
	for _, c := range t.claims {
		c.owner = t.electOwner(c, ready, joined)
		if c.owner == t.selfMember {
			c.hold(now, t.shareOf(c, leased), t.settings)
		} else {
			c.held = false
		}
	}
	t.changed, t.validUntil = false, t.nextChange(now)
}

// updateJoined updates joined: every member that may claim has acknowledged
// this daemon.
func (t *Table) updateJoined(now time.Time) {
	if t.joined || t.ineligible() {
		t.joined = t.joined && !t.ineligible()
		return
	}
	for _, m := range t.others {
		if m.mayClaim() && !m.acked {
			return
		}
	}
	t.joined = true
	t.readyAt = now.Add(t.settings.TakeoverTimeout)
}

// leasesValid reports whether this daemon holds an unexpired lease from every
// member that may claim.
func (t *Table) leasesValid(now time.Time) bool {
	for _, m := range t.others {
		if m.mayClaim() && !now.Before(m.lease) {
			return false
		}
	}
	return true
}

// ready reports whether this daemon may claim. A daemon that has just joined
// waits for leases from all members that are alive, which shows that they have
// stopped claiming. A daemon that cannot join waits for TakeoverTimeout, as for
// an unresponsive member, and then claims without a share of cold endpoints.
func (t *Table) ready(now time.Time) bool {
	switch {
	case t.ineligible():
		return false
	case !t.joined:
		return !now.Before(t.joinStarted.Add(t.settings.TakeoverTimeout)) && !t.anyJoined()
	case !now.Before(t.readyAt):
		return true
	}
	for _, m := range t.others {
		if m.state == StateAlive && !now.Before(m.lease) {
			return false
		}
	}
	return true
}

// anyJoined reports whether another member is alive and has joined.
func (t *Table) anyJoined() bool {
	for _, m := range t.others {
		if m.state == StateAlive && m.joined {
			return true
		}
	}
	return false
}

// electOwner returns the highest ranked member for c that is alive and has
// joined, or is alive if none has joined. It returns nil when there is none.
func (t *Table) electOwner(c *claim, ready, joined bool) *member {
	for _, m := range c.ranking {
		switch {
		case m == t.selfMember && ready:
			return m
		case m != t.selfMember && m.state == StateAlive && (m.joined || !joined):
			return m
		}
	}
	return nil
}

// shareOf returns the share of c's cold slots that this daemon may use while
// it claims c. Shares by rank sum to less than one whoever else claims; a
// share of one is safe while no member that may claim ranks before this daemon
// and all others have promised not to claim.
func (t *Table) shareOf(c *claim, leased bool) float64 {
	if !t.joined {
		return 0
	}
	r := 0
	for _, m := range c.ranking {
		if m == t.selfMember {
			break
		}
		if m.mayClaim() {
			r++
		}
	}
	if r == 0 && leased {
		return 1
	}
	return math.Ldexp(1, -(r + 1))
}

// hold claims c with at most share. Work that another daemon has sent must
// appear in load reports before a new claim is used or a share grows.
func (c *claim) hold(now time.Time, share float64, s Settings) {
	visible := now.Add(s.ReportLag)
	switch {
	case !c.held:
		c.held = true
		c.owned.After = visible
		c.owned.Share, c.targetShare = share, share
	case share <= c.owned.Share:
		c.owned.Share, c.targetShare = share, share
	case share > c.targetShare:
		c.targetShare, c.raiseAt = share, visible
	case !now.Before(c.raiseAt):
		c.owned.Share, c.targetShare = share, share
	default:
		c.targetShare = share
	}
}
