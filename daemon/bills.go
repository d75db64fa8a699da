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
	"fescuelatch/internal/pause"
	"fescuelatch/peer"
)

// This file defines how bills of answered requests are recorded and how daemons
// hold copies of each other's bills.

const (
	// billTimeout bounds how long a finished answer waits until another daemon
	// holds a copy of its bill.
	billTimeout = 500 * time.Millisecond
	holdTimeout = 250 * time.Millisecond
	// flushTimeout bounds the last writes of a stopping daemon.
	flushTimeout = 5 * time.Second
	// tokensPerPrice is the number of tokens that the costs of a version refer
	// to.
	tokensPerPrice = 1000
)

// bill records the bill of an answered request. The answer ends only after
// that, so that few answers have a bill that could be lost with this VM; these
// are counted.
func (s *activeRequest) bill(ctx context.Context, a decision.Accept, v *answer) {
	q := s.call.Request
	b := fescuelatch.Bill{
		Request: q.ID, Account: q.Account, Version: a.Version, Service: q.Service, Operation: q.Operation,
		Attempts: a.Attempts, Ended: s.daemon.options.Clock.Now(), Key: s.call.Key, Cost: s.cost(),
		PromptTokens: v.result.PromptTokens, OutputTokens: v.result.OutputTokens,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
	defer cancel()
	if err := s.daemon.ledger.Record(ctx, b); err != nil {
		s.daemon.metrics.billsUnsafe.Inc(1)
		s.daemon.log.Warn("bill has no copy at another daemon", "request", q.ID, "account", q.Account, "error", err.Error())
	}
}

// cost returns the total cost of all answered attempts.
func (s *activeRequest) cost() int64 {
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

// copier stores copies of bills at other daemons.
type copier Daemon

var _ billing.Copier = (*copier)(nil)

// Hold implements billing.Copier. It asks n daemons concurrently and replaces
// each that fails by the next candidate.
func (c *copier) Hold(ctx context.Context, b billing.Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	d := (*Daemon)(c)
	hs, copies := d.holders(held)
	if len(hs) == 0 && len(held) > 0 {
		return nil, nil
	}
	body, err := d.codec.Encode(b)
	if err != nil {
		return nil, err
	}
	batch := &peer.BillBatch{Body: body}
	if b.Origin != d.incarnation {
		batch.From = d.incarnation
	}
	next := make(chan peerState, len(hs))
	for _, h := range hs {
		next <- h
	}
	close(next)
	var r holdResult
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { d.holdAtNext(ctx, next, batch, &r) })
	}
	wg.Wait()
	return r.get(n, copies, d.otherDomains())
}

// holdAtNext offers a copy to one daemon after another until one accepts it.
func (d *Daemon) holdAtNext(ctx context.Context, next <-chan peerState, b *peer.BillBatch, r *holdResult) {
	for h := range next {
		err := d.holdAt(ctx, h, b)
		r.add(h.hello, err)
		if err == nil {
			return
		}
		d.log.Warn("daemon did not accept copy of bills", "holder", h.hello.VM, "error", err.Error())
		if isRetryable(err) {
			d.unresponsive.add(h.hello.VM)
		}
	}
}

func (d *Daemon) holdAt(ctx context.Context, h peerState, b *peer.BillBatch) error {
	vm, ok := d.holder.View().VM(h.hello.VM)
	if !ok {
		return errors.Errorf("%s is not in the configuration", h.hello.VM)
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := d.peers.Hold(ctx, vm.Peer, b); err != nil {
		return err
	}
	d.copyHolders.add(h.hello.VM)
	return nil
}

// isRetryable reports whether a daemon that failed with err may accept a copy
// later.
func isRetryable(err error) bool {
	var e *peer.Error
	return errors.As(err, &e) && (e.Kind == peer.KindUnreachable || e.Kind == peer.KindTimeout)
}

// holdResult collects the replies of the daemons that were asked to hold a
// copy. It is safe for concurrent use.
type holdResult struct {
	mu      sync.Mutex
	holders []peer.Hello
	err     error
}

func (r *holdResult) add(h peer.Hello, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.err = err
		return
	}
	r.holders = append(r.holders, h)
}

// get returns the holders whose copies count. It returns an error if a failed
// daemon could not be replaced by another or if there is no holder at all.
// copies is the number of copies in each failure domain before the call,
// eligible the failure domains that can hold one.
func (r *holdResult) get(n int, copies map[fescuelatch.DomainID]int, eligible []fescuelatch.DomainID) ([]fescuelatch.Incarnation, error) {
	switch {
	case len(r.holders) >= n:
		return r.counted(copies, eligible), nil
	case len(r.holders) == 0 && r.err == nil:
		return nil, errors.New("no other daemon is reachable")
	default:
		return r.counted(copies, eligible), r.err
	}
}

