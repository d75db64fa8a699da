package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/usage"
)

// This file defines how daemons tell each other what they use. The daemons of a failure domain
// report to one of them, the collector, and the collectors to one of theirs.

const (
	// usageInterval is the time between two reports of a daemon.
	usageInterval = 500 * time.Millisecond
	// minSumsInterval is the minimum time between two reports of a collector, and sumsSpacing
	// the time between two reports that the collector of all collectors gets.
	minSumsInterval = 250 * time.Millisecond
	sumsSpacing     = 10 * time.Millisecond
	// usageTimeout is how long this daemon runs before a call to a collector has failed, and
	// usageTries the number of collectors that it calls for one report.
	usageTimeout = 300 * time.Millisecond
	usageTries   = 2
	// maxToldAccounts bounds the accounts of a daemon's report, maxListedAccounts those of
	// the reply, and maxSummedAccounts those of a reply to another collector.
	maxToldAccounts   = 10
	maxListedAccounts = 8
	maxSummedAccounts = 16
	// collectorKey stands for an endpoint in the order of the collectors.
	collectorKey = "collector of usage"
)

// usageExchange is the exchange of usage with other daemons.
type usageExchange struct {
	peers peerClients

	// mu guards the fields below.
	mu sync.Mutex
	// daemons sums the reports of daemons, and sums those of other collectors.
	daemons, sums *usage.Collector
	// faulty are the collectors whose fault has been logged, until they answer.
	faulty map[fescuelatch.VMID]bool
	// received is when totals were last received, and lost reports that they are no longer
	// known.
	received time.Time
	lost     bool
}

func newUsageExchange() *usageExchange {
	return &usageExchange{
		daemons: usage.NewCollector(maxListedAccounts), sums: usage.NewCollector(maxSummedAccounts),
		faulty: make(map[fescuelatch.VMID]bool),
	}
}

// add adds a report and returns the totals of the others.
func (x *usageExchange) add(now time.Time, r usage.Report) usage.Totals {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.daemons
	if r.Daemons > 0 {
		c = x.sums
	}
	return c.Add(now, r)
}

// sum returns the sum of what other daemons have reported here, if there is any.
func (x *usageExchange) sum(now time.Time, from fescuelatch.VMID) (usage.Report, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.daemons.Len(now) == 0 {
		return usage.Report{}, false
	}
	return x.daemons.Sum(now, from), true
}

// setOutside records the totals of the other collectors' daemons.
func (x *usageExchange) setOutside(at time.Time, t usage.Totals) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.daemons.SetOutside(at, t)
}

// noteFault records a fault of a collector, and reports whether it is to be logged.
func (x *usageExchange) noteFault(vm fescuelatch.VMID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.faulty[vm] {
		return false
	}
	if len(x.faulty) >= maxLoggedCollectors {
		clear(x.faulty)
	}
	x.faulty[vm] = true
	return true
}

// maxLoggedCollectors bounds the collectors whose faults are remembered as logged.
const maxLoggedCollectors = 64

func (x *usageExchange) noteAnswer(vm fescuelatch.VMID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.faulty, vm)
}

// noteTotals records whether totals were received, and returns whether they are known, and
// whether that has changed.
func (x *usageExchange) noteTotals(now time.Time, received bool) (changed, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if received {
		x.received = now
	}
	known = now.Sub(x.received) < usage.Lifetime
	changed = x.lost == known
	x.lost = !known
	return changed, known
}

// Usage takes the report of another daemon and replies with the totals of the others. It is
// called by net/rpc.
func (p *peerServer) Usage(r usage.Report, reply *usage.Totals) error {
	if err := r.Check(); err != nil {
		return &Error{"collect usage", KindInvalid, err}
	}
	*reply = p.daemon.usage.add(time.Now(), r)
	reply.Round()
	return nil
}

// exchangeUsage reports what this daemon uses until ctx ends.
func (d *Daemon) exchangeUsage(ctx context.Context) {
	d.exchange(ctx, func(now time.Time) time.Duration {
		d.reportUsage(ctx, now)
		return usageInterval
	})
}

// exchangeSums reports, as a collector, what others use until ctx ends.
func (d *Daemon) exchangeSums(ctx context.Context) {
	d.exchange(ctx, func(now time.Time) time.Duration { return d.reportSums(ctx, now) })
}

// exchange calls report at the intervals that it returns while other daemons' usage matters.
func (d *Daemon) exchange(ctx context.Context, report func(now time.Time) time.Duration) {
	defer d.usage.peers.close()
	for wait := rand.N(usageInterval); pause.For(ctx, wait); {
		began := time.Now()
		wait = usageInterval
		if d.mayShareUsage() {
			wait = report(began)
		}
		wait = max(wait-time.Since(began), 0)
	}
}

func (d *Daemon) mayShareUsage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.SharesUsage()
}

// collectors are daemons that may be asked for totals, in order of preference.
type collectors struct {
	vms       []fescuelatch.VMID
	addresses map[fescuelatch.VMID]netip.AddrPort
}

