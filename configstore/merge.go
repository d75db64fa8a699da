package configstore

import (
	"sort"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how several changes are applied as one. Each application
// decodes and digests the whole configuration, which is the greater part of
// its cost.

// applyAll returns the configuration that the changes lead to. Changes that c
// already has in it are skipped. The digest of the last one is checked, which
// covers all before it.
func applyAll(c *fescuelatch.Configuration, changes []fescuelatch.Change) (*fescuelatch.Configuration, error) {
	puts := make(map[fescuelatch.EntryKey]fescuelatch.Entry)
	deletes := make(map[fescuelatch.EntryKey]bool)
	now := c.Generation
	var last *fescuelatch.Change
	for i := range changes {
		d := &changes[i]
		if d.Base < now {
			continue
		}
		if d.Base > now {
			return nil, errors.Errorf("change %s has base %d, have %d", d.ID, d.Base, now)
		}
		collect(d, puts, deletes)
		now, last = d.Generation(), d
	}
	if last == nil {
		return c, nil
	}
	base := *c
	base.Generation = last.Base
	merged := *last
	merged.Put, merged.Delete = ordered(puts, deletes)
	return base.Apply(&merged)
}

// collect adds a change to what the changes before it put and delete. Within
// a change deletions come first.
func collect(d *fescuelatch.Change, puts map[fescuelatch.EntryKey]fescuelatch.Entry, deletes map[fescuelatch.EntryKey]bool) {
	for _, k := range d.Delete {
		delete(puts, k)
		deletes[k] = true
	}
	for _, e := range d.Put {
		puts[e.EntryKey] = e
	}
}

func ordered(puts map[fescuelatch.EntryKey]fescuelatch.Entry, deletes map[fescuelatch.EntryKey]bool) ([]fescuelatch.Entry, []fescuelatch.EntryKey) {
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
