package configstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/keyvalue/memory"
)

// This file tests the store with one operator or two concurrent ones.

var changeTime = time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)

func newStore(kv *memory.KV) *configstore.Store {
	return &configstore.Store{KV: kv, Retry: configstore.Retry{Initial: time.Millisecond, Max: 2 * time.Millisecond}}
}

// addModel returns a change that adds a model to c.
func addModel(c *fescuelatch.Configuration, id string) *fescuelatch.Change {
	next := *c
	next.Inventory.Models = append(append([]fescuelatch.Model(nil), c.Inventory.Models...), fescuelatch.Model{ID: fescuelatch.ModelID(id)})
	d := fescuelatch.Diff(c, &next)
	d.ID, d.Author, d.At = fescuelatch.ChangeID("change-"+id), "operator", changeTime
	return &d
}

// propose loads the newest configuration and proposes another model.
func propose(c *qt.C, s *configstore.Store, id string) *fescuelatch.Configuration {
	c.Helper()
	current, err := s.Load(context.Background())
	c.Assert(err, qt.IsNil)
	next, err := s.Propose(context.Background(), addModel(current, id))
	c.Assert(err, qt.IsNil)
	return next
}

func TestProposeAndLoad(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := newStore(new(memory.KV))
	empty, err := s.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(empty.Generation, qt.Equals, fescuelatch.Generation(0))
	for n := range 130 {
		propose(c, s, fmt.Sprintf("m-%04d", n))
	}
	current, err := s.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(current.Generation, qt.Equals, fescuelatch.Generation(130))
	c.Check(current.Inventory.Models, qt.HasLen, 130)
	history, err := s.History(ctx, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, 3)
	c.Check(history[0].ID, qt.Equals, fescuelatch.ChangeID("change-m-0129"))
	c.Check(history[2].ID, qt.Equals, fescuelatch.ChangeID("change-m-0127"))
}

func TestConflictReportsTheWinner(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := newStore(new(memory.KV))
	base := propose(c, s, "base")
	first, second := addModel(base, "first"), addModel(base, "second")
	_, err := s.Propose(ctx, first)
	c.Assert(err, qt.IsNil)
	propose(c, s, "third")
	_, err = s.Propose(ctx, second)
	c.Assert(configstore.KindOf(err), qt.Equals, configstore.KindConflict)
	var e *configstore.Error
	c.Assert(err, qt.ErrorAs, &e)
	c.Check(e.Winner.ID, qt.Equals, first.ID)
	// Proposing the same change again succeeds without applying it twice.
	current, err := s.Propose(ctx, first)
	c.Assert(err, qt.IsNil)
	c.Check(current.Generation, qt.Equals, fescuelatch.Generation(3))
}

