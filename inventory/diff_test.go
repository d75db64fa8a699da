package inventory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/inventory"
)

func TestDiff(t *testing.T) {
	base := func() *fescuelatch.Configuration {
		c := new(fescuelatch.Configuration)
		c.Inventory.Models = []fescuelatch.Model{{ID: "triage"}}
		c.Inventory.Services = []fescuelatch.Service{{ID: "desk", Operations: []fescuelatch.Operation{
			{ID: "ban", Cost: 500}, {ID: "takedown", Cost: 500},
		}}}
		c.Rules.Accounts = []fescuelatch.Account{{ID: "press", KeyHashes: []string{"a"}, Models: []fescuelatch.ModelID{"triage"}, Share: 2}}
		return c
	}
	tests := []struct {
		name string
		edit func(c *fescuelatch.Configuration)
		want []inventory.EntryDiff
	}{
		{"nothing", func(*fescuelatch.Configuration) {}, nil},
		{"added", func(c *fescuelatch.Configuration) {
			c.Inventory.Domains = []fescuelatch.FailureDomain{{ID: "kgl-a", Region: "rw-central"}}
		}, []inventory.EntryDiff{{
			Action: inventory.ActionAdd, Kind: fescuelatch.EntryDomain, ID: "kgl-a",
			Fields: []inventory.FieldDiff{{Field: "id", Becomes: "kgl-a"}, {Field: "region", Becomes: "rw-central"}},
		}}},
		{"removed", func(c *fescuelatch.Configuration) { c.Inventory.Models = nil }, []inventory.EntryDiff{
			{Action: inventory.ActionRemove, Kind: fescuelatch.EntryModel, ID: "triage"},
		}},
		{"field of an element", func(c *fescuelatch.Configuration) {
			c.Inventory.Services[0].Operations = []fescuelatch.Operation{{ID: "takedown", Cost: 600}}
		}, []inventory.EntryDiff{{
			Action: inventory.ActionChange, Kind: fescuelatch.EntryService, ID: "desk",
			Fields: []inventory.FieldDiff{
				{Field: "operations[takedown].cost", Was: "500", Becomes: "600"},
				{Field: "operations[ban].id", Was: "ban"},
				{Field: "operations[ban].idempotent", Was: "false"},
				{Field: "operations[ban].cost", Was: "500"},
			},
		}}},
		{"list and a field left out", func(c *fescuelatch.Configuration) {
			c.Rules.Accounts[0].KeyHashes = []string{"a", "b"}
			c.Rules.Accounts[0].Share = 0
		}, []inventory.EntryDiff{{
			Action: inventory.ActionChange, Kind: fescuelatch.EntryAccount, ID: "press",
			Fields: []inventory.FieldDiff{
				{Field: "key-hashes", Was: "a", Becomes: "a b"},
				{Field: "share", Was: "2"},
			},
		}}},
		{"override", func(c *fescuelatch.Configuration) { c.Overrides.Withdrawn = []fescuelatch.VersionID{"triage@1"} }, []inventory.EntryDiff{{
			Action: inventory.ActionChange, Kind: fescuelatch.EntryOverrides,
			Fields: []inventory.FieldDiff{{Field: "withdrawn", Becomes: "triage@1"}},
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			was, next := base(), base()
			tt.edit(next)
			change := fescuelatch.Diff(was, next)
			c.Assert(inventory.Diff(was, &change), qt.DeepEquals, tt.want)
		})
	}
}
