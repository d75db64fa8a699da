package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/keyvalue/memory"
)

// This file tests Holder, Follower and Starter.

// changeChain returns n consecutive configurations and the changes that produce
// them.
func changeChain(c *qt.C, n int) ([]*fescuelatch.Configuration, []fescuelatch.Change) {
	current := new(fescuelatch.Configuration)
	var cs []*fescuelatch.Configuration
	var ds []fescuelatch.Change
	for i := range n {
		d := addModel(current, fmt.Sprintf("m-%04d", i))
		next, err := current.Apply(d)
		c.Assert(err, qt.IsNil)
		current = next
		cs, ds = append(cs, next), append(ds, *d)
	}
	return cs, ds
}

func update(ds []fescuelatch.Change) configstore.Update {
	last := ds[len(ds)-1]
	return configstore.Update{Generation: last.Generation(), Digest: last.Digest, Changes: ds}
}

func TestHolderGenerationNeverDecreases(t *testing.T) {
	c := qt.New(t)
	cs, _ := changeChain(c, 3)
	var h configstore.Holder
	for _, test := range []struct {
		offer     int
		activated bool
		after     fescuelatch.Generation
	}{{1, true, 2}, {0, false, 2}, {1, false, 2}, {2, true, 3}, {0, false, 3}} {
		activated, err := h.Activate(cs[test.offer])
		c.Assert(err, qt.IsNil)
		c.Check(activated, qt.Equals, test.activated)
		c.Check(h.Generation(), qt.Equals, test.after)
	}
}

func TestHolderConcurrentUpdates(t *testing.T) {
	c := qt.New(t)
	cs, ds := changeChain(c, 40)
	var h configstore.Holder
	var wg sync.WaitGroup
	for i := range cs {
		wg.Go(func() { _, _ = h.Activate(cs[i]) })
		wg.Go(func() { _, _ = h.ApplyUpdate(update(ds[:i+1])) })
	}
	var last fescuelatch.Generation
	for range 1000 {
		g := h.Generation()
		c.Assert(g >= last, qt.IsTrue)
		last = g
	}
	wg.Wait()
	c.Check(h.Generation(), qt.Equals, fescuelatch.Generation(40))
}

func TestHolderRejectsBadUpdates(t *testing.T) {
	c := qt.New(t)
	cs, ds := changeChain(c, 4)
	broken := *cs[3]
	broken.Overrides.Withdrawn = []fescuelatch.VersionID{"no@version"}
	tests := []struct {
		name string
		u    configstore.Update
		kind configstore.ErrorKind
	}{
		{"gap", update(ds[3:]), configstore.KindMismatch},
		{"other digest", configstore.Update{Generation: 3, Digest: "0", Changes: ds[2:3]}, configstore.KindMismatch},
		{"other generation", configstore.Update{Generation: 9, Digest: ds[2].Digest, Changes: ds[2:3]}, configstore.KindMismatch},
		{"nothing", configstore.Update{Generation: 9, Digest: "0"}, configstore.KindMismatch},
		{"invalid", configstore.Update{Generation: 4, Digest: broken.Digest(), Full: &broken}, configstore.KindInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var h configstore.Holder
			_, err := h.Activate(cs[1])
			c.Assert(err, qt.IsNil)
			_, err = h.ApplyUpdate(test.u)
			c.Check(configstore.KindOf(err), qt.Equals, test.kind)
			c.Check(h.Generation(), qt.Equals, fescuelatch.Generation(2))
		})
	}
}

func TestSince(t *testing.T) {
	c := qt.New(t)
	_, ds := changeChain(c, 10)
	h := configstore.Holder{Retain: 4}
	for i := range ds {
		_, err := h.ApplyUpdate(update(ds[i : i+1]))
		c.Assert(err, qt.IsNil)
	}
	tests := []struct {
		since   fescuelatch.Generation
		changes int
		full    bool
	}{{10, 0, false}, {12, 0, false}, {9, 1, false}, {6, 4, false}, {5, 0, true}, {0, 0, true}}
	for _, test := range tests {
		u := h.Since(test.since)
		c.Check(u.Changes, qt.HasLen, test.changes)
		c.Check(u.Full != nil, qt.Equals, test.full)
		var r configstore.Holder
		if test.since > 0 && test.since < 10 {
			_, err := r.ApplyUpdate(update(ds[:test.since]))
			c.Assert(err, qt.IsNil)
		}
		if test.since < 10 {
			_, err := r.ApplyUpdate(u)
			c.Assert(err, qt.IsNil)
			c.Check(r.Digest(), qt.Equals, h.Digest())
		}
	}
}

func TestWait(t *testing.T) {
	c := qt.New(t)
	cs, _ := changeChain(c, 2)
	var h configstore.Holder
	_, err := h.Activate(cs[0])
	c.Assert(err, qt.IsNil)
	done := make(chan fescuelatch.Generation)
	go func() {
		v, err := h.Wait(context.Background(), 1)
		if err != nil {
			done <- 0
			return
		}
		done <- v.Generation()
	}()
	_, err = h.Activate(cs[1])
	c.Assert(err, qt.IsNil)
	c.Check(<-done, qt.Equals, fescuelatch.Generation(2))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = h.Wait(ctx, 2)
	c.Check(err, qt.IsNotNil)
}

