package configstore

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file tests that changes applied as one give the same configuration as
// changes applied one by one.

func TestApplyAllEqualsSequentialApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := new(fescuelatch.Configuration)
		current := start
		var changes []fescuelatch.Change
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			next := *current
			next.Inventory.Models = nil
			for id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "models") {
				next.Inventory.Models = append(next.Inventory.Models, fescuelatch.Model{ID: fescuelatch.ModelID(fmt.Sprint("m", id))})
			}
			d := fescuelatch.Diff(current, &next)
			d.ID = "c"
			after, err := current.Apply(&d)
			if err != nil {
				t.Fatal(err)
			}
			current = after
			changes = append(changes, d)
		}
		got, err := applyAll(start, changes)
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != current.Digest() || got.Generation != current.Generation {
			t.Fatalf("result differs from sequential application: generation %d, want %d", got.Generation, current.Generation)
		}
	})
}

// largeConfiguration returns a configuration of the fleet size that the design
// targets.
func largeConfiguration() *fescuelatch.Configuration {
	c := new(fescuelatch.Configuration)
	for i := range 21 {
		c.Inventory.Domains = append(c.Inventory.Domains, fescuelatch.FailureDomain{ID: fescuelatch.DomainID(fmt.Sprintf("domain-%02d", i)), Region: "region"})
	}
	for i := range 1100 {
		c.Inventory.VMs = append(c.Inventory.VMs, fescuelatch.VM{ID: fescuelatch.VMID(fmt.Sprintf("vm-%04d", i)), Domain: fescuelatch.DomainID(fmt.Sprintf("domain-%02d", i%21))})
	}
	for i := range 3500 {
		c.Inventory.Endpoints = append(c.Inventory.Endpoints, fescuelatch.Endpoint{ID: fescuelatch.EndpointID(fmt.Sprintf("endpoint-%04d", i)), Pool: "pool", Domain: fescuelatch.DomainID(fmt.Sprintf("domain-%02d", i%21))})
	}
	c.Generation = 64
	return c
}

// BenchmarkApplyOne measures the cost of applying a change in a large fleet.
func BenchmarkApplyOne(b *testing.B) {
	c := qt.New(b)
	current := largeConfiguration()
	next := *current
	next.Inventory.Endpoints = current.Inventory.Endpoints[1:]
	d := fescuelatch.Diff(current, &next)
	d.ID = "c"
	full, err := encodeFull(current)
	c.Assert(err, qt.IsNil)
	for b.Loop() {
		_, err := applyAll(current, []fescuelatch.Change{d})
		c.Assert(err, qt.IsNil)
	}
	b.ReportMetric(float64(len(full)), "full-bytes")
	b.ReportMetric(float64(len(mustJSON(current))), "json-bytes")
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
