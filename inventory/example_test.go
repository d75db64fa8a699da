package inventory_test

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/inventory"
)

func ExampleRead() {
	c, err := inventory.Read("../examples/kestrelmoor")
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, d := range c.Inventory.Domains {
		fmt.Println(d.ID, d.Region)
	}
	// Output:
	// dub-a eu-dublin
	// dub-b eu-dublin
	// dub-c eu-dublin
}

func ExampleRead_faults() {
	dir, err := os.MkdirTemp("", "inventory")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	name := filepath.Join(dir, "vms.csv")
	text := "id,failure-domain,peer-address,caller-address,operator-address\n" +
		"dub-a-vm-1,dub-a,127.0.0.1:7100,127.0.0.1:7200,127.0.0.1\n"
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	_, err = inventory.Read(name)
	var e *inventory.Error
	if errors.As(err, &e) {
		for _, f := range e.Faults {
			fmt.Printf("line %d, column %d: %s: %s\n", f.Line, f.Column, f.Field, f.Message)
		}
	}
	// Output:
	// line 2, column 12: vms[dub-a-vm-1].failure-domain: unknown failure domain "dub-a"
	// line 2, column 48: vms[dub-a-vm-1].operator-address: not an ip:port
}

func ExampleWriteDiff() {
	base, err := inventory.Read("../examples/umurongo")
	if err != nil {
		fmt.Println(err)
		return
	}
	next := *base
	next.Inventory.Versions = append([]fescuelatch.Version(nil), base.Inventory.Versions...)
	next.Inventory.Versions[0].Weight = 0.5
	next.Overrides.DomainsOut = []fescuelatch.DomainID{"kgl-c"}
	change := fescuelatch.Diff(base, &next)
	if err := inventory.WriteDiff(os.Stdout, inventory.Diff(base, &change)); err != nil {
		fmt.Println(err)
	}
	// Output:
	// ~ overrides
	//     failure-domains-out: (none) -> kgl-c
	// ~ version review@large-5
	//     weight: 1 -> 0.5
}
