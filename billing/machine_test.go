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

// This file is a state machine test that each safe bill is stored at the
// platform once, despite lost, late and rejected writes, an outage, failed
// copies, and daemons that are killed while another one still has the bills.

// daemon is a ledger and its keeper. The test performs the steps of Run.
type daemon struct {
	ledger *Ledger
	keeper *CopyStore
}

type machine struct {
	kv      *memory.KV
	network *memory.Network
	submit  keyvalue.Submitter
	now     time.Time
	daemons [3]*daemon
	started int
	bills   int
	// waiting maps each recorded bill to its batch.
	waiting map[string]*pendingBatch
	// safe holds the bills for which Record would have returned.
	safe map[string]bool
	// keyed maps a key to the request whose bill was first stored under it.
	keyed map[string]fescuelatch.RequestID
	// unresponsive holds the daemons that take no copies.
	unresponsive map[fescuelatch.Incarnation]bool
}

func newMachine(mutate func(keyvalue.Submitter) keyvalue.Submitter) *machine {
	kv := new(memory.KV)
	m := &machine{
		kv: kv, network: &memory.Network{KV: kv}, now: time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC),
		waiting: make(map[string]*pendingBatch), safe: make(map[string]bool),
		keyed: make(map[string]fescuelatch.RequestID), unresponsive: make(map[fescuelatch.Incarnation]bool),
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
	d := &daemon{keeper: &CopyStore{Submitter: m.submit, Now: func() time.Time { return m.now }}}
	d.ledger = &Ledger{
		Origin: fescuelatch.Incarnation(fmt.Sprint("incarnation-", m.started)), Submitter: m.submit, Copier: copier{m, i},
	}
	d.keeper.Copier = copier{m, i}
	m.daemons[i] = d
}

// copier copies to the other daemons; unresponsive ones fail.
type copier struct {
	machine *machine
	self    int
}

func (c copier) others() []*daemon {
	return append(slices.Clone(c.machine.daemons[c.self+1:]), c.machine.daemons[:c.self]...)
}

