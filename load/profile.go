// Package load generates caller traffic. It plans an open loop of Poisson
// arrivals from a seed, sends the calls to the caller addresses of a fleet and
// checks each answer.
//
// Plan has no side effects. A Runner starts a goroutine for each call; all of
// them end before Run returns.
package load

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines profiles, which describe the traffic to generate.

// Profile describes the traffic of one run. Shares are from 0 to 1.
type Profile struct {
	// Rate is the mean number of arrivals per second.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration"`
	Seed     uint64        `json:"seed"`
	// Run is a run identifier that makes nonces and keys unique to the run.
	Run      string    `json:"run"`
	Accounts []Account `json:"-"`
	Mix      Mix       `json:"mix"`
	// Bursts are additional arrivals of single accounts.
	Bursts []Burst `json:"bursts,omitempty"`
}

// Mix holds the shares of the kinds of calls.
type Mix struct {
	// Service is the share of calls to plain services among the calls of
	// accounts that may use both services and models.
	Service float64 `json:"service"`
	// Streamed is the share of model calls whose answer is streamed.
	Streamed float64 `json:"streamed"`
	// Session is the share of model calls that belong to a session.
	Session float64 `json:"session"`
	// Auto and Pinned are the shares of model calls that name "auto" or a
	// version; the others name a model.
	Auto   float64 `json:"auto"`
	Pinned float64 `json:"pinned"`
	// RequiredQuality is the share of model calls that state a required quality.
	RequiredQuality float64 `json:"own-quality"`
	// KeyedModel is the share of model calls with an idempotency key.
	KeyedModel float64 `json:"keyed-model"`
	// Keyless is the share of service calls without an idempotency key.
	Keyless float64 `json:"keyless"`
	// Repeated is the share of keyed calls that are sent twice.
	Repeated float64 `json:"repeated"`
	// Forbidden is the share of model calls that name a version that the
	// account may not use, if there is one.
	Forbidden float64 `json:"forbidden"`
	// MinTokens and MaxTokens bound the length of answers.
	MinTokens int `json:"min-tokens"`
	MaxTokens int `json:"max-tokens"`
	// Timeout is the caller's timeout for a request.
	Timeout time.Duration `json:"timeout"`
}

// DefaultMix returns the mix of ordinary traffic.
func DefaultMix() Mix {
	return Mix{
		Service: 0.25, Streamed: 0.6, Session: 0.3, Auto: 0.1, Pinned: 0.1,
		RequiredQuality: 0.4, KeyedModel: 0.1, Keyless: 0.2, Repeated: 0.3, Forbidden: 0.02,
		MinTokens: 8, MaxTokens: 48, Timeout: 10 * time.Second,
	}
}

// Burst is additional traffic of one account.
type Burst struct {
	Account fescuelatch.AccountID `json:"account"`
	From    time.Duration         `json:"from"`
	To      time.Duration         `json:"to"`
	Rate    float64               `json:"rate"` // arrivals per second
}

// Account is a client account as seen by its caller.
type Account struct {
	ID  fescuelatch.AccountID
	Key string
	// Weight is the account's relative share of the arrivals.
	Weight   float64
	Models   []fescuelatch.ModelID
	Versions []fescuelatch.VersionID
	// Others are the versions that the account may not use.
	Others []fescuelatch.VersionID
	Calls  []ServiceCall
}

// ServiceCall is an operation that an account may call.
type ServiceCall struct {
	Service   fescuelatch.ServiceID
	Operation fescuelatch.Operation
}

// AccountsOf returns the accounts of a configuration with the models,
// versions and services that each may use. It omits accounts without a key.
func AccountsOf(c *fescuelatch.Configuration, keys map[fescuelatch.AccountID]string) []Account {
	var as []Account
	for n := range c.Rules.Accounts {
		r := &c.Rules.Accounts[n]
		key, ok := keys[r.ID]
		if !ok {
			continue
		}
		a := Account{ID: r.ID, Key: key, Weight: r.Share, Models: r.Models}
		if a.Weight <= 0 {
			a.Weight = 1
		}
		for _, v := range c.Inventory.Versions {
			if slices.Contains(r.Models, v.Model) || slices.Contains(r.Versions, v.ID) {
				a.Versions = append(a.Versions, v.ID)
			} else {
				a.Others = append(a.Others, v.ID)
			}
		}
		for _, s := range c.Inventory.Services {
			if slices.Contains(r.Services, s.ID) {
				a.Calls = append(a.Calls, serviceCalls(s)...)
			}
		}
		as = append(as, a)
	}
	return as
}

func serviceCalls(s fescuelatch.Service) []ServiceCall {
	var cs []ServiceCall
	for _, o := range s.Operations {
		cs = append(cs, ServiceCall{Service: s.ID, Operation: o})
	}
	return cs
}
