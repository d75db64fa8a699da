package inventory

import "fescuelatch"

// This file defines how files are applied to the active configuration.

// HasRules reports whether the files contain a list of accounts.
func (f *Files) HasRules() bool { return f.lists["accounts"] }

// HasInventory reports whether the files contain a list other than accounts.
func (f *Files) HasInventory() bool {
	for n := range f.lists {
		if n != "accounts" {
			return true
		}
	}
	return false
}

// ApplyTo returns base with the inventory of the files and, if the files contain
// rules, with their rules. Overrides are kept, except those of removed entries.
func (f *Files) ApplyTo(base *fescuelatch.Configuration) *fescuelatch.Configuration {
	c := *base
	c.Inventory = f.Configuration.Inventory
	if f.HasRules() {
		c.Rules = f.Configuration.Rules
	}
	c.Overrides = pruneOverrides(base.Overrides, &c.Inventory)
	return &c
}

// ApplyRulesTo returns base with the rules of the files.
func (f *Files) ApplyRulesTo(base *fescuelatch.Configuration) *fescuelatch.Configuration {
	c := *base
	c.Rules = f.Configuration.Rules
	return &c
}

// pruneOverrides returns the overrides whose entries exist in i.
func pruneOverrides(o fescuelatch.Overrides, i *fescuelatch.Inventory) fescuelatch.Overrides {
	return fescuelatch.Overrides{
		Withdrawn:    filterKnown(o.Withdrawn, i.Versions, func(v fescuelatch.Version) fescuelatch.VersionID { return v.ID }),
		DomainsOut:   filterKnown(o.DomainsOut, i.Domains, func(d fescuelatch.FailureDomain) fescuelatch.DomainID { return d.ID }),
		VMsOut:       filterKnown(o.VMsOut, i.VMs, func(m fescuelatch.VM) fescuelatch.VMID { return m.ID }),
		EndpointsOut: filterKnown(o.EndpointsOut, i.Endpoints, func(e fescuelatch.Endpoint) fescuelatch.EndpointID { return e.ID }),
	}
}

func filterKnown[K comparable, T any](ids []K, list []T, id func(T) K) []K {
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