func (c copier) Hold(_ context.Context, b Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	var holders []fescuelatch.Incarnation
	var failed error
	for _, d := range c.others() {
		switch {
		case slices.Contains(held, d.ledger.Origin) || len(holders) == n:
		case c.machine.unresponsive[d.ledger.Origin]:
			failed = errors.New("a daemon is unresponsive")
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
	for _, d := range c.others() {
		if !c.machine.unresponsive[d.ledger.Origin] {
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
	for _, p := range d.ledger.takeUncopied() {
		d.ledger.copy(context.Background(), p)
	}
}

func (m *machine) write(t *rapid.T) {
	d := m.pick(t)
	unsafeOnly := rapid.Bool().Draw(t, "unsafe only")
	m.withFaults(t, func() { _ = d.ledger.writeBatches(context.Background(), unsafeOnly) })
}

func (m *machine) writeCopies(t *rapid.T) {
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

func (m *machine) toggleUnresponsive(t *rapid.T) {
	i := m.pick(t).ledger.Origin
	m.unresponsive[i] = !m.unresponsive[i]
}

func (m *machine) outage(t *rapid.T) { m.kv.SetDown(rapid.Bool().Draw(t, "down")) }

// kill replaces one or two daemons at once without a shutdown, after the others
// were notified of earlier losses. Two are killed at once only after the
// platform has the bills of those killed before.
func (m *machine) kill(t *rapid.T) {
	first := rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")
	second := rapid.IntRange(0, len(m.daemons)-1).Draw(t, "another daemon")
	if first == second {
		m.copyAll(t)
	} else {
		m.settle(t)
	}
	m.updateSafe()
	killed := []fescuelatch.Incarnation{m.daemons[first].ledger.Origin, m.daemons[second].ledger.Origin}
	for name, p := range m.waiting {
		if p.batch.Origin == "" || slices.Contains(killed, p.batch.Origin) {
			delete(m.waiting, name)
		}
	}
	m.start(first)
	m.start(second)
	for _, d := range m.daemons {
		d.ledger.PeerLost(killed[0])
		d.ledger.PeerLost(killed[1])
	}
	for _, d := range m.daemons {
		if d.keeper.PeerLost(context.Background(), killed[0]) != nil || d.keeper.PeerLost(context.Background(), killed[1]) != nil {
			t.Fatal("copies of lost holders were not replaced")
		}
	}
}

func (m *machine) deliverLate(t *rapid.T) {
	n := m.network.DelayedCount()
	if n == 0 {
		t.Skip("no delayed write")
	}
	m.network.DeliverDelayed(rapid.IntRange(0, n-1).Draw(t, "late"))
}

// settle ends all faults, writes the held copies and makes the missing ones. It
// does not flush the ledgers.
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

// copyAll makes all daemons responsive and performs all due copies.
func (m *machine) copyAll(t *rapid.T) {
	clear(m.unresponsive)
	for _, d := range m.daemons {
		for _, p := range d.ledger.takeUncopied() {
			d.ledger.copy(context.Background(), p)
		}
		if err := d.keeper.protect(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// updateSafe adds the bills that have become safe to m.safe.
func (m *machine) updateSafe() {
	for name, p := range m.waiting {
		select {
		case <-p.safe:
			m.safe[name] = true
		default:
		}
	}
}

// billCounts returns how often each request or key is billed at the platform.
func (m *machine) billCounts(t *rapid.T) map[string]int {
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
			t.Fatalf("the bill of key %s changed from %s to %s", b.Key, first, b.Request)
		}
		m.keyed[b.Key] = b.Request
	}
	return n
}

func (m *machine) check(t *rapid.T) {
	m.updateSafe()
	for name, n := range m.billCounts(t) {
		if n > 1 {
			t.Fatalf("%s is billed %d times", name, n)
		}
	}
}

// checkFinal flushes all live daemons and checks that no safe bill is missing.
func (m *machine) checkFinal(t *rapid.T) {
	m.settle(t)
	for m.network.DelayedCount() > 0 {
		m.network.DeliverDelayed(0)
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
	stored := m.billCounts(t)
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
		"record": m.record, "copy": m.copy, "write": m.write, "keep": m.writeCopies, "flush": m.flush, "silence": m.toggleUnresponsive,
		"outage": m.outage, "kill": m.kill, "late": m.deliverLate, "": m.check,
	})
	m.checkFinal(t)
}

func TestEachBillOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(nil).run(t) })
}

// TestDropStopsAtTheFirstUnwritten writes a later batch before an earlier one.
// The copy of the earlier batch must not be dropped.
func TestDropStopsAtTheFirstUnwritten(t *testing.T) {
	m := newMachine(nil)
	origin, holder := m.daemons[0], m.daemons[1]
	add := func(request fescuelatch.RequestID) {
		if _, err := origin.ledger.add(fescuelatch.Bill{Request: request, Account: "desk"}); err != nil {
			t.Fatal(err)
		}
		for _, p := range origin.ledger.takeUncopied() {
			origin.ledger.copy(context.Background(), p)
		}
	}
	add("first")
	m.unresponsive[holder.ledger.Origin] = true
	add("second")
	m.unresponsive[holder.ledger.Origin] = false
	if err := origin.ledger.writeBatches(context.Background(), true); err != nil {
		t.Fatal(err)
	}
	if n := holder.keeper.Stats().Waiting; n != 1 {
		t.Fatalf("the holder has %d bills, want 1 of the first batch", n)
	}
	if err := origin.ledger.writeBatches(context.Background(), false); err != nil {
		t.Fatal(err)
	}
	if n := holder.keeper.Stats().Waiting; n != 0 {
		t.Fatalf("the holder has %d bills, want none", n)
	}
}
