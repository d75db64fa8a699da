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

// This file tests, as a state machine, that no key is dispatched twice, with
// lost, late and refused writes, daemons that are killed, and claimants that
// are paused at any step.

type held struct {
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
	held     []held
	// sent counts, for each key, the dispatches that may have reached an
	// endpoint.
	sent map[string]int
}

// newMachine returns a machine of which mutate, if set, alters the claimers'
// way to the platform, so that a test can show what a fault does.
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

// withFaults runs f while the next transactions meet drawn faults.
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
	// The shorter time ends before the first repetition of a write.
	c.MaxTime = rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second}).Draw(t, "time")
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
		m.held = append(m.held, held{l, key})
	})
}

func (m *machine) pick(t *rapid.T) held {
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

// drain does one step of Run.
func (m *machine) drain(t *rapid.T) {
	c := m.claimers[rapid.IntRange(0, 1).Draw(t, "daemon")]
	if len(c.backlog) == 0 {
		t.Skip("no backlog")
	}
	l := c.backlog[0]
	c.backlog = c.backlog[1:]
	m.withFaults(t, func() {
		if done, _ := l.write(context.Background()); !done {
			c.postpone(l)
		}
	})
}

// kill replaces a daemon. Its claims stay in held: it may be paused, and its
// claimants go on later.
func (m *machine) kill(t *rapid.T) {
	m.claimers[rapid.IntRange(0, 1).Draw(t, "daemon")] = m.newClaimer()
}

func (m *machine) late(t *rapid.T) {
	n := m.network.LateCount()
	if n == 0 {
		t.Skip("nothing is late")
	}
	m.network.DeliverLate(rapid.IntRange(0, n-1).Draw(t, "late"))
}

func (m *machine) wait(*rapid.T) { m.now = m.now.Add(time.Minute) }

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
		"drain": m.drain, "kill": m.kill, "late": m.late, "wait": m.wait, "": m.check,
	})
}

func TestOneDispatchForAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(nil).run(t) })
}

// submitterFunc is a Submitter that is a function.
type submitterFunc func(context.Context, fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error)

func (f submitterFunc) Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	return f(ctx, t)
}

// deletesReleased releases by deletion in place of a released record.
func deletesReleased(_ *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		if p := t.Then[0].Put; p != nil {
			if r, err := decode(fescuelatch.KeyValue{Value: p.Value}); err == nil && r.Status == statusReleased {
				t.Then = []fescuelatch.KVOp{{Delete: p.Key}}
			}
		}
		return s.Submit(ctx, t)
	})
}

// takesOverLapsed treats a claim of which the deadline has passed as free, as
// a lease would be.
func takesOverLapsed(m *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		res, err := s.Submit(ctx, t)
		kv, ok := found(res)
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

// trustsLost takes a lost answer for a success.
func trustsLost(_ *machine, s keyvalue.Submitter) keyvalue.Submitter {
	return submitterFunc(func(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
		res, err := s.Submit(ctx, t)
		if err != nil && keyvalue.KindOf(err) == keyvalue.KindUnknown {
			return fescuelatch.KVTxnResult{Succeeded: true}, nil
		}
		return res, err
	})
}

// recorder is a rapid.TB of which the failure is what the test asks for.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Log(...any)            {}
func (r *recorder) Logf(string, ...any)   {}

// setFlag sets a flag of rapid for the length of the test.
func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	was := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(was) })
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// TestMutantsAreFound shows that the state machine finds each fault that the
// design avoids.
func TestMutantsAreFound(t *testing.T) {
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.shrinktime", "0s")
	tests := []struct {
		name   string
		mutate func(*machine, keyvalue.Submitter) keyvalue.Submitter
	}{
		{"take-over after the deadline", takesOverLapsed},
		{"lost answer trusted", trustsLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &recorder{TB: t}
			rapid.Check(r, func(t *rapid.T) { newMachine(test.mutate).run(t) })
			if !r.failed {
				t.Fatal("the fault was not found")
			}
		})
	}
}

// TestReleaseByDeletionIsUnsafe shows why a released record stays in place: a
// late write of the claim would recreate a deleted key, which blocks the
// caller's repeats though it was told that nothing had run.
func TestReleaseByDeletionIsUnsafe(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(*machine, keyvalue.Submitter) keyvalue.Submitter
		state  State
	}{
		{"record stays", nil, StateMine},
		{"record deleted", deletesReleased, StateInProgress},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMachine(test.mutate)
			c := m.claimers[0]
			c.MaxTime = time.Millisecond
			m.network.Next = func() memory.Delivery { return memory.Late }
			r := Request{Account: "desk", Key: "key", Fingerprint: "f", Claimant: "first", Deadline: m.now.Add(time.Minute)}
			if _, err := c.Claim(context.Background(), r); KindOf(err) != KindNotMade {
				t.Fatalf("want not-made, got %v", err)
			}
			m.network.Next = nil
			if done, err := c.backlog[0].write(context.Background()); !done {
				t.Fatal(err)
			}
			m.network.DeliverLate(0)
			r.Claimant = "second"
			c.MaxTime = time.Second
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
