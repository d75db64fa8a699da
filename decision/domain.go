package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the states of failure domains that operators take out of
// service and bring back.

// returnRampTime is the time over which a returning failure domain is ramped
// up to its full share of forwarded requests.
const returnRampTime = 10 * time.Second

// domainEntry tracks the state of one failure domain.
type domainEntry struct {
	machine *chart.Machine
	// since is when the current state was entered.
	since time.Time
}

// DomainState is the state of a failure domain, for status and dumps.
type DomainState struct {
	Domain fescuelatch.DomainID `json:"failure-domain"`
	State  chart.State          `json:"state"`
	Since  time.Time            `json:"since"`
}

// Domains returns the state of each failure domain in the view's order.
func (c *Core) Domains() []DomainState {
	if c.view == nil {
		return nil
	}
	var ds []DomainState
	for _, id := range c.view.Domains() {
		if d, ok := c.domains[id]; ok {
			ds = append(ds, DomainState{Domain: id, State: d.machine.State(), Since: d.since})
		}
	}
	return ds
}

// configureDomains applies the operators' settings.
func (c *Core) configureDomains(now time.Time) {
	listed := make(map[fescuelatch.DomainID]bool)
	for _, id := range c.view.Domains() {
		listed[id] = true
		d, ok := c.domains[id]
		if !ok {
			d = &domainEntry{machine: chart.FailureDomain().New(), since: now}
			c.domains[id] = d
		}
		c.setDomain(now, d, c.view.DomainOut(id))
	}
	for id, d := range c.domains {
		if !listed[id] {
			c.fireDomain(now, d, chart.EventRemove)
			delete(c.domains, id)
		}
	}
}

func (c *Core) setDomain(now time.Time, d *domainEntry, out bool) {
	switch {
	case out && d.machine.Can(chart.EventTakeOut):
		c.fireDomain(now, d, chart.EventTakeOut)
	case !out && d.machine.Can(chart.EventBringBack):
		c.fireDomain(now, d, chart.EventBringBack)
	}
}

func (c *Core) fireDomain(now time.Time, d *domainEntry, e chart.Event) {
	if err := d.machine.Fire(e); err != nil {
		c.faults = append(c.faults, err)
		return
	}
	d.since = now
}

// tickDomains completes the removal of drained failure domains and the return
// of ramped-up ones.
func (c *Core) tickDomains(now time.Time) {
	for id, d := range c.domains {
		switch d.machine.State() {
		case chart.FailureDomainLeaving:
			if c.drained(now, id) {
				c.fireDomain(now, d, chart.EventDrained)
			}
		case chart.FailureDomainReturning:
			if now.Sub(d.since) >= returnRampTime {
				c.fireDomain(now, d, chart.EventRestored)
			}
		}
	}
}

// drained reports whether no attempt is known to run or wait in a failure
// domain.
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

// rampedSpare scales the spare capacity of a returning failure domain, so that
// requests move there gradually. Capacity that is not that of one domain is not scaled.
func (c *Core) rampedSpare(now time.Time, id fescuelatch.DomainID, spare int) int {
	d, ok := c.domains[id]
	if !ok || !c.peers.owners || d.machine.State() != chart.FailureDomainReturning || spare <= 0 {
		return spare
	}
	part := float64(now.Sub(d.since)) / float64(returnRampTime)
	return int(float64(spare) * min(part, 1))
}
