package inventory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/inventory"
)

func TestReadExamples(t *testing.T) {
	for _, tt := range []struct {
		fleet                             string
		domains, vms, endpoints, accounts int
	}{
		{"umurongo", 4, 8, 16, 10},
		{"kestrelmoor", 3, 6, 12, 10},
	} {
		t.Run(tt.fleet, func(t *testing.T) {
			c := qt.New(t)
			got, err := inventory.Read("../examples/" + tt.fleet)
			c.Assert(err, qt.IsNil)
			c.Check(got.Inventory.Domains, qt.HasLen, tt.domains)
			c.Check(got.Inventory.VMs, qt.HasLen, tt.vms)
			c.Check(got.Inventory.Endpoints, qt.HasLen, tt.endpoints)
			c.Check(got.Rules.Accounts, qt.HasLen, tt.accounts)
		})
	}
}
