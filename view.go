package fescuelatch

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/pkg/errors"
)

// This file defines views, which index configurations for decisions.

// View is an immutable, valid configuration with indexes for decisions. It is
// safe for concurrent use.
type View struct {
	Configuration *Configuration

	domains      map[DomainID]FailureDomain
	vms          map[VMID]VM
	versions     map[VersionID]Version
	pools        map[PoolID]Pool
	endpoints    map[EndpointID]Endpoint
	services     map[ServiceID]Service
	accounts     map[AccountID]*Account
	byKeyHash    map[string]*Account
	byModel      map[ModelID][]Version
	byDomain     map[DomainID][]Endpoint
	vmsByDomain  map[DomainID][]VM
	withdrawn    map[VersionID]bool
	outDomains   map[DomainID]bool
	outVMs       map[VMID]bool
	outEndpoints map[EndpointID]bool
}

// NewView indexes c, which must not be modified afterwards. If c is invalid, it
// reports KindInvalid with the first fault.
func NewView(c *Configuration) (*View, error) {
	if fs := c.Validate(); len(fs) > 0 {
		return nil, &Error{"index configuration", KindInvalid, errors.Errorf("%d faults, first: %s", len(fs), fs[0])}
	}
	i := &c.Inventory
	v := &View{
		Configuration: c,
		domains:       index(i.Domains, func(d FailureDomain) DomainID { return d.ID }),
		vms:           index(i.VMs, func(m VM) VMID { return m.ID }),
		versions:      index(i.Versions, func(m Version) VersionID { return m.ID }),
		pools:         index(i.Pools, func(p Pool) PoolID { return p.ID }),
		endpoints:     index(i.Endpoints, func(e Endpoint) EndpointID { return e.ID }),
		services:      index(i.Services, func(s Service) ServiceID { return s.ID }),
		accounts:      make(map[AccountID]*Account),
		byKeyHash:     make(map[string]*Account),
		byModel:       group(i.Versions, func(m Version) ModelID { return m.Model }),
		byDomain:      group(i.Endpoints, func(e Endpoint) DomainID { return e.Domain }),
		vmsByDomain:   group(i.VMs, func(m VM) DomainID { return m.Domain }),
		withdrawn:     set(c.Overrides.Withdrawn),
		outDomains:    set(c.Overrides.DomainsOut),
		outVMs:        set(c.Overrides.VMsOut),
		outEndpoints:  set(c.Overrides.EndpointsOut),
	}
	for n := range c.Rules.Accounts {
		a := &c.Rules.Accounts[n]
		v.accounts[a.ID] = a
		for _, h := range a.KeyHashes {
			v.byKeyHash[h] = a
		}
	}
	return v, nil
}

func index[K comparable, T any](list []T, key func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	for _, t := range list {
		m[key(t)] = t
	}
	return m
}

func group[K comparable, T any](list []T, key func(T) K) map[K][]T {
	m := make(map[K][]T)
	for _, t := range list {
		m[key(t)] = append(m[key(t)], t)
	}
	return m
}

func set[K comparable](list []K) map[K]bool {
	m := make(map[K]bool, len(list))
	for _, k := range list {
		m[k] = true
	}
	return m
}

// Generation returns the generation of the configuration.
func (v *View) Generation() Generation { return v.Configuration.Generation }

// AccountByKey returns the account that a bearer key belongs to.
func (v *View) AccountByKey(key string) (*Account, bool) {
	a, ok := v.byKeyHash[HashKey(key)]
	return a, ok
}

// HashKey returns the hexadecimal SHA-256 of a bearer key.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Account returns the account id.
func (v *View) Account(id AccountID) (*Account, bool) { a, ok := v.accounts[id]; return a, ok }

// Version returns the version id.
func (v *View) Version(id VersionID) (Version, bool) { m, ok := v.versions[id]; return m, ok }

// VersionsOf returns the versions of a model, or of all models for the empty
// identifier.
func (v *View) VersionsOf(m ModelID) []Version {
	if m == "" {
		return v.Configuration.Inventory.Versions
	}
	return v.byModel[m]
}

// Pool returns the pool id.
func (v *View) Pool(id PoolID) (Pool, bool) { p, ok := v.pools[id]; return p, ok }

// Endpoint returns the endpoint id.
func (v *View) Endpoint(id EndpointID) (Endpoint, bool) { e, ok := v.endpoints[id]; return e, ok }

// EndpointsIn returns the endpoints of a failure domain.
func (v *View) EndpointsIn(d DomainID) []Endpoint { return v.byDomain[d] }

// VM returns the entry VM id.
func (v *View) VM(id VMID) (VM, bool) { m, ok := v.vms[id]; return m, ok }

// VMsIn returns the entry VMs of a failure domain.
func (v *View) VMsIn(d DomainID) []VM { return v.vmsByDomain[d] }

// Domains returns the identifiers of all failure domains, in order.
func (v *View) Domains() []DomainID {
	ds := make([]DomainID, 0, len(v.domains))
	for d := range v.domains {
		ds = append(ds, d)
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds
}

// Operation returns an operation of a plain service.
func (v *View) Operation(s ServiceID, o OperationID) (Operation, bool) {
	for _, p := range v.services[s].Operations {
		if p.ID == o {
			return p, true
		}
	}
	return Operation{}, false
}

// Allowed reports whether account a may use version m.
func (v *View) Allowed(a *Account, m Version) bool {
	for _, id := range a.Models {
		if id == m.Model {
			return true
		}
	}
	for _, id := range a.Versions {
		if id == m.ID {
			return true
		}
	}
	return false
}

// AllowedService reports whether account a may use plain service s.
func (v *View) AllowedService(a *Account, s ServiceID) bool {
	for _, id := range a.Services {
		if id == s {
			return true
		}
	}
	return false
}

// MayRun reports whether q's account may run q on version m, which must not be
// withdrawn, or may use q's plain service.
func (v *View) MayRun(q *Request, m VersionID) bool {
	a, ok := v.Account(q.Account)
	if !ok {
		return false
	}
	if q.IsService() {
		return v.AllowedService(a, q.Service)
	}
	version, ok := v.Version(m)
	return ok && v.Allowed(a, version) && !v.Withdrawn(m)
}

// Withdrawn reports whether a version gets no new work.
func (v *View) Withdrawn(m VersionID) bool { return v.withdrawn[m] }

// DomainOut reports whether a failure domain gets no new work.
func (v *View) DomainOut(d DomainID) bool { return v.outDomains[d] }

// VMOut reports whether an entry VM takes no new work.
func (v *View) VMOut(m VMID) bool { return v.outVMs[m] }

// EndpointOut reports whether an endpoint gets no new work, either itself or
// through its failure domain.
func (v *View) EndpointOut(e Endpoint) bool { return v.outEndpoints[e.ID] || v.outDomains[e.Domain] }
