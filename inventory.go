package fescuelatch

import "net/netip"

// This file defines the inventory of resources that operators manage.

// Inventory lists failure domains, entry VMs, models, versions, pools,
// endpoints and plain services. Each list is ordered by its identifier once
// the inventory has been normalised.
type Inventory struct {
	Domains   []FailureDomain `json:"failure-domains" yaml:"failure-domains"`
	VMs       []VM            `json:"vms" yaml:"vms"`
	Models    []Model         `json:"models" yaml:"models"`
	Versions  []Version       `json:"versions" yaml:"versions"`
	Pools     []Pool          `json:"pools" yaml:"pools"`
	Endpoints []Endpoint      `json:"endpoints" yaml:"endpoints"`
	Services  []Service       `json:"services" yaml:"services"`
}

// FailureDomain is a part of a region that fails, or is taken out, as a unit.
type FailureDomain struct {
	ID     DomainID `json:"id" yaml:"id"`
	Region string   `json:"region" yaml:"region"`
}

// VM is an entry VM. Its addresses are those that clients dial.
type VM struct {
	ID       VMID           `json:"id" yaml:"id"`
	Domain   DomainID       `json:"failure-domain" yaml:"failure-domain"`
	Peer     netip.AddrPort `json:"peer-address" yaml:"peer-address"`
	Caller   netip.AddrPort `json:"caller-address" yaml:"caller-address"`
	Operator netip.AddrPort `json:"operator-address" yaml:"operator-address"`
}

// Model is a family of versions that share a name.
type Model struct {
	ID ModelID `json:"id" yaml:"id"`
}

// Version is one version of a model.
//
// Quality is the expected share of good ratings, from 0 to 1. Costs are in
// millionths of the billing currency per thousand tokens. Weight is the
// non-negative share of new sessions, relative to the other versions of the
// model, during a rollout.
type Version struct {
	ID         VersionID `json:"id" yaml:"id"`
	Model      ModelID   `json:"model" yaml:"model"`
	Quality    float64   `json:"quality" yaml:"quality"`
	PromptCost int64     `json:"prompt-cost" yaml:"prompt-cost"`
	OutputCost int64     `json:"output-cost" yaml:"output-cost"`
	Weight     float64   `json:"weight" yaml:"weight"`
	// Sessions is set by daemons during a rollout, not by operators.
	Sessions SessionPolicy `json:"-" yaml:"-"`
}

// SessionPolicy is the session policy of a version during a rollout.
type SessionPolicy string

// Session policies.
const (
	// SessionsKeep lets sessions keep the version and assigns new sessions by
	// weight.
	SessionsKeep SessionPolicy = ""
	// SessionsExcluded gives the version only requests without a session. They
	// make up its weight, which is a share of all requests.
	SessionsExcluded SessionPolicy = "absent"
	// SessionsMove moves each session off the version when the weights
	// require it, regardless of its former version, so that all daemons
	// agree.
	SessionsMove SessionPolicy = "leave"
)

// Pool is a group of endpoints that serve the same versions, or the same
// plain service.
//
// Slots is the number of concurrent requests of a warm endpoint; ColdSlots is
// that number during a cold start.
type Pool struct {
	ID        PoolID      `json:"id" yaml:"id"`
	Versions  []VersionID `json:"versions,omitempty" yaml:"versions,omitempty"`
	Service   ServiceID   `json:"service,omitempty" yaml:"service,omitempty"`
	Slots     int         `json:"slots" yaml:"slots"`
	ColdSlots int         `json:"cold-slots" yaml:"cold-slots"`
	// Fenced reports that the endpoints reject requests with an outdated
	// fencing number.
	Fenced bool `json:"fenced,omitempty" yaml:"fenced,omitempty"`
}

// Endpoint is a model engine or a process of a plain service.
type Endpoint struct {
	ID      EndpointID     `json:"id" yaml:"id"`
	Pool    PoolID         `json:"pool" yaml:"pool"`
	Domain  DomainID       `json:"failure-domain" yaml:"failure-domain"`
	Address netip.AddrPort `json:"address" yaml:"address"`
}

// Service is a plain service beside the model engines.
type Service struct {
	ID         ServiceID   `json:"id" yaml:"id"`
	Operations []Operation `json:"operations" yaml:"operations"`
}

// Operation is one operation of a plain service. An operation that is not
// idempotent runs at most once per request. Cost is in millionths of the
// billing currency per call.
type Operation struct {
	ID         OperationID `json:"id" yaml:"id"`
	Idempotent bool        `json:"idempotent" yaml:"idempotent"`
	Cost       int64       `json:"cost" yaml:"cost"`
}
