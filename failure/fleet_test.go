package failure

import (
	"fmt"
	"net/netip"
	"os"
	"testing"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m)) }

// startFleet starts a fleet of two failure domains, "a" and "b", with two VMs,
// a model engine and a plain service each. The fleet is closed with the test.
func startFleet(t *testing.T, options ...func(*fleet.Options)) *fleet.Fleet {
	t.Helper()
	o := fleet.Options{Configuration: fleetConfiguration(), Bin: fleettest.Bin()}
	for _, f := range options {
		f(&o)
	}
	return fleet.StartTest(t, o)
}

func fleetConfiguration() *fescuelatch.Configuration {
	c := &fescuelatch.Configuration{
		Inventory: fescuelatch.Inventory{
			Domains: []fescuelatch.FailureDomain{{ID: "a"}, {ID: "b"}},
			Models:  []fescuelatch.Model{{ID: "triage"}},
			Versions: []fescuelatch.Version{
				{ID: "triage@1", Model: "triage", Quality: 0.95, PromptCost: 9000, OutputCost: 9000, Weight: 1},
				{ID: "triage@2", Model: "triage", Quality: 0.6, PromptCost: 300, OutputCost: 300, Weight: 1},
			},
			Pools: []fescuelatch.Pool{
				{ID: "desks", Service: "desk", Slots: 32, ColdSlots: 8},
				{ID: "models", Versions: []fescuelatch.VersionID{"triage@1", "triage@2"}, Slots: 32, ColdSlots: 8},
			},
			Services: []fescuelatch.Service{{ID: "desk", Operations: []fescuelatch.Operation{
				{ID: "ban", Cost: 500}, {ID: "lookup", Idempotent: true, Cost: 100},
			}}},
		},
		Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{{
			ID: "daily", KeyHashes: []string{fescuelatch.HashKey("other")},
			Models: []fescuelatch.ModelID{"triage"}, Services: []fescuelatch.ServiceID{"desk"}, DefaultQuality: 0.8,
		}}},
	}
	for n, d := range c.Inventory.Domains {
		addDomain(&c.Inventory, n+1, d.ID)
	}
	return c
}

// addDomain adds the VMs and endpoints of the failure domain with number n.
func addDomain(v *fescuelatch.Inventory, n int, d fescuelatch.DomainID) {
	at := func(host, port int) netip.AddrPort {
		return fleettest.Address(fmt.Sprintf("127.83.%d.%d:%d", n, host, port))
	}
	for k := 1; k <= 2; k++ {
		v.VMs = append(v.VMs, fescuelatch.VM{
			ID: fescuelatch.VMID(fmt.Sprintf("%s-%d", d, k)), Domain: d,
			Peer: at(k, 7100), Caller: at(k, 7200), Operator: at(k, 7300),
		})
	}
	v.Endpoints = append(v.Endpoints,
		fescuelatch.Endpoint{ID: fescuelatch.EndpointID(d + "-desk"), Pool: "desks", Domain: d, Address: at(12, 7400)},
		fescuelatch.Endpoint{ID: fescuelatch.EndpointID(d + "-model"), Pool: "models", Domain: d, Address: at(11, 7400)})
}
