package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests which daemons of other failure domains are called.

// manyDomains returns a view of domains with a number of VMs each.
func manyDomains(c *qt.C, domains, each int) *fescuelatch.View {
	conf := &fescuelatch.Configuration{Generation: 1}
	for n := range domains {
		d := fescuelatch.DomainID(fmt.Sprintf("d-%d", n))
		conf.Inventory.Domains = append(conf.Inventory.Domains, fescuelatch.FailureDomain{ID: d, Region: "r"})
		for k := range each {
			at := func(port uint16) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n), byte(k)}), port)
			}
			id := fescuelatch.VMID(fmt.Sprintf("vm-%d-%d", n, k))
			conf.Inventory.VMs = append(conf.Inventory.VMs, fescuelatch.VM{ID: id, Domain: d, Peer: at(1), Caller: at(2), Operator: at(3)})
		}
	}
	v, err := fescuelatch.NewView(conf)
	c.Assert(err, qt.IsNil)
	return v
}

// TestPartners lets a daemon call while some domains are away, and checks
// whom it hears often enough.
func TestPartners(t *testing.T) {
	tests := []struct {
		name          string
		domains, each int
		away          int // domains that do not answer, the first in order
		want          int // partners in the end
		distinct      int // failure domains among them
	}{
		{"today", 4, 2, 0, 6, 3},
		{"target", 21, 52, 0, partners, partners},
		{"target, most are away", 21, 52, 18, partners, 2},
		{"today, one away", 4, 2, 1, 4, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			order := ranked(manyDomains(c, test.domains, test.each), "vm-0-0", "d-0")
			c.Assert(order, qt.HasLen, (test.domains-1)*test.each)
			away := make(map[fescuelatch.DomainID]bool)
			for _, m := range order[:test.away] {
				away[m.Domain] = true
			}
			heard, called := make(map[fescuelatch.VMID]time.Time), make(map[fescuelatch.VMID]time.Time)
			var now time.Time
			of := func(vm fescuelatch.VMID) contact {
				h := heard[vm]
				return contact{heard: h, called: called[vm], lost: !called[vm].IsZero() && now.Sub(h) > lostAfter}
			}
			gaps := make(map[fescuelatch.VMID]time.Duration)
			const settled, end = 10 * time.Minute, 11 * time.Minute
			for at := time.Duration(0); at < end; at += gossipInterval {
				now = epoch.Add(at)
				for _, lost := range []bool{false, true} {
					m, ok := nextPartner(now, order, lost, of)
					if !ok || lost && at%probeInterval != 0 {
						continue
					}
					called[m.ID] = now
					if away[m.Domain] {
						continue
					}
					if at > settled {
						gaps[m.ID] = max(gaps[m.ID], now.Sub(heard[m.ID]))
					}
					heard[m.ID] = now
				}
			}
			domains := make(map[fescuelatch.DomainID]bool)
			live := 0
			for _, m := range order {
				if gaps[m.ID] > 0 {
					live++
					domains[m.Domain] = true
				}
			}
			c.Assert(live, qt.Equals, test.want)
			c.Assert(len(domains), qt.Equals, test.distinct)
			for vm, gap := range gaps {
				c.Check(gap < lostAfter, qt.IsTrue, qt.Commentf("%s: %v", vm, gap))
			}
		})
	}
}