// collectorsLocked returns the collectors of a failure domain, or of the sums of all collectors
// if it is empty.
func (d *Daemon) collectorsLocked(domain fescuelatch.DomainID) collectors {
	order := d.permitOrders.of(d, fescuelatch.EndpointID(collectorKey+" "+string(domain)), domain)
	c := collectors{order.Allocators, make(map[fescuelatch.VMID]netip.AddrPort)}
	for _, vm := range order.Allocators {
		c.addresses[vm] = d.storeView.members[vm].Control
	}
	return c
}

// reportUsage reports what this daemon used lately, if anything, and applies the totals.
func (d *Daemon) reportUsage(ctx context.Context, now time.Time) {
	r, to, ok := d.usageReport(now)
	if !ok {
		return
	}
	t, ok := d.callCollectors(ctx, now, r, to)
	if ok {
		d.applyTotals(now, t)
	}
	changed, known := d.usage.noteTotals(now, ok)
	switch {
	case changed && known:
		d.log.Info("totals of other daemons are known again", "daemons", t.Daemons)
	case changed:
		d.log.Warn("no totals of other daemons; accounts are judged by the work of this one")
		d.metrics.usageDaemons.Update(0)
	}
}

// usageReport returns the report of this daemon, and its collectors. It reports false if there
// is nothing to tell.
func (d *Daemon) usageReport(now time.Time) (usage.Report, collectors, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := usage.Report{From: d.options.VM}
	if d.options.SharedRetries {
		r.Models = d.budget.Counts(now)
	}
	r.All, r.Work = d.gate.Work(now, maxToldAccounts)
	r.Round()
	if len(r.All) == 0 && len(r.Models) == 0 {
		return r, collectors{}, false
	}
	return r, d.collectorsLocked(d.options.Domain), true
}

// applyTotals applies totals that were asked for at a time.
func (d *Daemon) applyTotals(asked time.Time, t usage.Totals) {
	d.metrics.usageDaemons.Update(float64(t.Daemons))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.options.SharedRetries {
		d.budget.SetOthers(asked, t)
		d.metrics.showRetryBudget(d.budget.Unused(asked))
	}
	for _, f := range d.gate.SetOthers(time.Now(), asked, t) {
		d.metrics.countFinding(f.Model)
		d.log.Info("account is over its share by the work at all daemons", "model", f.Model, "account", f.Account, "growth", f.Growth, "daemons", f.Daemons)
	}
}

// reportSums reports, as a collector, the sum of what other daemons have reported here, and
// returns the time until the next report.
func (d *Daemon) reportSums(ctx context.Context, now time.Time) time.Duration {
	r, ok := d.usage.sum(now, d.options.VM)
	d.metrics.usageReports.Update(float64(r.Daemons))
	if !ok {
		return usageInterval
	}
	r.Round()
	d.mu.Lock()
	to, domains := d.collectorsLocked(""), d.domainsLocked()
	d.mu.Unlock()
	if t, ok := d.callCollectors(ctx, now, r, to); ok {
		d.usage.setOutside(now, t)
	}
	return min(max(minSumsInterval, time.Duration(domains)*sumsSpacing), usageInterval)
}

// domainsLocked returns the number of failure domains with daemons.
func (d *Daemon) domainsLocked() int {
	domains := make(map[fescuelatch.DomainID]bool)
	for _, m := range d.storeView.members {
		domains[m.Domain] = true
	}
	return len(domains)
}

// callCollectors sends a report to the first collector that answers.
func (d *Daemon) callCollectors(ctx context.Context, made time.Time, r usage.Report, to collectors) (usage.Totals, bool) {
	for range usageTries {
		now := time.Now()
		vm, ok := d.usage.peers.choose(now, to.vms)
		if !ok {
			break
		}
		r.Age = now.Sub(made)
		if vm == d.options.VM {
			return d.usage.add(now, r), true
		}
		t, err := d.callCollector(ctx, vm, to.addresses[vm], r)
		if err == nil {
			d.usage.noteAnswer(vm)
			return t, true
		}
		d.metrics.usageFailures.Inc(1)
		if d.usage.noteFault(vm) {
			d.log.Warn("report of usage failed", "collector", vm, "error", err.Error())
		}
	}
	return usage.Totals{}, false
}

// callCollector sends a report to a collector.
func (d *Daemon) callCollector(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, r usage.Report) (usage.Totals, error) {
	ctx, cancel := d.stalls.WithTimeout(ctx, usageTimeout)
	defer cancel()
	// A late reply is still written here.
	t := new(usage.Totals)
	began := time.Now()
	if err := d.usage.peers.call(ctx, vm, address, "Usage", r, t); err != nil {
		return usage.Totals{}, err
	}
	if err := t.Check(); err != nil {
		err = &Error{"report usage", KindInvalid, err}
		d.usage.peers.fail(began, time.Now(), vm, err)
		return usage.Totals{}, err
	}
	return *t, nil
}
