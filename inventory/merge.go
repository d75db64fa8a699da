package inventory

import "fescuelatch"

// This file defines what becomes of the configuration in force when the
// files are applied to it.

// HoldsRules reports whether the files have a list of accounts.
func (f *Files) HoldsRules() bool { return f.held["accounts"] }

// HoldsInventory reports whether the files have a list other than accounts.
func (f *Files) HoldsInventory() bool {
	for n := range f.held {
		if n != "accounts" {
			return true
		}
	}
	return false
}

// Onto returns base with the inventory of the files and, when the files hold
// rules, with their rules. Overrides stay in force, but for those of entries
// that are gone.
func (f *Files) Onto(base *fescuelatch.Configuration) *fescuelatch.Configuration {
	c := *base
	c.Inventory = f.Configuration.Inventory
	if f.HoldsRules() {
		c.Rules = f.Configuration.Rules
	}
	c.Overrides = pruned(base.Overrides, &c.Inventory)
	return &c
}

// RulesOnto returns base with the rules of the files.
func (f *Files) RulesOnto(base *fescuelatch.Configuration) *fescuelatch.Configuration {
	c := *base
	c.Rules = f.Configuration.Rules
	return &c
}

// pruned returns the overrides whose entries stand in i.
func pruned(o fescuelatch.Overrides, i *fescuelatch.Inventory) fescuelatch.Overrides {
	return fescuelatch.Overrides{
		Withdrawn:    present(o.Withdrawn, i.Versions, func(v fescuelatch.Version) fescuelatch.VersionID { return v.ID }),
		DomainsOut:   present(o.DomainsOut, i.Domains, func(d fescuelatch.FailureDomain) fescuelatch.DomainID { return d.ID }),
		VMsOut:       present(o.VMsOut, i.VMs, func(m fescuelatch.VM) fescuelatch.VMID { return m.ID }),
		EndpointsOut: present(o.EndpointsOut, i.Endpoints, func(e fescuelatch.Endpoint) fescuelatch.EndpointID { return e.ID }),
	}
}

func present[K comparable, T any](ids []K, list []T, id func(T) K) []K {
	known := make(map[K]bool, len(list))
	for _, t := range list {
		known[id(t)] = true
	}
	var out []K
	for _, k := range ids {
		if known[k] {
			out = append(out, k)
		}
	}
	return out
}
