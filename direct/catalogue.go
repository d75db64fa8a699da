package direct

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file builds the view used for decisions from the deployment, the
// releases in service and the rollouts in progress.

// accountPublic is the client account of requests on public routes, which need
// no key.
const accountPublic fescuelatch.AccountID = "(public)"

// unmatchableKeyHash matches no key.
var unmatchableKeyHash = strings.Repeat("0", 64)

// checkAccounts reports an account that has the identifier of the public one.
func checkAccounts(d *fescuelatch.Deployment) error {
	if slices.ContainsFunc(d.Accounts, func(a fescuelatch.Account) bool { return a.ID == accountPublic }) {
		return &Error{"check accounts", KindInvalid, errors.Errorf("account %q is that of public routes", accountPublic)}
	}
	return nil
}

// trafficSplit is the split of a service's traffic during a rollout.
type trafficSplit struct {
	target fescuelatch.ReleaseID
	share  float64 // fraction of requests sent to the target
	// sessions reports whether sessions may move to the target.
	sessions bool
}

// trafficSplitFunc returns the traffic split of a service, or false when it has no
// rollout.
type trafficSplitFunc func(fescuelatch.ServiceID) (trafficSplit, bool)

// rolledBackFunc returns the release of a service that is ordered and was found bad, or
// false when there is none.
type rolledBackFunc func(fescuelatch.ServiceID) (fescuelatch.ReleaseID, bool)

// composeView builds the view from the known state.
func composeView(k *storeView, regions map[fescuelatch.DomainID]string, divided trafficSplitFunc, rolledBack rolledBackFunc) (*fescuelatch.View, error) {
	c := &fescuelatch.Configuration{Generation: k.deployment.Generation}
	releases := slotsByRelease(k)
	var models []fescuelatch.ModelID
	for _, s := range k.deployment.Services {
		withdrawn := k.setAside(s.ID, releases[s.ID])
		for _, r := range withdrawn {
			releases[s.ID][r] = 0
		}
		if r, ok := rolledBack(s.ID); ok {
			withdrawn = append(withdrawn, r)
		}
		for _, r := range withdrawn {
			c.Overrides.Withdrawn = append(c.Overrides.Withdrawn, withdrawnVersions(s, r, releases[s.ID])...)
		}
		for _, m := range s.Models {
			models = append(models, m.ID)
			c.Inventory.Models = append(c.Inventory.Models, fescuelatch.Model{ID: m.ID})
			c.Inventory.Versions = append(c.Inventory.Versions, modelVersions(s.ID, m, releases[s.ID], divided)...)
		}
	}
	c.Inventory.Domains, c.Overrides.DomainsOut = failureDomains(k, regions)
	c.Rules.Accounts = clientAccounts(k.deployment, models)
	v, err := fescuelatch.NewView(c)
	if err != nil {
		return nil, &Error{"compose view", KindInvalid, err}
	}
	return v, nil
}

// slotsByRelease returns the total slots of each release by service.
func slotsByRelease(k *storeView) map[fescuelatch.ServiceID]map[fescuelatch.ReleaseID]int {
	releases := make(map[fescuelatch.ServiceID]map[fescuelatch.ReleaseID]int)
	for _, e := range k.endpoints {
		if releases[e.Service] == nil {
			releases[e.Service] = make(map[fescuelatch.ReleaseID]int)
		}
		releases[e.Service][e.Release] += e.Slots
	}
	return releases
}

// modelVersions returns the versions of a model in all releases, weighted by slots.
// During a rollout the target gets its share, and the others the rest.
func modelVersions(s fescuelatch.ServiceID, m fescuelatch.DeployedModel, slots map[fescuelatch.ReleaseID]int, divided trafficSplitFunc) []fescuelatch.Version {
	d, rolling := divided(s)
	otherSlots := 0
	for r, n := range slots {
		if r != d.target {
			otherSlots += n
		}
	}
	var vs []fescuelatch.Version
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		weight, sessions := float64(slots[r]), fescuelatch.SessionsKeep
		switch {
		case rolling && r == d.target:
			weight = d.share
			if !d.sessions {
				sessions = fescuelatch.SessionsExcluded
			}
		case rolling:
			weight = (1 - d.share) * float64(slots[r]) / float64(max(otherSlots, 1))
			if d.sessions {
				sessions = fescuelatch.SessionsMove
			}
		}
		vs = append(vs, fescuelatch.Version{
			ID: fescuelatch.NewVersionID(m.ID, r), Model: m.ID, Quality: 1,
			PromptCost: m.PromptCost, OutputCost: m.OutputCost, Weight: weight, Sessions: sessions,
		})
	}
	return vs
}

