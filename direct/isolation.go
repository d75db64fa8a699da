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

// This file defines what a daemon does when its VM or its failure domain is cut
// off from the rest of the fleet. Callers still reach it, but few endpoints or none
// are left to it, while daemons elsewhere have nearly all. It leaves the rotation of
// the balancer, which sends new callers to other failure domains, and goes on to
// serve what still comes as far as it can.
//
// The load that this answers is that of the cut domain: without it, its callers
// meet a part of the capacity, or services that have no endpoint there, for as long
// as the cut lasts.

const (
	// isolationInterval is that at which a daemon that seems to be cut off tries
	// to reach others.
	isolationInterval = 400 * time.Millisecond
	// isolationPeers is the number of daemons that it tries.
	isolationPeers = 3
	// isolationDial bounds such a try.
	isolationDial = 250 * time.Millisecond
	// isolationMost is how long a daemon stays out of rotation at a time, and
	// isolationRest how long it takes part again after that: were all failure domains
	// cut off from each other, none would take callers.
	isolationMost = 15 * time.Second
	isolationRest = 5 * time.Second
	// balancerNotices is how long the balancer goes on to send callers to a daemon
	// that has left the rotation. Before, a caller that has to connect again may meet
	// the same failure domain.
	balancerNotices = 2 * time.Second
	// returnSpread spreads the callers who are told to come back.
	returnSpread = 200 * time.Millisecond
)

// isolation judges whether this daemon is cut off. Its zero value is that of one
// that is not. It reads no clock and is not safe for concurrent use.
type isolation struct {
	// suspected reports that most failure domains are dark, and alone that no daemon
	// there could be reached, since a time.
	suspected bool
	alone     bool
	since     time.Time
	// checked is when other daemons were last tried.
	checked time.Time
}

// observe takes in how many failure domains are dark, of all that have endpoints. It
// reports whether daemons of the dark ones should be tried now. Half of them do not
// suffice: the other half of the fleet would judge alike.
func (i *isolation) observe(now time.Time, dark, all int) bool {
	i.suspected = 2*dark > all
	if !i.suspected {
		i.alone, i.since = false, time.Time{}
		return false
	}
	if now.Sub(i.checked) < isolationInterval {
		return false
	}
	i.checked = now
	return true
}

// tried takes in whether a daemon of a dark failure domain was reached: then its
// endpoints have failed, and this daemon is no worse off than others.
func (i *isolation) tried(now time.Time, reached bool) {
	switch {
	case reached || !i.suspected:
		i.alone, i.since = false, time.Time{}
	case !i.alone:
		i.alone, i.since = true, now
	}
}

// leaves reports whether the daemon leaves the rotation.
func (i *isolation) leaves(now time.Time) bool {
	return i.alone && now.Sub(i.since)%(isolationMost+isolationRest) < isolationMost
}

// elsewhere returns how long it takes until a caller that connects again is served by
// another failure domain. It reports false while the daemon is in rotation.
func (i *isolation) elsewhere(now time.Time) (time.Duration, bool) {
	if !i.leaves(now) {
		return 0, false
	}
	return max(0, balancerNotices-now.Sub(i.since)%(isolationMost+isolationRest)), true
}

// watchIsolationLocked judges whether this daemon is cut off and has others tried
// when it seems so.
func (d *Daemon) watchIsolationLocked(ctx context.Context, now time.Time) {
	dark, all := d.gate.DarkDomains()
	if d.isolation.observe(now, len(dark), all) {
		peers := peersIn(d.known.members, dark, d.options.Domain)
		if len(peers) > 0 {
			go d.tryPeers(ctx, peers)
		}
	}
	leaves := d.isolation.leaves(now)
	if leaves != d.isolated.Swap(leaves) {
		if leaves {
			d.log.Warn("cut off from most failure domains; callers are asked to go elsewhere", "dark", dark, "failure-domains", all, "store-age", d.store.age(now).String())
		} else {
			d.log.Info("callers are taken again", "dark", dark, "failure-domains", all, "store-age", d.store.age(now).String())
		}
	}
	wait, ok := d.isolation.elsewhere(now)
	d.closing.Redirect(ok && wait == 0)
}

// comeBack returns the time to come back that a refused caller is told: while this
// daemon is cut off, that at which others serve it.
func (d *Daemon) comeBack(now time.Time, after time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait, ok := d.isolation.elsewhere(now); ok {
		return wait + rand.N(returnSpread)
	}
	return after
}

// peersIn returns a few daemons of some failure domains other than the own one.
func peersIn(members map[fescuelatch.VMID]member, domains []fescuelatch.DomainID, own fescuelatch.DomainID) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range members {
		if m.Domain != own && m.Control.IsValid() && slices.Contains(domains, m.Domain) {
			peers = append(peers, m.Control)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), isolationPeers)]
}

// tryPeers tries to reach daemons, all at once.
func (d *Daemon) tryPeers(ctx context.Context, peers []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, isolationDial)
	defer cancel()
	reached := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", p.String())
			if err == nil {
				// Nothing was sent on it.
				_ = c.Close()
			}
			reached <- err == nil
		}()
	}
	some := false
	for range peers {
		some = <-reached || some
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isolation.tried(time.Now(), some)
}
