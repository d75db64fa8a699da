package claim

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file is a state machine test that no key is dispatched twice despite
// lost, late and rejected writes, killed daemons, and claimants that are paused
// at any step.

type heldClaim struct {
	claim *Claim
	key   string
}

type machine struct {
	kv       *memory.KV
	network  *memory.Network
	submit   keyvalue.Submitter
	now      time.Time
	claimers [2]*Claimer
	claimant int
	held     []heldClaim
	// sent counts, for each key, the dispatches that may have reached an
	// endpoint.
	sent map[string]int
}

// newMachine returns a machine. A mutate function wraps the claimers'
// Submitter, so that a test can show the effect of a fault.
func newMachine(mutate func(*machine, keyvalue.Submitter) keyvalue.Submitter) *machine {
	kv := new(memory.KV)
	m := &machine{
		kv: kv, network: &memory.Network{KV: kv}, sent: make(map[string]int),
		now: time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC),
	}
	m.submit = keyvalue.Direct{Transactor: m.network}
	if mutate != nil {
		m.submit = mutate(m, m.submit)
	}
	for i := range m.claimers {
		m.claimers[i] = m.newClaimer()
	}
	return m
}

func (m *machine) newClaimer() *Claimer {
	return &Claimer{Submitter: m.submit, Granter: m.kv, Now: func() time.Time { return m.now }}
}

// withFaults runs f with randomly drawn faults in the next transactions.
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

func (m *machine) claim(t *rapid.T) {
	c := m.claimers[rapid.IntRange(0, 1).Draw(t, "daemon")]
	key := fmt.Sprint("key-", rapid.IntRange(0, 1).Draw(t, "key"))
	// The shorter limit expires before the first retry of a write.
	c.Timeout = rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second}).Draw(t, "time")
	m.claimant++
	r := Request{
		Account: "desk", Key: key, Fingerprint: "f", Claimant: fmt.Sprint("claimant-", m.claimant), Deadline: m.now.Add(time.Minute),
	}
	m.withFaults(t, func() {
		l, err := c.Claim(context.Background(), r)
		if err != nil {
			return
		}
		if l.State == StateFinished && m.sent[key] != 1 {
			t.Fatalf("%s is finished after %d dispatches", key, m.sent[key])
		}
		m.held = append(m.held, heldClaim{l, key})
	})
}

func (m *machine) pick(t *rapid.T) heldClaim {
	if len(m.held) == 0 {
		t.Skip("no claim")
	}
	return m.held[rapid.IntRange(0, len(m.held)-1).Draw(t, "claim")]
}

func (m *machine) dispatch(t *rapid.T) {
	h := m.pick(t)
	if h.claim.Dispatch() {
		m.sent[h.key]++
	}
}

func (m *machine) notStarted(t *rapid.T) {
	h := m.pick(t)
	if h.claim.dispatched && !h.claim.ended {
		h.claim.NotStarted()
		m.sent[h.key]--
	}
}

func (m *machine) finish(t *rapid.T) {
	h := m.pick(t)
	o := rapid.SampledFrom([]fescuelatch.Outcome{fescuelatch.OutcomeAnswered, fescuelatch.OutcomeUnknown}).Draw(t, "outcome")
	m.withFaults(t, func() { _ = h.claim.Finish(context.Background(), o, nil) })
}

func (m *machine) release(t *rapid.T) {
	h := m.pick(t)
	m.withFaults(t, func() { _ = h.claim.Release(context.Background()) })
}

// drain performs one step of Run.
func (m *machine) drain(t *rapid.T) {
	c := m.claimers[rapid.IntRange(0, 1).Draw(t, "daemon")]
	if len(c.backlog) == 0 {
		t.Skip("no backlog")
	}
	l := c.backlog[0]
	c.backlog = c.backlog[1:]
	m.withFaults(t, func() {
		if done, _ := l.write(context.Background()); !done {
			c.enqueue(l)
		}
	})
}

// kill replaces a daemon. Its claims stay in held, because its claimants may
// only be paused and continue later.
func (m *machine) kill(t *rapid.T) {
	m.claimers[rapid.IntRange(0, 1).Draw(t, "daemon")] = m.newClaimer()
}

