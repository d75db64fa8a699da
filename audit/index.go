package audit

import (
	"crypto/sha256"
	"encoding/hex"

	"fescuelatch"
	"fescuelatch/load"
)

// This file defines the index of evidence shared by the checks.

// index holds evidence with its records by key.
type index struct {
	*Evidence
	accounts map[fescuelatch.AccountID]*fescuelatch.Account
	versions map[fescuelatch.VersionID]fescuelatch.Version
	// byRequest has the record of the call that returned a request ID.
	byRequest map[fescuelatch.RequestID]*load.Record
	// byNonce has all calls of a caller's request: the first and its repeats.
	byNonce map[string][]*load.Record
	// executions counts the executions by executionKey.
	executions map[string]int
	// runs counts the attempts of a request that got an engine slot.
	runs map[fescuelatch.RequestID]int
}

func newIndex(e *Evidence) *index {
	x := &index{
		Evidence:   e,
		accounts:   make(map[fescuelatch.AccountID]*fescuelatch.Account),
		versions:   make(map[fescuelatch.VersionID]fescuelatch.Version),
		byRequest:  make(map[fescuelatch.RequestID]*load.Record),
		byNonce:    make(map[string][]*load.Record),
		executions: make(map[string]int),
		runs:       make(map[fescuelatch.RequestID]int),
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

// countRuns counts the executions and the attempts that got a slot.
func (x *index) countRuns() {
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		for _, c := range l.Executions {
			x.executions[c.Key]++
		}
		for k := range l.Starts {
			if s := &l.Starts[k]; !s.Started.IsZero() {
				x.runs[s.Request()]++
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

// executionKey returns the key under which a service records a call.
func executionKey(r *load.Record) string {
	if r.Key != "" {
		return r.Key
	}
	return r.Nonce
}

// hashKey returns the hashed form that idempotency keys have at the platform.
func hashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
