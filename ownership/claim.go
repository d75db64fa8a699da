package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the decision which endpoints a daemon claims, and the
// part of a cold endpoint that it may use.

// claim is the state of one endpoint at one daemon.
type claim struct {
	owned fescuelatch.OwnedEndpoint
	// order ranks all members, this daemon among them.
	order []*member
	// owner is the member that work goes to, or nil.
	owner *member
	held  bool
	// target is a part larger than owned.Share, to be used from raise.
	target float64
	raise  time.Time
}

// setEndpoints replaces the endpoints. Claims to those that stay are kept.
func (t *Table) setEndpoints(es []fescuelatch.OwnedEndpoint) {
	all := append(slices.Clone(t.sorted), t.me)
	byID := make(map[fescuelatch.EndpointID]*claim, len(es))
	t.claims = t.claims[:0]
	for _, e := range es {
		c := t.byID[e.Endpoint.ID]
		if c == nil {
			c = new(claim)
		}
		c.owned.Endpoint, c.owned.Pool, c.owned.Out = e.Endpoint, e.Pool, e.Out
		c.order = rank(e.Endpoint.ID, all)
		byID[e.Endpoint.ID] = c
		t.claims = append(t.claims, c)
	}
	slices.SortFunc(t.claims, func(a, b *claim) int {
		return cmp.Compare(a.owned.Endpoint.ID, b.owned.Endpoint.ID)
	})
	t.byID = byID
}

// apply brings states and claims up to now after an input.
func (t *Table) apply(now time.Time) {
	t.changed = true
	t.update(now)
}

// update brings states and claims up to now. Each input does so first with
// what was known before, so that a lapse during a pause is not missed.
func (t *Table) update(now time.Time) {
	if !t.changed && now.Before(t.until) {
		return
	}
	for _, m := range t.sorted {
		m.settle(now, t.settings)
	}
	t.renew(now)
	t.join(now)
	fresh := t.fresh(now)
	ready, joined := t.ready(now), t.joined || t.anyJoined()
	for _, c := range t.claims {
		c.owner = t.first(c, ready, joined)
		if c.owner == t.me {
			c.hold(now, t.shareOf(c, fresh), t.settings)
		} else {
			c.held = false
		}
	}
	t.changed, t.until = false, t.next(now)
}

// join finds whether this daemon has joined: every member that may claim
// knows of it.
func (t *Table) join(now time.Time) {
	if t.joined || t.idle() {
		t.joined = t.joined && !t.idle()
		return
	}
	for _, m := range t.sorted {
		if m.claims() && !m.acked {
			return
		}
	}
	t.joined = true
	t.readyAt = now.Add(t.settings.TakeoverAfter)
}

// fresh reports whether every member that may claim has promised not to
// claim this daemon's endpoints for some time yet.
func (t *Table) fresh(now time.Time) bool {
	for _, m := range t.sorted {
		if m.claims() && !now.Before(m.lease) {
			return false
		}
	}
	return true
}

// ready reports whether this daemon may claim. A daemon that has just joined
// waits for the promises of all members that are alive, so that they have
// stopped; one that cannot join waits as long as it would for a silent
// member, and then claims without a share of cold endpoints.
func (t *Table) ready(now time.Time) bool {
	switch {
	case t.idle():
		return false
	case !t.joined:
		return !now.Before(t.started.Add(t.settings.TakeoverAfter)) && !t.anyJoined()
	case !now.Before(t.readyAt):
		return true
	}
	for _, m := range t.sorted {
		if m.state == StateAlive && !now.Before(m.lease) {
			return false
		}
	}
	return true
}

// anyJoined reports whether another member is alive and has joined.
func (t *Table) anyJoined() bool {
	for _, m := range t.sorted {
		if m.state == StateAlive && m.joined {
			return true
		}
	}
	return false
}

// first returns the first member in the order of c that is alive and has
// joined, or, when none has joined, the first that is alive. It is nil when
// there is none.
func (t *Table) first(c *claim, ready, joined bool) *member {
	for _, m := range c.order {
		switch {
		case m == t.me && ready:
			return m
		case m != t.me && m.state == StateAlive && (m.joined || !joined):
			return m
		}
	}
	return nil
}

// shareOf returns the part of c's cold slots that this daemon may use while
// it claims c. Parts by rank add up to less than one whoever else claims;
// the whole is safe while nobody ranks before this daemon and all others
// have promised not to claim.
func (t *Table) shareOf(c *claim, fresh bool) float64 {
	if !t.joined {
		return 0
	}
	r := 0
	for _, m := range c.order {
		if m == t.me {
			break
		}
		if m.claims() {
			r++
		}
	}
	if r == 0 && fresh {
		return 1
	}
	return math.Ldexp(1, -(r + 1))
}

// hold claims c with a part of at most share. What another daemon has sent
// must show in load reports before a new claim is used or a part grows.
func (c *claim) hold(now time.Time, share float64, s Settings) {
	visible := now.Add(s.ReportLag)
	switch {
	case !c.held:
		c.held = true
		c.owned.After = visible
		c.owned.Share, c.target = share, share
	case share <= c.owned.Share:
		c.owned.Share, c.target = share, share
	case share > c.target:
		c.target, c.raise = share, visible
	case !now.Before(c.raise):
		c.owned.Share, c.target = share, share
	default:
		c.target = share
	}
}
