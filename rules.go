package fescuelatch

// This file defines the rules on client accounts and the overrides that
// operators set under traffic.

// Rules define the permissions of client accounts.
type Rules struct {
	Accounts []Account `json:"accounts" yaml:"accounts"`
}

// Account is a client account.
//
// KeyHashes are hexadecimal SHA-256 digests of its bearer keys; several may be
// valid at once, so that keys can be rotated under traffic. Models, Versions
// and Services list the permitted ones; a model permits all of its versions.
// Share is the account's weight against others under overload; zero counts as
// one.
type Account struct {
	ID             AccountID   `json:"id" yaml:"id"`
	KeyHashes      []string    `json:"key-hashes" yaml:"key-hashes"`
	Models         []ModelID   `json:"models,omitempty" yaml:"models,omitempty"`
	Versions       []VersionID `json:"versions,omitempty" yaml:"versions,omitempty"`
	Services       []ServiceID `json:"services,omitempty" yaml:"services,omitempty"`
	DefaultQuality float64     `json:"default-quality,omitempty" yaml:"default-quality,omitempty"`
	Share          float64     `json:"share,omitempty" yaml:"share,omitempty"`
}

// Overrides exclude versions, failure domains, VMs and endpoints from new work.
// They belong to the configuration and share its generation.
type Overrides struct {
	Withdrawn    []VersionID  `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
	DomainsOut   []DomainID   `json:"failure-domains-out,omitempty" yaml:"failure-domains-out,omitempty"`
	VMsOut       []VMID       `json:"vms-out,omitempty" yaml:"vms-out,omitempty"`
	EndpointsOut []EndpointID `json:"endpoints-out,omitempty" yaml:"endpoints-out,omitempty"`
}