// counted returns the holders whose copies count. A second copy in the same
// failure domain does not count while an eligible failure domain has none: both
// could be lost together, and the other failure domain would never be asked
// again.
func (r *holdResult) counted(copies map[fescuelatch.DomainID]int, eligible []fescuelatch.DomainID) []fescuelatch.Incarnation {
	has := make(map[fescuelatch.DomainID]bool)
	for d, n := range copies {
		has[d] = n > 0
	}
	var first, all []fescuelatch.Incarnation
	for _, h := range r.holders {
		all = append(all, h.Incarnation)
		if !has[h.Domain] {
			first = append(first, h.Incarnation)
		}
		has[h.Domain] = true
	}
	if slices.ContainsFunc(eligible, func(d fescuelatch.DomainID) bool { return !has[d] }) {
		return first
	}
	return all
}

// otherDomains returns the failure domains of the other VMs.
func (d *Daemon) otherDomains() []fescuelatch.DomainID {
	v := d.holder.View()
	if v == nil {
		return nil
	}
	var ds []fescuelatch.DomainID
	for _, m := range v.Configuration.Inventory.VMs {
		if m.ID != d.options.VM && !slices.Contains(ds, m.Domain) {
			ds = append(ds, m.Domain)
		}
	}
	return ds
}

// holders returns the daemons that can hold further copies, in order of
// preference, and the number of copies in each failure domain.
func (d *Daemon) holders(held []fescuelatch.Incarnation) ([]peerState, map[fescuelatch.DomainID]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var hs []peerState
	copies := make(map[fescuelatch.DomainID]int)
	for _, h := range d.hellos {
		switch {
		case slices.Contains(held, h.hello.Incarnation):
			copies[h.hello.Domain]++
		case now.Sub(h.at) <= lostTimeout && !h.hello.Leaving:
			hs = append(hs, h)
		}
	}
	sort.Slice(hs, func(i, j int) bool {
		return rankOf(d.options.VM, hs[i].hello.VM) < rankOf(d.options.VM, hs[j].hello.VM)
	})
	return spread(hs, d.options.Domain, maps.Clone(copies)), copies
}

// spread orders daemons so that the first ones are in different failure
// domains, with the own failure domain last among them. copies is the number of
// copies that each failure domain already has; spread modifies it.
func spread(hs []peerState, own fescuelatch.DomainID, copies map[fescuelatch.DomainID]int) []peerState {
	type choice struct {
		peerState
		copy int // ordinal of this copy in its failure domain
	}
	choices := make([]choice, 0, len(hs))
	for _, h := range hs {
		copies[h.hello.Domain]++
		choices = append(choices, choice{h, copies[h.hello.Domain]})
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		if a.copy != b.copy || a.hello.Domain == b.hello.Domain {
			return a.copy - b.copy
		}
		switch own {
		case a.hello.Domain:
			return 1
		case b.hello.Domain:
			return -1
		}
		return 0
	})
	for i, c := range choices {
		hs[i] = c.peerState
	}
	return hs
}

// Drop implements billing.Copier. It notifies the daemons that received copies
// since the last call.
func (c *copier) Drop(ctx context.Context, o fescuelatch.Incarnation, through uint64) error {
	d := (*Daemon)(c)
	for _, vm := range d.copyHolders.take() {
		if m, ok := d.holder.View().VM(vm); ok {
			// If the notification is lost, the copy is written again, which has
			// no effect.
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

// remove removes a VM and reports whether the set contained it.
func (s *vmSet) remove(vm fescuelatch.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := s.vms[vm]
	delete(s.vms, vm)
	return had
}

// take empties the set and returns its former members.
func (s *vmSet) take() []fescuelatch.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Collect(maps.Keys(s.vms))
	s.vms = nil
	return vms
}

// reportLost notifies the ledger and the keeper that a daemon is lost. Copies
// that it held, and copies of its own bills, are then copied again.
func (d *Daemon) reportLost(ctx context.Context, i fescuelatch.Incarnation) {
	d.ledger.PeerLost(i)
	if err := d.keeper.PeerLost(ctx, i); err != nil {
		d.log.Warn("bills of a lost daemon have no further copy", "incarnation", i, "error", err.Error())
	}
}

// flushPending writes the bills and copies that this daemon holds to the
// platform, or passes them to other daemons, and waits for pending claims.
func (d *Daemon) flushPending() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := d.ledger.Flush(ctx); err != nil {
		d.log.Error("stopped with unwritten bills", "error", err.Error(), "waiting", d.ledger.Stats().Waiting)
	}
	if err := d.keeper.Flush(ctx); err != nil {
		d.log.Error("stopped with unwritten copies of bills", "error", err.Error(), "waiting", d.keeper.Stats().Waiting)
	}
	for d.claims.Stats().Waiting > 0 && ctx.Err() == nil {
		pause.For(ctx, tickInterval)
	}
}