// withdrawnVersions returns the versions of a release that gets no requests, if it still has
// endpoints.
func withdrawnVersions(s fescuelatch.DeployedService, r fescuelatch.ReleaseID, slots map[fescuelatch.ReleaseID]int) []fescuelatch.VersionID {
	if _, ok := slots[r]; !ok {
		return nil
	}
	vs := make([]fescuelatch.VersionID, len(s.Models))
	for i, m := range s.Models {
		vs[i] = fescuelatch.NewVersionID(m.ID, r)
	}
	return vs
}

// failureDomains returns all failure domains, and those taken out of service.
func failureDomains(k *storeView, regions map[fescuelatch.DomainID]string) ([]fescuelatch.FailureDomain, []fescuelatch.DomainID) {
	all := make(map[fescuelatch.DomainID]string, len(regions))
	maps.Copy(all, regions)
	for _, e := range k.endpoints {
		if _, ok := all[e.Endpoint.Domain]; !ok {
			all[e.Endpoint.Domain] = ""
		}
	}
	var domains []fescuelatch.FailureDomain
	var out []fescuelatch.DomainID
	for _, d := range slices.Sorted(maps.Keys(all)) {
		domains = append(domains, fescuelatch.FailureDomain{ID: d, Region: all[d]})
		if k.domainsOut[d] {
			out = append(out, d)
		}
	}
	return domains, out
}

// clientAccounts returns the accounts with a key and the public one. Every account
// may use every model: routes restrict which models are served.
func clientAccounts(d *fescuelatch.Deployment, models []fescuelatch.ModelID) []fescuelatch.Account {
	used := make(map[string]bool)
	accounts := []fescuelatch.Account{{ID: accountPublic, KeyHashes: []string{unmatchableKeyHash}, Models: models}}
	for _, a := range d.Accounts {
		a.KeyHashes = slices.DeleteFunc(slices.Clone(a.KeyHashes), func(h string) bool {
			duplicate := used[h]
			used[h] = true
			return duplicate
		})
		if len(a.KeyHashes) > 0 {
			a.Models = models
			accounts = append(accounts, a)
		}
	}
	return accounts
}

// ownedEndpoints returns the registered endpoints in the form the gate takes.
func ownedEndpoints(k *storeView, v *fescuelatch.View) []fescuelatch.OwnedEndpoint {
	var list []fescuelatch.OwnedEndpoint
	for _, e := range k.endpoints {
		s, ok := k.deployment.Service(e.Service)
		if !ok {
			continue
		}
		o := fescuelatch.OwnedEndpoint{
			Endpoint: e.Endpoint, Share: 1, Process: e.ProcessStarted,
			Out:      e.Leaving || v.DomainOut(e.Endpoint.Domain),
			ColdRate: s.ColdRate, Connections: s.Connections, CacheTokens: s.CacheTokens,
			Pool: fescuelatch.Pool{ID: e.Endpoint.Pool, Slots: e.Slots, ColdSlots: 1},
		}
		if e.ColdFor > 0 {
			o.ColdUntil = e.receivedAt.Add(e.ColdFor + coldStartMargin)
		}
		for _, m := range s.Models {
			o.Pool.Versions = append(o.Pool.Versions, fescuelatch.NewVersionID(m.ID, e.Release))
		}
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b fescuelatch.OwnedEndpoint) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return list
}

// coldStartMargin is added to a cold start, whose end may differ slightly from what
// the endpoint reported.
const coldStartMargin = 200 * time.Millisecond
