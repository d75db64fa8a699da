package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the life of failure domains as operators take them out
// and bring them back.

// returnTime is the time over which a failure domain that has been brought
// back gets its full share of forwarded work again.
const returnTime = 10 * time.Second

// domainLife is the state of one failure domain.
type domainLife struct {
	machine *chart.Machine
	// since is when the present state was entered.
	since time.Time
}

// DomainState is a failure domain's state, for status and dumps.
type DomainState struct {
	Domain fescuelatch.DomainID `json:"failure-domain"`
	State  chart.State          `json:"state"`
	Since  time.Time            `json:"since"`
}

// Domains returns the state of each failure domain, in order.
func (c *Core) Domains() []DomainState {
	if c.view == nil {
		return nil
	}
	var ds []DomainState
	for _, id := range c.view.Domains() {
		if l, ok := c.domains[id]; ok {
			ds = append(ds, DomainState{Domain: id, State: l.machine.State(), Since: l.since})
		}
	}
	return ds
}

// configureDomains follows what operators have set.
func (c *Core) configureDomains(now time.Time) {
	listed := make(map[fescuelatch.DomainID]bool)
	for _, id := range c.view.Domains() {
		listed[id] = true
		l, ok := c.domains[id]
		if !ok {
			l = &domainLife{machine: chart.FailureDomain().New(), since: now}
			c.domains[id] = l
		}
		c.setDomain(now, l, c.view.DomainOut(id))
	}
	for id, l := range c.domains {
		if !listed[id] {
			c.move(now, l, chart.EventRemove)
			delete(c.domains, id)
		}
	}
}

func (c *Core) setDomain(now time.Time, l *domainLife, out bool) {
	switch {
	case out && l.machine.Can(chart.EventTakeOut):
		c.move(now, l, chart.EventTakeOut)
	case !out && l.machine.Can(chart.EventBringBack):
		c.move(now, l, chart.EventBringBack)
	}
}

func (c *Core) move(now time.Time, l *domainLife, e chart.Event) {
	if err := l.machine.Fire(e); err != nil {
		c.faults = append(c.faults, err)
		return
	}
	l.since = now
}

// tickDomains lets drained failure domains be out, and returning ones be in.
func (c *Core) tickDomains(now time.Time) {
	for id, l := range c.domains {
		switch l.machine.State() {
		case chart.FailureDomainLeaving:
			if c.drained(now, id) {
				c.move(now, l, chart.EventDrained)
			}
		case chart.FailureDomainReturning:
			if now.Sub(l.since) >= returnTime {
				c.move(now, l, chart.EventRestored)
			}
		}
	}
}

// drained reports whether nothing runs in a failure domain, as far as this
// daemon knows.
func (c *Core) drained(now time.Time, id fescuelatch.DomainID) bool {
	if id == c.options.Domain && !idle(c.options.Gate.Spare(now)) {
		return false
	}
	for _, p := range c.peers.sorted {
		if p.domain != id {
			continue
		}
		for _, s := range p.spares {
			if s.Queued > 0 || s.Free < s.Slots {
				return false
			}
		}
	}
	return true
}

func idle(spares []fescuelatch.Spare) bool {
	for _, s := range spares {
		if s.Queued > 0 || s.Free < s.Slots {
			return false
		}
	}
	return true
}

// returning scales the spare capacity of a failure domain that is coming
// back, so that work moves there gradually.
func (c *Core) returning(now time.Time, id fescuelatch.DomainID, spare int) int {
	l, ok := c.domains[id]
	if !ok || l.machine.State() != chart.FailureDomainReturning || spare <= 0 {
		return spare
	}
	part := float64(now.Sub(l.since)) / float64(returnTime)
	return int(float64(spare) * min(part, 1))
}
