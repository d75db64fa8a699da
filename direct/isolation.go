package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines how a daemon reacts when its VM or its failure domain is
// partitioned from the rest of the fleet. Callers still reach it, but it reaches few
// endpoints or none, while daemons elsewhere reach nearly all. It leaves the load
// balancer's rotation, which sends new callers to other failure domains, and still
// serves the requests it gets as far as it can.
//
// Otherwise callers of the partitioned domain would get only part of the capacity,
// or services without an endpoint there, until the partition ends.

const (
	// isolationProbeInterval is the time between probes of other daemons while this
	// one may be isolated.
	isolationProbeInterval = 400 * time.Millisecond
	// maxIsolationProbes bounds the daemons probed at a time.
	maxIsolationProbes = 3
	// isolationProbeTimeout is how long this daemon runs before a probe has failed.
	isolationProbeTimeout = 250 * time.Millisecond
	// maxOutOfRotation bounds how long a daemon stays out of rotation at a time,
	// and inRotationWindow is how long it then takes callers. Otherwise no daemon
	// would take any if all failure domains were cut off from each other.
	maxOutOfRotation = 15 * time.Second
	inRotationWindow = 5 * time.Second
	// balancerDelay is how long the load balancer may still send callers to a daemon
	// that has left the rotation. A caller that reconnects earlier may reach the same
	// failure domain again.
	balancerDelay = 2 * time.Second
	// retryJitter spreads out the retries of refused callers.
	retryJitter = 200 * time.Millisecond
)

// isolation detects whether this daemon is isolated. Its zero value means that it
// is not. It reads no clock and is not safe for concurrent use.
type isolation struct {
	// suspected reports whether most failure domains are unreachable, and isolated
	// whether no daemon there could be reached either, since isolatedSince.
	suspected     bool
	isolated      bool
	isolatedSince time.Time
	// lastProbe is when other daemons were last probed, and probing reports that this
	// has no result yet.
	lastProbe time.Time
	probing   bool
}

// observe records how many of the failure domains with endpoints are unreachable, and
// reports whether daemons there should be probed now. Half of the domains are not
// enough: the other half of the fleet would see the same.
func (i *isolation) observe(now time.Time, unreachable, total int) bool {
	i.suspected = 2*unreachable > total
	if !i.suspected {
		i.isolated, i.isolatedSince = false, time.Time{}
		return false
	}
	if i.probing || now.Sub(i.lastProbe) < isolationProbeInterval {
		return false
	}
	i.lastProbe = now
	return true
}

// recordProbe records whether a daemon of an unreachable failure domain was reached. If
// so, the endpoints there have failed, and other daemons can't reach them either.
func (i *isolation) recordProbe(now time.Time, reached bool) {
	i.probing = false
	switch {
	case reached || !i.suspected:
		i.isolated, i.isolatedSince = false, time.Time{}
	case !i.isolated:
		i.isolated, i.isolatedSince = true, now
	}
}

// outOfRotation reports whether the daemon is to be out of rotation.
func (i *isolation) outOfRotation(now time.Time) bool {
	return i.isolated && now.Sub(i.isolatedSince)%(maxOutOfRotation+inRotationWindow) < maxOutOfRotation
}

// redirectDelay returns the time until callers that reconnect reach another failure
// domain, or false while the daemon is in rotation.
func (i *isolation) redirectDelay(now time.Time) (time.Duration, bool) {
	if !i.outOfRotation(now) {
		return 0, false
	}
	return max(0, balancerDelay-now.Sub(i.isolatedSince)%(maxOutOfRotation+inRotationWindow)), true
}

// watchIsolationLocked updates whether this daemon is isolated, and probes other
// daemons when it may be.
func (d *Daemon) watchIsolationLocked(ctx context.Context, now time.Time) {
	unreachable, total := d.gate.UnreachableDomains()
	if d.isolation.observe(now, len(unreachable), total) {
		peers := peersInDomains(d.storeView.members, unreachable, d.options.Domain)
		if len(peers) > 0 {
			d.isolation.probing = true
			go d.probePeers(ctx, peers)
		}
	}
	out := d.isolation.outOfRotation(now)
	if out != d.isolated.Swap(out) {
		if out {
			d.log.Warn("most failure domains are unreachable; leaving the load balancer's rotation", "dark", unreachable, "failure-domains", total, "store-age", d.store.age(now).String())
		} else {
			d.log.Info("callers are taken again", "dark", unreachable, "failure-domains", total, "store-age", d.store.age(now).String())
		}
	}
	wait, ok := d.isolation.redirectDelay(now)
	d.closing.Redirect(ok && wait == 0)
}

// retryDelay returns how long a refused caller is told to wait before a retry: after,
// or while this daemon is isolated, the time until another failure domain serves it.
func (d *Daemon) retryDelay(now time.Time, after time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait, ok := d.isolation.redirectDelay(now); ok {
		return wait + rand.N(retryJitter)
	}
	return after
}

// peersInDomains returns random daemons of the given failure domains other than own.
func peersInDomains(members map[fescuelatch.VMID]member, domains []fescuelatch.DomainID, own fescuelatch.DomainID) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range members {
		if m.Domain != own && m.Control.IsValid() && slices.Contains(domains, m.Domain) {
			peers = append(peers, m.Control)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxIsolationProbes)]
}

// probePeers records whether any of the given daemons can be reached.
func (d *Daemon) probePeers(ctx context.Context, peers []netip.AddrPort) {
	reached := d.reachesAny(ctx, peers, connect)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isolation.recordProbe(time.Now(), reached)
}

// reachesAny connects to the given daemons in parallel, and reports whether any was reached
// within the time in which this daemon should notice it.
func (d *Daemon) reachesAny(ctx context.Context, peers []netip.AddrPort, connect func(context.Context, netip.AddrPort) error) bool {
	ctx, cancel := d.stalls.WithTimeout(ctx, isolationProbeTimeout)
	defer cancel()
	reached := make(chan bool, len(peers))
	for _, p := range peers {
		go func() { reached <- connect(ctx, p) == nil }()
	}
	anyReached := false
	for range peers {
		anyReached = <-reached || anyReached
	}
	return anyReached
}

// connect opens a connection to another daemon and closes it.
func connect(ctx context.Context, to netip.AddrPort) error {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return &Error{"connect", KindPeer, err}
	}
	// Nothing was sent on it.
	_ = c.Close()
	return nil
}
