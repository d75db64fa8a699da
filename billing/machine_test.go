package billing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests, as a state machine, that each bill that was safe arrives
// at the platform once: with lost, late and refused writes, an outage, copies
// that fail, and daemons that are killed while another one still has the
// bills.

// daemon is a ledger with the keeper beside it. The test makes the steps of
// Run one by one.
type daemon struct {
	ledger *Ledger
	keeper *Keeper
}

type machine struct {
	kv      *memory.KV
	network *memory.Network
	submit  keyvalue.Submitter
	now     time.Time
	daemons [3]*daemon
	started int
	bills   int
	// waiting are the channels that tell when a bill is safe.
	waiting map[string]*pending
	// safe are the bills of which that has been told.
	safe map[string]bool
	// keyed is the request whose bill was first seen under a key.
	keyed map[string]fescuelatch.RequestID
	// silent are the daemons that hold no copies.
	silent map[fescuelatch.Incarnation]bool
}

func newMachine(mutate func(keyvalue.Submitter) keyvalue.Submitter) *machine {
	kv := new(memory.KV)
	m := &machine{
		kv: kv, network: &memory.Network{KV: kv}, now: time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC),
		waiting: make(map[string]*pending), safe: make(map[string]bool),
		keyed: make(map[string]fescuelatch.RequestID), silent: make(map[fescuelatch.Incarnation]bool),
	}
	m.submit = keyvalue.Direct{Transactor: m.network}
	if mutate != nil {
		m.submit = mutate(m.submit)
	}
	for i := range m.daemons {
		m.start(i)
	}
	return m
}

func (m *machine) start(i int) {
	m.started++
	d := &daemon{keeper: &Keeper{Submitter: m.submit, Now: func() time.Time { return m.now }}}
	d.ledger = &Ledger{
		Origin: fescuelatch.Incarnation(fmt.Sprint("incarnation-", m.started)), Submitter: m.submit, Copier: copier{m, i},
	}
	d.keeper.Copier = copier{m, i}
	m.daemons[i] = d
}

// copier copies to the other daemons, of which silent ones fail.
type copier struct {
	machine *machine
	self    int
}

// to returns the other daemons.
func (c copier) to() []*daemon {
	return append(slices.Clone(c.machine.daemons[c.self+1:]), c.machine.daemons[:c.self]...)
}

func (c copier) Hold(_ context.Context, b Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	var holders []fescuelatch.Incarnation
	var failed error
	for _, d := range c.to() {
		switch {
		case slices.Contains(held, d.ledger.Origin) || len(holders) == n:
		case c.machine.silent[d.ledger.Origin]:
			failed = errors.New("no peer")
		case d.keeper.Hold(b, c.machine.daemons[c.self].ledger.Origin) == nil:
			holders = append(holders, d.ledger.Origin)
		}
	}
	if len(holders) == n {
		failed = nil
	}
	return holders, failed
}

func (c copier) Drop(_ context.Context, o fescuelatch.Incarnation, through uint64) error {
	for _, d := range c.to() {
		if !c.machine.silent[d.ledger.Origin] {
			d.keeper.Drop(o, through)
		}
	}
	return nil
}

func (m *machine) withFaults(t *rapid.T, f func()) {
	faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 3).Draw(t, "deliveries")
	m.network.Next = func() memory.Delivery {
		if len(faults) == 0 {
			return memory.Deliver
		}
		d := faults[0]
		faults = faults[1:]
		return memory.Delivery(d)
	}
	f()
	m.network.Next = nil
}

func (m *machine) pick(t *rapid.T) *daemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
}

func (m *machine) record(t *rapid.T) {
	m.bills++
	b := fescuelatch.Bill{Request: fescuelatch.RequestID(fmt.Sprint("request-", m.bills)), Account: "desk"}
	name := string(b.Request)
	if rapid.IntRange(0, 3).Draw(t, "keyed") == 0 {
		b.Key = fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
		name = b.Key
	}
	p, err := m.pick(t).ledger.add(b)
	if err != nil {
		t.Fatal(err)
	}
	m.waiting[string(b.Request)+" "+name] = p
}

func (m *machine) copy(t *rapid.T) {
	d := m.pick(t)
	for _, p := range d.ledger.uncopied() {
		d.ledger.copy(context.Background(), p)
	}
}

func (m *machine) write(t *rapid.T) {
	d := m.pick(t)
	unsafeOnly := rapid.Bool().Draw(t, "unsafe only")
	m.withFaults(t, func() { _ = d.ledger.writeRun(context.Background(), unsafeOnly) })
}

func (m *machine) keep(t *rapid.T) {
	d := m.pick(t)
	m.now = m.now.Add(10 * time.Second)
	m.withFaults(t, func() {
		if run := d.keeper.oldest(DefaultHoldTime); len(run) > 0 {
			_ = d.keeper.write(context.Background(), run)
		}
	})
}

func (m *machine) flush(t *rapid.T) {
	d := m.pick(t)
	m.withFaults(t, func() { _ = d.ledger.Flush(context.Background()) })
}

func (m *machine) silence(t *rapid.T) {
	i := m.pick(t).ledger.Origin
	m.silent[i] = !m.silent[i]
}

func (m *machine) outage(t *rapid.T) { m.kv.SetDown(rapid.Bool().Draw(t, "down")) }