func TestInvalidChangesAreRejected(t *testing.T) {
	c := qt.New(t)
	base := propose(c, newStore(new(memory.KV)), "base")
	tests := []struct {
		name string
		edit func(*fescuelatch.Change)
	}{
		{"no identifier", func(d *fescuelatch.Change) { d.ID = "" }},
		{"no author", func(d *fescuelatch.Change) { d.Author = "" }},
		{"empty", func(d *fescuelatch.Change) { d.Put = nil }},
		{"other digest", func(d *fescuelatch.Change) { d.Digest = "0" }},
		{"base ahead of the head", func(d *fescuelatch.Change) { d.Base = 9 }},
		{"unknown kind", func(d *fescuelatch.Change) { d.Put[0].Kind = "zone" }},
		{"invalid configuration", func(d *fescuelatch.Change) {
			next := *base
			next.Overrides.Withdrawn = []fescuelatch.VersionID{"no@version"}
			diff := fescuelatch.Diff(base, &next)
			d.Put, d.Digest = diff.Put, diff.Digest
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			s := newStore(kv)
			d := addModel(propose(c, s, "base"), "next")
			test.edit(d)
			_, err := s.Propose(context.Background(), d)
			c.Check(configstore.KindOf(err), qt.Equals, configstore.KindInvalid, qt.Commentf("%v", err))
			current, err := s.Load(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(current.Generation, qt.Equals, fescuelatch.Generation(1))
		})
	}
}

func TestOutageAndLostResponses(t *testing.T) {
	tests := []struct {
		name     string
		faults   func(memory.Call) memory.Fault
		kind     configstore.ErrorKind
		accepted bool
	}{
		{"first response lost", loseFirstAnswer(), "", true},
		{"outage", func(call memory.Call) memory.Fault {
			return memory.Fault{Before: memory.Unavailable(call.Op)}
		}, configstore.KindUnavailable, false},
		{"writes unavailable", func(call memory.Call) memory.Fault {
			if call.Write {
				return memory.Fault{Before: memory.Unavailable(call.Op)}
			}
			return memory.Fault{}
		}, configstore.KindUnavailable, false},
		{"response lost, then outage", loseAnswerThenOutage(), configstore.KindUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			s := newStore(kv)
			d := addModel(propose(c, s, "base"), "next")
			kv.Faults = test.faults
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := s.Propose(ctx, d)
			c.Check(configstore.KindOf(err), qt.Equals, test.kind, qt.Commentf("%v", err))
			kv.Faults = nil
			current, err := s.Load(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(current.Generation == 2, qt.Equals, test.accepted)
			// Proposing the change again determines the outcome.
			_, err = s.Propose(context.Background(), d)
			c.Check(err, qt.IsNil)
			current, err = s.Load(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(current.Generation, qt.Equals, fescuelatch.Generation(2))
		})
	}
}

func loseFirstAnswer() func(memory.Call) memory.Fault {
	lost := false
	return func(call memory.Call) memory.Fault {
		if !call.Write || lost {
			return memory.Fault{}
		}
		lost = true
		return memory.Fault{After: memory.ResponseLost(call.Op)}
	}
}

func loseAnswerThenOutage() func(memory.Call) memory.Fault {
	lost := false
	return func(call memory.Call) memory.Fault {
		if lost {
			return memory.Fault{Before: memory.Unavailable(call.Op)}
		}
		lost = call.Write
		if lost {
			return memory.Fault{After: memory.ResponseLost(call.Op)}
		}
		return memory.Fault{}
	}
}

func TestCorruptStoreIsReported(t *testing.T) {
	tests := []struct {
		name string
		key  string
		edit func([]byte) []byte
	}{
		{"head", "fescuelatch/config/head", func([]byte) []byte { return []byte(`{"generation":0}`) }},
		{"head's digest", "fescuelatch/config/head", func([]byte) []byte {
			return []byte(`{"generation":3,"digest":"0","change":"x"}`)
		}},
		{"change", "fescuelatch/config/change/00000000000000000002", func(b []byte) []byte { return b[1:] }},
		{"full", "fescuelatch/config/full/00000000000000000001", func(b []byte) []byte { return b[:len(b)/2] }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			kv := new(memory.KV)
			s := newStore(kv)
			for _, m := range []string{"a", "b", "c"} {
				propose(c, s, m)
			}
			old, err := kv.Get(ctx, test.key)
			c.Assert(err, qt.IsNil)
			p := &fescuelatch.KVPut{Key: test.key, Value: test.edit(old.Value)}
			_, err = kv.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Put: p}}})
			c.Assert(err, qt.IsNil)
			_, err = s.Load(ctx)
			c.Check(configstore.KindOf(err), qt.Equals, configstore.KindCorrupt, qt.Commentf("%v", err))
		})
	}
}

func TestOldChangesArePruned(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := new(memory.KV)
	s := newStore(kv)
	s.Retain = 64
	// The changes toggle one model to keep the configurations small.
	current, err := s.Load(ctx)
	c.Assert(err, qt.IsNil)
	first := addModel(current, "toggled")
	for n := range 200 {
		d := addModel(current, "toggled")
		if n%2 == 1 {
			next := *current
			next.Inventory.Models = nil
			diff := fescuelatch.Diff(current, &next)
			d = &diff
			d.Author = "operator"
		}
		d.ID = fescuelatch.ChangeID(fmt.Sprint("change-", n))
		current, err = s.Propose(ctx, d)
		c.Assert(err, qt.IsNil)
	}
	// Generations 128 and 192 each pruned an interval of changes and the full
	// configuration before it, and are themselves stored as full ones.
	c.Check(len(kv.Snapshot("fescuelatch/config/change/")), qt.Equals, 200-2*64)
	c.Check(len(kv.Snapshot("fescuelatch/config/full/")), qt.Equals, 4-2)
	got, err := s.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(got.Digest(), qt.Equals, current.Digest())
	_, err = s.Propose(ctx, first)
	c.Check(configstore.KindOf(err), qt.Equals, configstore.KindUnknown)
}

func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"generation":1,"digest":"d","change":"c"}`))
	f.Add([]byte(`{"id":"c","base":0,"author":"a","at":"2026-11-30T12:00:00Z","digest":"d"}`))
	f.Add([]byte(`{"generation":1}`))
	f.Add([]byte{0x1f, 0x8b, 0x08})
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		ctx := context.Background()
		for _, key := range []string{"head", "change/00000000000000000001", "full/00000000000000000001"} {
			kv := new(memory.KV)
			h, _ := json.Marshal(map[string]any{"generation": 1, "digest": "d", "change": "c"})
			for k, v := range map[string][]byte{"head": h, key: b} {
				p := &fescuelatch.KVPut{Key: "fescuelatch/config/" + k, Value: v}
				if _, err := kv.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Put: p}}}); err != nil {
					t.Fatal(err)
				}
			}
			s := newStore(kv)
			if c, err := s.Load(ctx); err == nil && c.Digest() != "d" {
				t.Fatalf("loaded a configuration whose digest is not that of the head")
			}
			_, _ = s.History(ctx, 10)
		}
	})
}