func TestFollowerCatchesUpAfterGaps(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	s := newStore(kv)
	propose(c, s, "a")
	h := new(configstore.Holder)
	f := configstore.Follower{Store: s, Holder: h}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	wait := func(g fescuelatch.Generation) {
		c.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for h.Generation() < g {
			_, err := h.Wait(ctx, h.Generation())
			c.Assert(err, qt.IsNil)
		}
	}
	wait(1)
	propose(c, s, "b")
	wait(2)
	kv.BreakWatches()
	propose(c, s, "c")
	wait(3)
	kv.SetDown(true)
	kv.SetDown(false)
	for n := range 70 {
		propose(c, s, fmt.Sprint("d-", n))
	}
	wait(73)
	cancel()
	<-done
}

// domainConfiguration returns a configuration of generation g with n entry VMs
// in one failure domain.
func domainConfiguration(c *qt.C, n int, g fescuelatch.Generation) *fescuelatch.Configuration {
	cfg := &fescuelatch.Configuration{Generation: g}
	cfg.Inventory.Domains = []fescuelatch.FailureDomain{{ID: "kgl-a", Region: "rw-central"}}
	for i := range n {
		a := func(port uint16) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, byte(i + 1)}), port)
		}
		cfg.Inventory.VMs = append(cfg.Inventory.VMs, fescuelatch.VM{
			ID: fescuelatch.VMID(fmt.Sprint("vm-", i)), Domain: "kgl-a", Peer: a(1), Caller: a(2), Operator: a(3),
		})
	}
	c.Assert(cfg.Validate(), qt.HasLen, 0)
	return cfg
}

func TestStartWithoutThePlatform(t *testing.T) {
	gone := func(ids ...fescuelatch.VMID) func(fescuelatch.VMID) bool {
		return func(id fescuelatch.VMID) bool {
			for _, g := range ids {
				if g == id {
					return true
				}
			}
			return false
		}
	}
	tests := []struct {
		name     string
		vms      int
		peers    []fescuelatch.Generation // active on vm-1, vm-2, ...; 0: none, 99: no answer
		gone     func(fescuelatch.VMID) bool
		patience time.Duration
		basis    configstore.Basis
		want     fescuelatch.Generation
	}{
		{"all answer", 3, []fescuelatch.Generation{4, 5}, nil, 0, configstore.BasisDomain, 5},
		{"one of two does not answer", 3, []fescuelatch.Generation{4, 99}, nil, 0, "", 0},
		{"one of two has none", 3, []fescuelatch.Generation{4, 0}, nil, 0, "", 0},
		{"one of two no longer exists", 3, []fescuelatch.Generation{4, 99}, gone("vm-2"), 0, configstore.BasisDomain, 4},
		{"two of three answer", 4, []fescuelatch.Generation{4, 99, 6}, nil, 0, configstore.BasisDomain, 6},
		{"none answers", 3, []fescuelatch.Generation{99, 99}, nil, 0, "", 0},
		{"patience expires", 3, []fescuelatch.Generation{4, 99}, nil, 20 * time.Millisecond, configstore.BasisTimeout, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			kv.SetDown(true)
			var peers []configstore.Peer
			for i, g := range test.peers {
				peers = append(peers, configstore.Peer{
					VM: fescuelatch.VMID(fmt.Sprint("vm-", i+1)),
					Since: func(context.Context, fescuelatch.Generation) (configstore.Update, error) {
						if g == 99 {
							return configstore.Update{}, errors.New("no answer")
						}
						var h configstore.Holder
						if g > 0 {
							_, _ = h.Activate(domainConfiguration(c, test.vms, g))
						}
						return h.Since(0), nil
					},
				})
			}
			h := new(configstore.Holder)
			s := configstore.Starter{
				Store: newStore(kv), Holder: h, VM: "vm-0", Domain: "kgl-a", VMRemoved: test.gone, QuorumTimeout: test.patience,
				Peers: func(*fescuelatch.Configuration) []configstore.Peer { return peers },
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			basis, err := s.Run(ctx)
			c.Check(err == nil, qt.Equals, test.basis != "", qt.Commentf("%v", err))
			c.Check(basis, qt.Equals, test.basis)
			c.Check(h.Generation(), qt.Equals, test.want)
		})
	}
}

func TestStartFromThePlatform(t *testing.T) {
	c := qt.New(t)
	s := newStore(new(memory.KV))
	propose(c, s, "a")
	h := new(configstore.Holder)
	basis, err := (&configstore.Starter{Store: s, Holder: h}).Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(basis, qt.Equals, configstore.BasisPlatform)
	c.Check(h.Generation(), qt.Equals, fescuelatch.Generation(1))
}

// TestStartQueriesAllSeedPeers uses settings with two daemons whose VMs are
// unknown. The first one does not answer; the second must still be queried.
func TestStartQueriesAllSeedPeers(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	var peer configstore.Holder
	_, err := peer.Activate(domainConfiguration(c, 1, 1))
	c.Assert(err, qt.IsNil)
	seeds := []configstore.Peer{
		{Since: func(context.Context, fescuelatch.Generation) (configstore.Update, error) {
			return configstore.Update{}, errors.New("no answer")
		}},
		{Since: func(_ context.Context, g fescuelatch.Generation) (configstore.Update, error) {
			return peer.Since(g), nil
		}},
	}
	h := new(configstore.Holder)
	s := configstore.Starter{
		Store: newStore(kv), Holder: h, VM: "vm-0", Domain: "kgl-a",
		Peers: func(*fescuelatch.Configuration) []configstore.Peer { return seeds },
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = s.Run(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(h.Generation(), qt.Equals, fescuelatch.Generation(1))
}
