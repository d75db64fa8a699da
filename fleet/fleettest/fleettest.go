// Package fleettest builds the programs once for all tests of a package and
// provides a small configuration.
package fleettest

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"fescuelatch"
)

var bin string

// Bin returns the directory of the programs built by Main.
func Bin() string { return bin }

// Main builds the programs, runs the tests of m and returns the exit status.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fescuelatch-test-")
	if err == nil {
		defer func() { _ = os.RemoveAll(dir) }()
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		return 1
	}
	bin = dir
	return m.Run()
}

// build builds the programs into dir.
func build(dir string) error {
	dir += string(filepath.Separator)
	c := exec.Command("go", "build", "-o", dir, "fescuelatch/cmd/fescuelatchd", "fescuelatch/cmd/standin") //nolint:gosec,noctx // The test binary has its own timeout.
	if out, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// Address parses s and panics if it is invalid.
func Address(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func vm(id fescuelatch.VMID, d fescuelatch.DomainID, ip string) fescuelatch.VM {
	return fescuelatch.VM{
		ID: id, Domain: d,
		Peer: Address(ip + ":7100"), Caller: Address(ip + ":7200"), Operator: Address(ip + ":7300"),
	}
}

// Small returns a configuration of two failure domains, "a" and "b", with a
// VM and a model engine each, and a plain service in "b". Its only account,
// "daily", may use all of them.
func Small() *fescuelatch.Configuration {
	return &fescuelatch.Configuration{
		Inventory: fescuelatch.Inventory{
			Domains:  []fescuelatch.FailureDomain{{ID: "a"}, {ID: "b"}},
			VMs:      []fescuelatch.VM{vm("a-1", "a", "127.77.1.1"), vm("b-1", "b", "127.77.2.1")},
			Models:   []fescuelatch.Model{{ID: "triage"}},
			Versions: []fescuelatch.Version{{ID: "triage@1", Model: "triage", Quality: 0.9, Weight: 1}},
			Pools: []fescuelatch.Pool{
				{ID: "models", Versions: []fescuelatch.VersionID{"triage@1"}, Slots: 8, ColdSlots: 2},
				{ID: "desks", Service: "desk", Slots: 8, ColdSlots: 2},
			},
			Endpoints: []fescuelatch.Endpoint{
				{ID: "a-model", Pool: "models", Domain: "a", Address: Address("127.77.1.11:7400")},
				{ID: "b-desk", Pool: "desks", Domain: "b", Address: Address("127.77.2.12:7400")},
				{ID: "b-model", Pool: "models", Domain: "b", Address: Address("127.77.2.11:7400")},
			},
			Services: []fescuelatch.Service{{ID: "desk", Operations: []fescuelatch.Operation{{ID: "ban"}}}},
		},
		Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{{
			ID: "daily", KeyHashes: []string{fescuelatch.HashKey("other")},
			Models: []fescuelatch.ModelID{"triage"}, Services: []fescuelatch.ServiceID{"desk"}, DefaultQuality: 0.8,
		}}},
	}
}
