package configstore

import (
	"sort"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how several changes are applied as one. Decoding and
// digesting the whole configuration is most of the cost of each application.

// applyAll returns the result of applying changes to c. Changes that c already
// contains are skipped. Only the digest of the last change is verified; it
// covers all earlier ones.
func applyAll(c *fescuelatch.Configuration, changes []fescuelatch.Change) (*fescuelatch.Configuration, error) {
	puts := make(map[fescuelatch.EntryKey]fescuelatch.Entry)
	deletes := make(map[fescuelatch.EntryKey]bool)
	generation := c.Generation
	var last *fescuelatch.Change
	for i := range changes {
		d := &changes[i]
		if d.Base < generation {
			continue
		}
		if d.Base > generation {
			return nil, errors.Errorf("change %s has base generation %d, but the configuration has generation %d", d.ID, d.Base, generation)
		}
		mergeChange(d, puts, deletes)
		generation, last = d.Generation(), d
	}
	if last == nil {
		return c, nil
	}
	base := *c
	base.Generation = last.Base
	merged := *last
	merged.Put, merged.Delete = sortedEntries(puts, deletes)
	return base.Apply(&merged)
}

// mergeChange adds the entries of d to the merged puts and deletes. Within a
// change, deletions come first.
func mergeChange(d *fescuelatch.Change, puts map[fescuelatch.EntryKey]fescuelatch.Entry, deletes map[fescuelatch.EntryKey]bool) {
	for _, k := range d.Delete {
		delete(puts, k)
		deletes[k] = true
	}
	for _, e := range d.Put {
		puts[e.EntryKey] = e
	}
}

func sortedEntries(puts map[fescuelatch.EntryKey]fescuelatch.Entry, deletes map[fescuelatch.EntryKey]bool) ([]fescuelatch.Entry, []fescuelatch.EntryKey) {
	var es []fescuelatch.Entry
	for _, e := range puts {
		es = append(es, e)
	}
	sort.Slice(es, func(i, j int) bool { return less(es[i].EntryKey, es[j].EntryKey) })
	var ks []fescuelatch.EntryKey
	for k := range deletes {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return less(ks[i], ks[j]) })
	return es, ks
}

func less(a, b fescuelatch.EntryKey) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.ID < b.ID
}
