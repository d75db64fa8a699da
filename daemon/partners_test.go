package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests the selection of partners in other failure domains.

// newDomainsView returns a view of domains with a number of VMs each.
func newDomainsView(c *qt.C, domains, each int) *fescuelatch.View {
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

// TestPartners simulates the calls of a daemon while some domains are
// unreachable, and checks that each partner is heard often enough.
func TestPartners(t *testing.T) {
	tests := []struct {
		name          string
		domains, each int
		unreachable   int // number of unreachable domains, the first in order
		want          int // number of partners at the end
		distinct      int // number of their failure domains
	}{
		{"today", 4, 2, 0, 6, 3},
		{"target", 21, 52, 0, maxPartners, maxPartners},
		{"target, most unreachable", 21, 52, 18, maxPartners, 2},
		{"today, one unreachable", 4, 2, 1, 4, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			order := rankPartners(newDomainsView(c, test.domains, test.each), "vm-0-0", "d-0")
			c.Assert(order, qt.HasLen, (test.domains-1)*test.each)
			unreachable := make(map[fescuelatch.DomainID]bool)
			for _, m := range order[:test.unreachable] {
				unreachable[m.Domain] = true
			}
			heard, called := make(map[fescuelatch.VMID]time.Time), make(map[fescuelatch.VMID]time.Time)
			var now time.Time
			of := func(vm fescuelatch.VMID) contact {
				h := heard[vm]
				return contact{heard: h, called: called[vm], lost: !called[vm].IsZero() && now.Sub(h) > lostTimeout}
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
					if unreachable[m.Domain] {
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
				c.Check(gap < lostTimeout, qt.IsTrue, qt.Commentf("%s: %v", vm, gap))
			}
		})
	}
}
