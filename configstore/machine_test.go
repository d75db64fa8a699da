package configstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/keyvalue/memory"
)

// This file tests concurrent operators with lost, delayed and rejected writes
// as a state machine.

// faultyKV is a KV whose transactions pass through a Network.
type faultyKV struct {
	*memory.KV
	network *memory.Network
}

func (f faultyKV) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	return f.network.Txn(ctx, t)
}

const operators = 8

// machine is the state machine. Each operator keeps its own base, so that other
// steps can happen between reading and proposing.
type machine struct {
	kv          *memory.KV
	network     *memory.Network
	store       *configstore.Store
	holder      configstore.Holder
	follower    configstore.Follower
	bases       [operators]*fescuelatch.Configuration
	changeCount int
	outcome     map[fescuelatch.ChangeID]configstore.ErrorKind
	proposed    map[fescuelatch.ChangeID]*fescuelatch.Change
	highest     fescuelatch.Generation
}

func newMachine() *machine {
	kv := new(memory.KV)
	network := &memory.Network{KV: kv}
	m := &machine{
		kv: kv, network: network, store: newStore(kv),
		outcome:  make(map[fescuelatch.ChangeID]configstore.ErrorKind),
		proposed: make(map[fescuelatch.ChangeID]*fescuelatch.Change),
	}
	m.store.KV = faultyKV{kv, network}
	m.follower = configstore.Follower{Store: m.store, Holder: &m.holder}
	for i := range m.bases {
		m.bases[i] = new(fescuelatch.Configuration)
	}
	return m
}

const accepted configstore.ErrorKind = "accepted"

// proposeWithFaults proposes d under random faults and records the outcome.
func (m *machine) proposeWithFaults(t *rapid.T, d *fescuelatch.Change) {
	faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 3).Draw(t, "deliveries")
	m.network.Next = func() memory.Delivery {
		if len(faults) == 0 {
			return memory.Deliver
		}
		f := faults[0]
		faults = faults[1:]
		return memory.Delivery(f)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if rapid.Bool().Draw(t, "short timeout") {
		ctx, cancel = context.WithTimeout(context.Background(), 0)
		if rapid.Bool().Draw(t, "platform is slow") {
			ctx, cancel = context.WithTimeout(context.Background(), 2*time.Millisecond)
		}
		defer cancel()
	}
	_, err := m.store.Propose(ctx, d)
	m.network.Next = nil
	m.record(t, d, err)
}

func (m *machine) record(t *rapid.T, d *fescuelatch.Change, err error) {
	kind := configstore.KindOf(err)
	if err == nil {
		kind = accepted
	}
	was := m.outcome[d.ID]
	if was == accepted && (kind == configstore.KindConflict || kind == configstore.KindInvalid) {
		t.Fatalf("change %s was accepted, then %s", d.ID, kind)
	}
	if was == configstore.KindConflict && kind == accepted {
		t.Fatalf("change %s was rejected with a conflict, then accepted", d.ID)
	}
	m.proposed[d.ID] = d
	switch {
	case was == accepted, was == configstore.KindConflict:
	case was == configstore.KindUnknown && kind == configstore.KindUnavailable:
		// The earlier write may still be accepted.
	default:
		m.outcome[d.ID] = kind
	}
}

func (m *machine) read(t *rapid.T) {
	i := rapid.IntRange(0, operators-1).Draw(t, "operator")
	c, err := m.store.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	m.bases[i] = c
}

func (m *machine) propose(t *rapid.T) {
	i := rapid.IntRange(0, operators-1).Draw(t, "operator")
	m.changeCount++
	m.proposeWithFaults(t, addModel(m.bases[i], fmt.Sprintf("m-%04d", m.changeCount)))
}

func (m *machine) proposeAgain(t *rapid.T) {
	if m.changeCount == 0 {
		t.Skip("no change proposed yet")
	}
	id := fescuelatch.ChangeID(fmt.Sprintf("change-m-%04d", rapid.IntRange(1, m.changeCount).Draw(t, "change")))
	m.proposeWithFaults(t, m.proposed[id])
}

func (m *machine) deliverLate(t *rapid.T) {
	n := m.network.DelayedCount()
	if n == 0 {
		t.Skip("no delayed transaction")
	}
	m.network.DeliverDelayed(rapid.IntRange(0, n-1).Draw(t, "late"))
}

func (m *machine) follow(t *rapid.T) {
	if err := m.follower.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// check verifies that accepted changes are stored and rejected ones are not,
// that no change is stored twice and that generations do not decrease.
func (m *machine) check(t *rapid.T) {
	c, err := m.store.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if c.Generation < m.highest || m.holder.Generation() > c.Generation {
		t.Fatalf("stored generation %d after %d, active generation %d", c.Generation, m.highest, m.holder.Generation())
	}
	m.highest = c.Generation
	history, err := m.store.History(context.Background(), 1000)
	if err != nil {
		t.Fatal(err)
	}
	stored := make(map[fescuelatch.ChangeID]int)
	for i := range history {
		stored[history[i].ID]++
	}
	for id, kind := range m.outcome {
		n := stored[id]
		switch {
		case n > 1:
			t.Fatalf("change %s is stored %d times", id, n)
		case kind == accepted && n != 1:
			t.Fatalf("change %s was accepted but is not stored", id)
		case n != 0 && kind != accepted && kind != configstore.KindUnknown:
			t.Fatalf("change %s was reported as %q but is stored", id, kind)
		}
	}
	if len(c.Inventory.Models) != len(history) {
		t.Fatalf("%d models after %d changes", len(c.Inventory.Models), len(history))
	}
}

func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"read": m.read, "propose": m.propose, "repeat": m.proposeAgain, "late": m.deliverLate, "follow": m.follow,
			"": m.check,
		})
	})
}
