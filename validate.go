package fescuelatch

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// This file defines the checks that a configuration must pass before it can
// become active.

// Fault is one fault of a configuration. Path locates it, for example
// "inventory.endpoints[3].pool".
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

const keyHashBytes = 32

// Validate returns all faults of c, in the order of its lists. A
// configuration without faults may become active.
func (c *Configuration) Validate() []Fault {
	v := validator{
		domains:   make(map[DomainID]bool),
		vms:       make(map[VMID]bool),
		models:    make(map[ModelID]bool),
		versions:  make(map[VersionID]bool),
		pools:     make(map[PoolID]bool),
		services:  make(map[ServiceID]bool),
		endpoints: make(map[EndpointID]bool),
		ids:       make(map[EntryKey]bool),
	}
	v.inventory(&c.Inventory)
	v.rules(&c.Rules)
	v.overrides(&c.Overrides)
	return v.faults
}

type validator struct {
	faults    []Fault
	ids       map[EntryKey]bool
	domains   map[DomainID]bool
	vms       map[VMID]bool
	models    map[ModelID]bool
	versions  map[VersionID]bool
	pools     map[PoolID]bool
	services  map[ServiceID]bool
	endpoints map[EndpointID]bool
}

func (v *validator) fault(path, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.fault(path, format, args...)
	}
}

// id checks that an identifier is valid and unique within its kind.
func (v *validator) id(k EntryKind, id, path string) {
	if id == "" || strings.ContainsAny(id, " \t\n/") {
		v.fault(path+".id", "%q is empty or has a space or slash", id)
		return
	}
	key := EntryKey{Kind: k, ID: id}
	v.require(!v.ids[key], path+".id", "%s %q stands twice", k, id)
	v.ids[key] = true
}

func (v *validator) inventory(i *Inventory) {
	for n, d := range i.Domains {
		v.id(EntryDomain, string(d.ID), fmt.Sprintf("inventory.failure-domains[%d]", n))
		v.domains[d.ID] = true
	}
	for n := range i.VMs {
		v.vm(&i.VMs[n], fmt.Sprintf("inventory.vms[%d]", n))
	}
	for n, m := range i.Models {
		v.id(EntryModel, string(m.ID), fmt.Sprintf("inventory.models[%d]", n))
		v.models[m.ID] = true
	}
	for n := range i.Versions {
		v.version(&i.Versions[n], fmt.Sprintf("inventory.versions[%d]", n))
	}
	for n := range i.Services {
		v.service(&i.Services[n], fmt.Sprintf("inventory.services[%d]", n))
	}
	for n := range i.Pools {
		v.pool(&i.Pools[n], fmt.Sprintf("inventory.pools[%d]", n))
	}
	for n, e := range i.Endpoints {
		p := fmt.Sprintf("inventory.endpoints[%d]", n)
		v.id(EntryEndpoint, string(e.ID), p)
		v.endpoints[e.ID] = true
		v.require(v.pools[e.Pool], p+".pool", "unknown pool %q", e.Pool)
		v.require(v.domains[e.Domain], p+".failure-domain", "unknown failure domain %q", e.Domain)
		v.require(e.Address.IsValid(), p+".address", "missing")
	}
}

func (v *validator) vm(m *VM, p string) {
	v.id(EntryVM, string(m.ID), p)
	v.vms[m.ID] = true
	v.require(v.domains[m.Domain], p+".failure-domain", "unknown failure domain %q", m.Domain)
	v.require(m.Peer.IsValid(), p+".peer-address", "missing")
	v.require(m.Caller.IsValid(), p+".caller-address", "missing")
	v.require(m.Operator.IsValid(), p+".operator-address", "missing")
}

func (v *validator) version(m *Version, p string) {
	v.id(EntryVersion, string(m.ID), p)
	v.versions[m.ID] = true
	v.require(v.models[m.Model], p+".model", "unknown model %q", m.Model)
	v.require(m.Quality >= 0 && m.Quality <= 1, p+".quality", "%v is not within 0 to 1", m.Quality)
	v.require(m.PromptCost >= 0, p+".prompt-cost", "is negative")
	v.require(m.OutputCost >= 0, p+".output-cost", "is negative")
	v.require(m.Weight >= 0, p+".weight", "is negative")
}

func (v *validator) service(s *Service, p string) {
	v.id(EntryService, string(s.ID), p)
	v.services[s.ID] = true
	seen := make(map[OperationID]bool)
	for n, o := range s.Operations {
		q := fmt.Sprintf("%s.operations[%d]", p, n)
		v.require(o.ID != "", q+".id", "is empty")
		v.require(!seen[o.ID], q+".id", "operation %q stands twice", o.ID)
		v.require(o.Cost >= 0, q+".cost", "is negative")
		seen[o.ID] = true
	}
}

func (v *validator) pool(l *Pool, p string) {
	v.id(EntryPool, string(l.ID), p)
	v.pools[l.ID] = true
	for n, id := range l.Versions {
		v.require(v.versions[id], fmt.Sprintf("%s.versions[%d]", p, n), "unknown version %q", id)
	}
	if l.Service != "" {
		v.require(v.services[l.Service], p+".service", "unknown service %q", l.Service)
	}
	v.require((l.Service != "") != (len(l.Versions) > 0), p, "needs either versions or a service")
	v.require(l.Slots > 0, p+".slots", "must be above 0")
	v.require(l.ColdSlots > 0 && l.ColdSlots <= l.Slots, p+".cold-slots", "must be within 1 to slots")
}

func (v *validator) rules(r *Rules) {
	hashes := make(map[string]bool)
	for n := range r.Accounts {
		a := &r.Accounts[n]
		p := fmt.Sprintf("rules.accounts[%d]", n)
		v.id(EntryAccount, string(a.ID), p)
		v.require(len(a.KeyHashes) > 0, p+".key-hashes", "is empty")
		for k, h := range a.KeyHashes {
			q := fmt.Sprintf("%s.key-hashes[%d]", p, k)
			b, err := hex.DecodeString(h)
			v.require(err == nil && len(b) == keyHashBytes, q, "is not a hexadecimal SHA-256")
			v.require(!hashes[h], q, "stands twice")
			hashes[h] = true
		}
		for k, id := range a.Models {
			v.require(v.models[id], fmt.Sprintf("%s.models[%d]", p, k), "unknown model %q", id)
		}
		for k, id := range a.Versions {
			v.require(v.versions[id], fmt.Sprintf("%s.versions[%d]", p, k), "unknown version %q", id)
		}
		for k, id := range a.Services {
			v.require(v.services[id], fmt.Sprintf("%s.services[%d]", p, k), "unknown service %q", id)
		}
		v.require(a.DefaultQuality >= 0 && a.DefaultQuality <= 1, p+".default-quality", "is not within 0 to 1")
		v.require(a.Share >= 0, p+".share", "is negative")
	}
}

func (v *validator) overrides(o *Overrides) {
	for n, id := range o.Withdrawn {
		v.require(v.versions[id], fmt.Sprintf("overrides.withdrawn[%d]", n), "unknown version %q", id)
	}
	for n, id := range o.DomainsOut {
		v.require(v.domains[id], fmt.Sprintf("overrides.failure-domains-out[%d]", n), "unknown failure domain %q", id)
	}
	for n, id := range o.VMsOut {
		v.require(v.vms[id], fmt.Sprintf("overrides.vms-out[%d]", n), "unknown VM %q", id)
	}
	for n, id := range o.EndpointsOut {
		v.require(v.endpoints[id], fmt.Sprintf("overrides.endpoints-out[%d]", n), "unknown endpoint %q", id)
	}
}
