package inventory_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/inventory"
)

func TestOnto(t *testing.T) {
	const hash = "30b9828d807423f041b43815b317dfbd42fc0aeab8af66578bafb0469f4f5d05"
	rules := "accounts:\n  - {id: press, key-hashes: [" + hash + "], models: [triage]}\n"
	overrides := fescuelatch.Overrides{
		Withdrawn:    []fescuelatch.VersionID{"triage@0", "triage@1"},
		DomainsOut:   []fescuelatch.DomainID{"kgl-a"},
		EndpointsOut: []fescuelatch.EndpointID{"w0"},
	}
	account := fescuelatch.Account{ID: "desk", KeyHashes: []string{strings.Repeat("0", 64)}}
	tests := []struct {
		name     string
		files    []file
		accounts []fescuelatch.AccountID
		rules    bool
	}{
		{"inventory alone keeps the rules", []file{{"a.yaml", validInventory}}, []fescuelatch.AccountID{"desk"}, false},
		{"rules in the files replace them", []file{{"a.yaml", validInventory}, {"rules.yaml", rules}}, []fescuelatch.AccountID{"press"}, true},
		{"an empty list of accounts removes them", []file{{"a.yaml", validInventory}, {"rules.yaml", "accounts: []\n"}}, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f, err := inventory.Load(write(t, tt.files))
			c.Assert(err, qt.IsNil)
			c.Check(f.HasRules(), qt.Equals, tt.rules)
			c.Check(f.HasInventory(), qt.IsTrue)
			base := &fescuelatch.Configuration{Generation: 7, Overrides: overrides}
			base.Rules.Accounts = []fescuelatch.Account{account}
			next := f.ApplyTo(base)
			c.Assert(f.Check(next), qt.IsNil)
			var ids []fescuelatch.AccountID
			for _, a := range next.Rules.Accounts {
				ids = append(ids, a.ID)
			}
			c.Check(ids, qt.DeepEquals, tt.accounts)
			// Overrides of removed entries are removed too.
			c.Check(next.Overrides, qt.DeepEquals, fescuelatch.Overrides{
				Withdrawn:  []fescuelatch.VersionID{"triage@1"},
				DomainsOut: []fescuelatch.DomainID{"kgl-a"},
			})
			c.Check(base.Overrides, qt.DeepEquals, overrides)
		})
	}
}

// Faults of rules from the active configuration have no position in the files.
func TestCheckActiveRules(t *testing.T) {
	c := qt.New(t)
	dir := write(t, []file{{"a.yaml", validInventory}})
	f, err := inventory.Load(dir)
	c.Assert(err, qt.IsNil)
	base := new(fescuelatch.Configuration)
	base.Rules.Accounts = []fescuelatch.Account{{
		ID: "desk", KeyHashes: []string{strings.Repeat("0", 64)}, Models: []fescuelatch.ModelID{"review"},
	}}
	c.Assert(faultLines(c, dir, f.Check(f.ApplyTo(base))), qt.DeepEquals, []string{
		`rules.accounts[0].models[0]: unknown model "review"`,
	})
}

func TestRulesOnto(t *testing.T) {
	c := qt.New(t)
	f, err := inventory.Load(write(t, []file{{"a.yaml", validInventory}, {"rules.yaml", "accounts: []\n"}}))
	c.Assert(err, qt.IsNil)
	base := &fescuelatch.Configuration{Generation: 7}
	base.Inventory.Models = []fescuelatch.Model{{ID: "review"}}
	base.Rules.Accounts = []fescuelatch.Account{{ID: "desk"}}
	next := f.ApplyRulesTo(base)
	c.Check(next.Rules.Accounts, qt.HasLen, 0)
	c.Check(next.Inventory, qt.DeepEquals, base.Inventory)
}
