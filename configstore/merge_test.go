package configstore

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file tests that changes applied as one lead where they lead one by one.

func TestApplyAllEqualsOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := new(fescuelatch.Configuration)
		now := start
		var changes []fescuelatch.Change
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			next := *now
			next.Inventory.Models = nil
			for id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "models") {
				next.Inventory.Models = append(next.Inventory.Models, fescuelatch.Model{ID: fescuelatch.ModelID(fmt.Sprint("m", id))})
			}
			d := fescuelatch.Diff(now, &next)
			d.ID = "c"
			after, err := now.Apply(&d)
			if err != nil {
				t.Fatal(err)
			}
			now = after
			changes = append(changes, d)
		}
		got, err := applyAll(start, changes)
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != now.Digest() || got.Generation != now.Generation {
			t.Fatalf("generation %d, one by one %d", got.Generation, now.Generation)
		}
	})
}

// fleet returns a configuration of the size that the design is made for.
func fleet() *fescuelatch.Configuration {
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

// BenchmarkApplyOne measures what a daemon of a large fleet spends on a
// change.
func BenchmarkApplyOne(b *testing.B) {
	c := qt.New(b)
	now := fleet()
	next := *now
	next.Inventory.Endpoints = now.Inventory.Endpoints[1:]
	d := fescuelatch.Diff(now, &next)
	d.ID = "c"
	full, err := encodeFull(now)
	c.Assert(err, qt.IsNil)
	for b.Loop() {
		_, err := applyAll(now, []fescuelatch.Change{d})
		c.Assert(err, qt.IsNil)
	}
	b.ReportMetric(float64(len(full)), "full-bytes")
	b.ReportMetric(float64(len(mustJSON(now))), "json-bytes")
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