func (m *machine) deliverLate(t *rapid.T) {
	n := m.network.DelayedCount()
	if n == 0 {
		t.Skip("no delayed write")
	}
	m.network.DeliverDelayed(rapid.IntRange(0, n-1).Draw(t, "late"))
}

func (m *machine) advanceClock(*rapid.T) { m.now = m.now.Add(time.Minute) }

func (m *machine) check(t *rapid.T) {
	for key, n := range m.sent {
		if n > 1 {
			t.Fatalf("%s was dispatched %d times", key, n)
		}
	}
}

func (m *machine) run(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"claim": m.claim, "dispatch": m.dispatch, "not-started": m.notStarted, "finish": m.finish, "release": m.release,
		"drain": m.drain, "kill": m.kill, "late": m.deliverLate, "wait": m.advanceClock, "": m.check,
	})
}

func TestOneDispatchForAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(nil).run(t) })
}

// submitterFunc adapts a function to keyvalue.Submitter.
type submitterFunc func(context.Context, fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error)

func (f submitterFunc) Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	return f(ctx, t)
}

// deleteReleased deletes the key instead of writing a released record.
func deleteReleased(_ *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		if p := t.Then[0].Put; p != nil {
			if r, err := decode(fescuelatch.KeyValue{Value: p.Value}); err == nil && r.Status == statusReleased {
				t.Then = []fescuelatch.KVOp{{Delete: p.Key}}
			}
		}
		return s.Submit(ctx, t)
	})
}

// takeOverExpired treats a claim as free after its deadline, like a lease.
func takeOverExpired(m *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		res, err := s.Submit(ctx, t)
		kv, ok := storedValue(res)
		if err != nil || !ok {
			return res, err
		}
		r, err := decode(kv)
		if err == nil && r.Status == statusClaimed && !m.now.Before(r.Deadline) {
			t.If[0].Revision = kv.Revision
			return s.Submit(ctx, t)
		}
		return res, err
	})
}

// trustLostAnswer treats a lost answer as a success.
func trustLostAnswer(_ *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		res, err := s.Submit(ctx, t)
		if err != nil && keyvalue.KindOf(err) == keyvalue.KindUnknown {
			return fescuelatch.KVTxnResult{Succeeded: true}, nil
		}
		return res, err
	})
}

// failureRecorder is a rapid.TB that records an expected failure.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { r.failed = true }
func (r *failureRecorder) FailNow()              { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Logf(string, ...any)   {}

// setFlag sets a flag of rapid until the test ends.
func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	was := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(was) })
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// TestMutantsAreFound checks that the state machine test detects each design
// fault.
func TestMutantsAreFound(t *testing.T) {
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.shrinktime", "0s")
	tests := []struct {
		name   string
		mutate func(*machine, keyvalue.Submitter) keyvalue.Submitter
	}{
		{"takeover after the deadline", takeOverExpired},
		{"lost answer trusted", trustLostAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &failureRecorder{TB: t}
			rapid.Check(r, func(t *rapid.T) { newMachine(test.mutate).run(t) })
			if !r.failed {
				t.Fatal("the fault was not detected")
			}
		})
	}
}

// TestReleaseByDeletionIsUnsafe shows why a released record is kept: a late
// write of the claim would recreate a deleted key and block the caller's
// repeats, although the caller was told that nothing had run.
func TestReleaseByDeletionIsUnsafe(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(*machine, keyvalue.Submitter) keyvalue.Submitter
		state  State
	}{
		{"record stays", nil, StateAcquired},
		{"record deleted", deleteReleased, StateInProgress},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMachine(test.mutate)
			c := m.claimers[0]
			c.Timeout = time.Millisecond
			m.network.Next = func() memory.Delivery { return memory.Delay }
			r := Request{Account: "desk", Key: "key", Fingerprint: "f", Claimant: "first", Deadline: m.now.Add(time.Minute)}
			if _, err := c.Claim(context.Background(), r); KindOf(err) != KindNotMade {
				t.Fatalf("want not-made, got %v", err)
			}
			m.network.Next = nil
			if done, err := c.backlog[0].write(context.Background()); !done {
				t.Fatal(err)
			}
			m.network.DeliverDelayed(0)
			r.Claimant = "second"
			c.Timeout = time.Second
			l, err := c.Claim(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			if l.State != test.state {
				t.Fatalf("state %s, want %s", l.State, test.state)
			}
		})
	}
}
