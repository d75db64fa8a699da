// Package cost measures the resource usage of a daemon as the fleet and its
// configuration grow, and extrapolates it linearly to the target size.
package cost

import (
	"fmt"
	"net/netip"

	"fescuelatch"
)

// This file defines the sizes and configurations of the measured fleets.

// Size is the size of a fleet. Daemons and Endpoints are counts per failure
// domain.
type Size struct {
	Domains   int `json:"failure-domains"`
	Daemons   int `json:"daemons-each"`
	Endpoints int `json:"endpoints-each"`
	Versions  int `json:"versions"`
	Accounts  int `json:"accounts"`
}

// Dimension is a property of a Size that varies between points.
type Dimension string

// Dimensions of a Size.
const (
	Members   Dimension = "daemons-each"
	Domains   Dimension = "failure-domains"
	Endpoints Dimension = "endpoints-each"
	Versions  Dimension = "versions"
	Accounts  Dimension = "accounts"
)

// base is the smallest size in each dimension.
var base = Size{Domains: 1, Daemons: 2, Endpoints: 4, Versions: 2, Accounts: 10}

// Plan returns the sizes to measure: the base, then sizes that each differ from
// it in one dimension.
func Plan() []Size {
	with := func(f func(*Size)) Size {
		s := base
		f(&s)
		return s
	}
	return []Size{
		base,
		with(func(s *Size) { s.Daemons = 8 }),
		with(func(s *Size) { s.Daemons = 16 }),
		with(func(s *Size) { s.Domains = 3 }),
		with(func(s *Size) { s.Domains = 6 }),
		with(func(s *Size) { s.Endpoints = 16 }),
		with(func(s *Size) { s.Endpoints = 32 }),
		with(func(s *Size) { s.Versions = 10 }),
		with(func(s *Size) { s.Versions = 20 }),
		with(func(s *Size) { s.Accounts = 300 }),
		with(func(s *Size) { s.Accounts = 3000 }),
	}
}

// value returns the size in dimension d.
func (s Size) value(d Dimension) int {
	switch d {
	case Members:
		return s.Daemons
	case Domains:
		return s.Domains
	case Endpoints:
		return s.Endpoints
	case Versions:
		return s.Versions
	default:
		return s.Accounts
	}
}

// differsOnlyIn reports whether s equals the base in all dimensions except d.
func (s Size) differsOnlyIn(d Dimension) bool {
	for _, o := range []Dimension{Members, Domains, Endpoints, Versions, Accounts} {
		if o != d && s.value(o) != base.value(o) {
			return false
		}
	}
	return true
}

func (s Size) String() string {
	return fmt.Sprintf("%d failure domains of %d daemons and %d endpoints, %d versions, %d accounts",
		s.Domains, s.Daemons, s.Endpoints, s.Versions, s.Accounts)
}

const (
	model           = fescuelatch.ModelID("triage")
	poolSlots       = 64
	addressFormat   = "127.78.%d.%d:7100"
	firstEndpointIP = 100 // above the last octets of daemons
)

// Configuration returns the inventory and rules of a fleet of size s.
func (s Size) Configuration() *fescuelatch.Configuration {
	c := new(fescuelatch.Configuration)
	i := &c.Inventory
	i.Models = []fescuelatch.Model{{ID: model}}
	p := fescuelatch.Pool{ID: "models", Slots: poolSlots, ColdSlots: poolSlots}
	for n := range s.Versions {
		id := fescuelatch.VersionID(fmt.Sprintf("%s@%d", model, n+1))
		i.Versions = append(i.Versions, fescuelatch.Version{
			ID: id, Model: model, Quality: 0.9, PromptCost: int64(n), OutputCost: int64(n), Weight: 1,
		})
		p.Versions = append(p.Versions, id)
	}
	i.Pools = []fescuelatch.Pool{p}
	for d := range s.Domains {
		s.addDomain(i, d+1)
	}
	for n := range s.Accounts {
		id := fescuelatch.AccountID(fmt.Sprintf("account-%d", n))
		c.Rules.Accounts = append(c.Rules.Accounts, fescuelatch.Account{
			ID: id, Models: []fescuelatch.ModelID{model}, DefaultQuality: 0.6,
			KeyHashes: []string{fescuelatch.HashKey(string(id))},
		})
	}
	return c
}

func (s Size) addDomain(i *fescuelatch.Inventory, d int) {
	id := fescuelatch.DomainID(fmt.Sprintf("domain-%d", d))
	i.Domains = append(i.Domains, fescuelatch.FailureDomain{ID: id, Region: "region"})
	at := func(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf(addressFormat, d, n)) }
	for n := range s.Daemons {
		a := at(n + 1)
		i.VMs = append(i.VMs, fescuelatch.VM{
			ID: fescuelatch.VMID(fmt.Sprintf("entry-%d-%d", d, n+1)), Domain: id, Peer: a, Caller: a, Operator: a,
		})
	}
	for n := range s.Endpoints {
		i.Endpoints = append(i.Endpoints, fescuelatch.Endpoint{
			ID: fescuelatch.EndpointID(fmt.Sprintf("engine-%d-%d", d, n+1)), Pool: "models", Domain: id, Address: at(firstEndpointIP + n),
		})
	}
}
