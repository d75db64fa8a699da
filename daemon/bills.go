package daemon

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/decision"
	"fescuelatch/peer"
)

// This file defines the bills of answered requests and the copies that
// daemons hold of each other's.

const (
	// billTimeout bounds how long the end of an answer waits for a copy of
	// its bill.
	billTimeout = 500 * time.Millisecond
	holdTimeout = 250 * time.Millisecond
	// handOnTimeout bounds the last writes of a stopping daemon.
	handOnTimeout = 5 * time.Second
	// tokensPerPrice is the number of tokens that a version's costs are for.
	tokensPerPrice = 1000
)

// bill records the bill of an answered request. The end of the answer waits
// for it, so that an answer whose bill could be lost with this VM is the
// exception; it is counted.
func (s *serving) bill(ctx context.Context, a decision.Accept, v *answer) {
	q := s.call.Request
	b := fescuelatch.Bill{
		Request: q.ID, Account: q.Account, Version: a.Version, Service: q.Service, Operation: q.Operation,
		Attempts: a.Attempts, Ended: time.Now(), Key: s.call.Key, Cost: s.cost(),
		PromptTokens: v.result.PromptTokens, OutputTokens: v.result.OutputTokens,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
	defer cancel()
	if err := s.daemon.ledger.Record(ctx, b); err != nil {
		s.daemon.metrics.billsUnsafe.Inc(1)
		s.daemon.log.Warn("bill without a copy", "request", q.ID, "account", q.Account, "error", err.Error())
	}
}

// cost sums the costs of all attempts that were answered.
func (s *serving) cost() int64 {
	view := s.daemon.holder.View()
	if q := s.call.Request; q.IsService() {
		o, _ := view.Operation(q.Service, q.Operation)
		return o.Cost
	}
	var cost int64
	for _, a := range s.answers {
		v, _ := view.Version(a.result.Version)
		cost += int64(a.result.PromptTokens)*v.PromptCost + int64(a.result.OutputTokens)*v.OutputCost
	}
	return cost / tokensPerPrice
}

// copier keeps copies of bills with other daemons.
type copier Daemon

var _ billing.Copier = (*copier)(nil)

// Hold implements billing.Copier. A daemon of another failure domain is
// asked first, so that a copy outlives this one.
func (c *copier) Hold(ctx context.Context, b billing.Batch) (fescuelatch.Incarnation, error) {
	d := (*Daemon)(c)
	body, err := d.codec.Encode(b)
	if err != nil {
		return "", err
	}
	last := errors.New("no other daemon is heard of")
	for _, h := range d.holders() {
		vm, ok := d.holder.View().VM(h.hello.VM)
		if !ok {
			continue
		}
		one, cancel := context.WithTimeout(ctx, holdTimeout)
		err := d.peers.Hold(one, vm.Peer, &peer.BillBatch{Body: body})
		cancel()
		if err == nil {
			d.told.add(h.hello.VM)
			return h.hello.Incarnation, nil
		}
		last = err
	}
	return "", last
}

// holders returns the daemons that can hold copies, the best first.
func (d *Daemon) holders() []heard {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var hs []heard
	for _, h := range d.hellos {
		if now.Sub(h.at) <= lostAfter && !h.hello.Leaving {
			hs = append(hs, h)
		}
	}
	sort.Slice(hs, func(i, j int) bool {
		a, b := hs[i].hello, hs[j].hello
		if other := a.Domain != d.options.Domain; other != (b.Domain != d.options.Domain) {
			return other
		}
		return rankOf(d.options.VM, a.VM) < rankOf(d.options.VM, b.VM)
	})
	return hs
}

// Drop implements billing.Copier. The daemons that were given copies since
// the last call are told.
func (c *copier) Drop(ctx context.Context, o fescuelatch.Incarnation, through uint64) error {
	d := (*Daemon)(c)
	for _, vm := range d.told.take() {
		if m, ok := d.holder.View().VM(vm); ok {
			// A copy that is not dropped is written again, to no effect.
			_ = d.peers.Written(ctx, m.Peer, &peer.BillsWritten{Origin: o, Through: through})
		}
	}
	return nil
}

// vmSet is a set of VMs. It is safe for concurrent use.
type vmSet struct {
	mu  sync.Mutex
	vms map[fescuelatch.VMID]bool
}

func (s *vmSet) add(vm fescuelatch.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms == nil {
		s.vms = make(map[fescuelatch.VMID]bool)
	}
	s.vms[vm] = true
}

// take empties the set and returns what it held.
func (s *vmSet) take() []fescuelatch.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Collect(maps.Keys(s.vms))
	s.vms = nil
	return vms
}

// replaced tells the ledger and the keeper that a daemon is gone: copies of
// which it was one of two holders are made again.
func (d *Daemon) replaced(ctx context.Context, i fescuelatch.Incarnation) {
	d.ledger.Lost(i)
	if err := d.keeper.CopyOn(ctx, i); err != nil {
		d.log.Warn("bills of a lost daemon have one copy", "incarnation", i, "error", err.Error())
	}
}

// handOn writes, or hands to other daemons, what this daemon holds.
func (d *Daemon) handOn() {
	ctx, cancel := context.WithTimeout(context.Background(), handOnTimeout)
	defer cancel()
	if err := d.ledger.Flush(ctx); err != nil {
		d.log.Error("bills are left behind", "error", err.Error(), "waiting", d.ledger.Stats().Waiting)
	}
	if err := d.keeper.Flush(ctx); err != nil {
		d.log.Error("copies of bills are left behind", "error", err.Error(), "waiting", d.keeper.Stats().Waiting)
	}
	for d.claims.Stats().Waiting > 0 && ctx.Err() == nil {
		pause(ctx, tickInterval)
	}
}
