package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
	"fescuelatch/session"
)

// This file tests with a state machine that a session keeps its version until
// the version is withdrawn, while daemons restart and writes are lost, late or
// refused.

type machine struct {
	kv      *memory.KV
	network *memory.Network
	now     time.Time
	stores  [2]*session.Store
	// withdrawn is the highest withdrawn version; all lower ones are withdrawn.
	withdrawn int
	// lastVersion is the version last returned for each session.
	lastVersion map[string]int
}

func newMachine() *machine {
	kv := new(memory.KV)
	m := &machine{kv: kv, network: &memory.Network{KV: kv}, now: start, lastVersion: make(map[string]int)}
	for i := range m.stores {
		m.stores[i] = m.newStore()
	}
	return m
}

func (m *machine) newStore() *session.Store {
	return &session.Store{
		Submitter: keyvalue.Direct{Transactor: m.network}, Granter: m.kv, Now: func() time.Time { return m.now },
		CacheSize: 1, Timeout: time.Second,
	}
}

func version(n int) fescuelatch.VersionID { return fescuelatch.VersionID(fmt.Sprintf("m@%d", n)) }

// request serves a request of a session: it looks up the version, binds the
// session if it is unbound, and rebinds it from a withdrawn version.
func (m *machine) request(t *rapid.T) {
	s := m.stores[rapid.IntRange(0, 1).Draw(t, "daemon")]
	name := fmt.Sprint("session-", rapid.IntRange(0, 1).Draw(t, "session"))
	requested := m.withdrawn + rapid.IntRange(1, 3).Draw(t, "version")
	faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 2).Draw(t, "deliveries")
	m.network.Next = func() memory.Delivery {
		if len(faults) == 0 {
			return memory.Deliver
		}
		d := faults[0]
		faults = faults[1:]
		return memory.Delivery(d)
	}
	v, err := m.serve(s, session.Session{Account: "desk", ID: name}, requested)
	m.network.Next = nil
	if err != nil {
		return
	}
	var n int
	if _, err := fmt.Sscanf(string(v), "m@%d", &n); err != nil {
		t.Fatal(err)
	}
	if was := m.lastVersion[name]; was > m.withdrawn && was != n {
		t.Fatalf("%s changed from version %d to %d; versions up to %d are withdrawn", name, was, n, m.withdrawn)
	}
	m.lastVersion[name] = n
}

func (m *machine) serve(s *session.Store, id session.Session, requested int) (fescuelatch.VersionID, error) {
	ctx := context.Background()
	v, err := s.Lookup(ctx, id)
	if err != nil {
		return "", err
	}
	if v == "" {
		if v, err = s.Bind(ctx, id, version(requested)); err != nil {
			return "", err
		}
	}
	for n := 1; n <= m.withdrawn; n++ {
		if v == version(n) {
			if v, err = s.Rebind(ctx, id, v, version(requested)); err != nil {
				return "", err
			}
		}
	}
	return v, nil
}

func (m *machine) withdraw(*rapid.T) { m.withdrawn++ }

func (m *machine) kill(t *rapid.T) {
	m.stores[rapid.IntRange(0, 1).Draw(t, "daemon")] = m.newStore()
}

func (m *machine) deliverLate(t *rapid.T) {
	n := m.network.DelayedCount()
	if n == 0 {
		t.Skip("no late writes")
	}
	m.network.DeliverDelayed(rapid.IntRange(0, n-1).Draw(t, "late"))
}

func (m *machine) advanceClock(*rapid.T) { m.now = m.now.Add(5 * time.Hour) }

func TestSessionKeepsItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "withdraw": m.withdraw, "kill": m.kill, "late": m.deliverLate, "wait": m.advanceClock,
		})
	})
}
