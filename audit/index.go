package audit

import (
	"crypto/sha256"
	"encoding/hex"

	"fescuelatch"
	"fescuelatch/load"
)

// This file defines the index of evidence that checks share.

// index is evidence with its records grouped.
type index struct {
	*Evidence
	accounts map[fescuelatch.AccountID]*fescuelatch.Account
	versions map[fescuelatch.VersionID]fescuelatch.Version
	// byRequest has the record that saw a request's identifier.
	byRequest map[fescuelatch.RequestID]*load.Record
	// byNonce has all calls of one request of a caller: the first and its
	// repeats.
	byNonce map[string][]*load.Record
	// executions counts the executions of a key or nonce.
	executions map[string]int
	// slots counts the attempts of a request that got a slot of an engine.
	slots map[fescuelatch.RequestID]int
}

func newIndex(e *Evidence) *index {
	x := &index{
		Evidence:   e,
		accounts:   make(map[fescuelatch.AccountID]*fescuelatch.Account),
		versions:   make(map[fescuelatch.VersionID]fescuelatch.Version),
		byRequest:  make(map[fescuelatch.RequestID]*load.Record),
		byNonce:    make(map[string][]*load.Record),
		executions: make(map[string]int),
		slots:      make(map[fescuelatch.RequestID]int),
	}
	for n := range e.Configuration.Rules.Accounts {
		a := &e.Configuration.Rules.Accounts[n]
		x.accounts[a.ID] = a
	}
	for _, v := range e.Configuration.Inventory.Versions {
		x.versions[v.ID] = v
	}
	for n := range e.Records {
		r := &e.Records[n]
		x.byNonce[r.Nonce] = append(x.byNonce[r.Nonce], r)
		if r.RequestID != "" {
			x.byRequest[r.RequestID] = r
		}
	}
	x.countRuns()
	return x
}

// countRuns counts what has run at the endpoints.
func (x *index) countRuns() {
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		for _, c := range l.Executions {
			x.executions[c.Key]++
		}
		for k := range l.Starts {
			if s := &l.Starts[k]; !s.Started.IsZero() {
				x.slots[s.Request()]++
			}
		}
	}
}

// allowed reports whether an account may use a version.
func (x *index) allowed(a fescuelatch.AccountID, v fescuelatch.VersionID) bool {
	c, ok := x.accounts[a]
	if !ok {
		return false
	}
	for _, id := range c.Versions {
		if id == v {
			return true
		}
	}
	for _, id := range c.Models {
		if id == x.versions[v].Model {
			return true
		}
	}
	return false
}

func (x *index) allowedService(a fescuelatch.AccountID, s fescuelatch.ServiceID) bool {
	c, ok := x.accounts[a]
	if !ok {
		return false
	}
	for _, id := range c.Services {
		if id == s {
			return true
		}
	}
	return false
}

// executionKey returns the key under which a service counts a call.
func executionKey(r *load.Record) string {
	if r.Key != "" {
		return r.Key
	}
	return r.Nonce
}

// hash returns the form of an idempotency key in keys of the platform.
func hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