// kill replaces two daemons at once, or one, without a word. Others are killed
// only after the rest has learned of the former. Two are killed at once only
// after the platform has the bills of those that were killed before.
func (m *machine) kill(t *rapid.T) {
	first := rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")
	second := rapid.IntRange(0, len(m.daemons)-1).Draw(t, "another daemon")
	if first == second {
		m.copyAll(t)
	} else {
		m.settle(t)
	}
	m.noteSafe()
	killed := []fescuelatch.Incarnation{m.daemons[first].ledger.Origin, m.daemons[second].ledger.Origin}
	for name, p := range m.waiting {
		if p.batch.Origin == "" || slices.Contains(killed, p.batch.Origin) {
			delete(m.waiting, name)
		}
	}
	m.start(first)
	m.start(second)
	for _, d := range m.daemons {
		d.ledger.Lost(killed[0])
		d.ledger.Lost(killed[1])
	}
	for _, d := range m.daemons {
		if d.keeper.Lost(context.Background(), killed[0]) != nil || d.keeper.Lost(context.Background(), killed[1]) != nil {
			t.Fatal("copies were not made again")
		}
	}
}

func (m *machine) late(t *rapid.T) {
	n := m.network.LateCount()
	if n == 0 {
		t.Skip("nothing is late")
	}
	m.network.DeliverLate(rapid.IntRange(0, n-1).Draw(t, "late"))
}

// settle ends faults and writes what the daemons have, but for what is new at
// one of them.
func (m *machine) settle(t *rapid.T) {
	m.kv.SetDown(false)
	m.network.Next = nil
	for _, d := range m.daemons {
		if err := d.keeper.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	m.copyAll(t)
}

// copyAll ends the faults of daemons and has all copies made that are due.
func (m *machine) copyAll(t *rapid.T) {
	clear(m.silent)
	for _, d := range m.daemons {
		for _, p := range d.ledger.uncopied() {
			d.ledger.copy(context.Background(), p)
		}
		if err := d.keeper.protect(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// noteSafe notes the bills that Record has returned for.
func (m *machine) noteSafe() {
	for name, p := range m.waiting {
		select {
		case <-p.safe:
			m.safe[name] = true
		default:
		}
	}
}

// stored returns how often each request or key stands at the platform.
func (m *machine) stored(t *rapid.T) map[string]int {
	n := make(map[string]int)
	for _, v := range m.kv.Snapshot(prefixBatch) {
		var b Batch
		if err := json.Unmarshal(v.Value, &b); err != nil {
			t.Fatal(err)
		}
		for i := range b.Bills {
			n[string(b.Bills[i].Request)]++
		}
	}
	for _, v := range m.kv.Snapshot(prefixKey) {
		var b fescuelatch.Bill
		if err := json.Unmarshal(v.Value, &b); err != nil {
			t.Fatal(err)
		}
		n[b.Key]++
		if first, ok := m.keyed[b.Key]; ok && first != b.Request {
			t.Fatalf("the bill of %s was of %s and is of %s", b.Key, first, b.Request)
		}
		m.keyed[b.Key] = b.Request
	}
	return n
}

func (m *machine) check(t *rapid.T) {
	m.noteSafe()
	for name, n := range m.stored(t) {
		if n > 1 {
			t.Fatalf("%s is billed %d times", name, n)
		}
	}
}

// end lets all live daemons flush, and asserts that nothing safe is missing.
func (m *machine) end(t *rapid.T) {
	m.settle(t)
	for m.network.LateCount() > 0 {
		m.network.DeliverLate(0)
	}
	for _, d := range m.daemons {
		if err := d.ledger.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := d.keeper.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	m.check(t)
	stored := m.stored(t)
	for name := range m.safe {
		var request, billedAs string
		if _, err := fmt.Sscan(name, &request, &billedAs); err != nil {
			t.Fatal(err)
		}
		if stored[billedAs] != 1 {
			t.Fatalf("%s was safe and is billed %d times", name, stored[billedAs])
		}
	}
}

func (m *machine) run(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"record": m.record, "copy": m.copy, "write": m.write, "keep": m.keep, "flush": m.flush, "silence": m.silence,
		"outage": m.outage, "kill": m.kill, "late": m.late, "": m.check,
	})
	m.end(t)
}

func TestEachBillOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(nil).run(t) })
}

// TestDropStopsAtTheFirstUnwritten writes a later batch before an earlier one,
// whose copy must stay.
func TestDropStopsAtTheFirstUnwritten(t *testing.T) {
	m := newMachine(nil)
	origin, holder := m.daemons[0], m.daemons[1]
	add := func(request fescuelatch.RequestID) {
		if _, err := origin.ledger.add(fescuelatch.Bill{Request: request, Account: "desk"}); err != nil {
			t.Fatal(err)
		}
		for _, p := range origin.ledger.uncopied() {
			origin.ledger.copy(context.Background(), p)
		}
	}
	add("first")
	m.silent[holder.ledger.Origin] = true
	add("second")
	m.silent[holder.ledger.Origin] = false
	if err := origin.ledger.writeRun(context.Background(), true); err != nil {
		t.Fatal(err)
	}
	if n := holder.keeper.Stats().Waiting; n != 1 {
		t.Fatalf("the holder has %d bills, want that of the first batch", n)
	}
	if err := origin.ledger.writeRun(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	if n := holder.keeper.Stats().Waiting; n != 0 {
		t.Fatalf("the holder has %d bills, want none", n)
	}
}
