package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/configstore"
	"fescuelatch/decision"
	"fescuelatch/internal/pause"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines how a daemon receives and activates configurations.

const (
	// maxFollowers is the number of daemons per failure domain that watch the
	// platform; the others receive configurations from them.
	maxFollowers   = 2
	followInterval = time.Second
	// recheckInterval is the interval at which a follower reads the head. It
	// bounds how long a dropped watch event or a silently broken connection can
	// delay an accepted change.
	recheckInterval = 3 * time.Second
	fetchTimeout    = 2 * time.Second
)

// reachability records whether the last call to the platform succeeded.
type reachability struct {
	mu    sync.Mutex
	known bool
	ok    bool
	since time.Time
}

func (r *reachability) set(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || r.ok != ok {
		r.known = true
		r.ok = ok
		r.since = time.Now()
	}
}

func (r *reachability) get() (ok bool, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ok, r.since
}

// follow watches the platform while this daemon is a follower of its failure
// domain.
func (d *Daemon) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.isFollower() {
			pause.For(ctx, followInterval)
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		go d.cancelWhenSuperseded(watching, cancel)
		f := &configstore.Follower{
			Store: d.store, Holder: d.holder, RecheckInterval: recheckInterval,
			OnError: d.platformFailed, OnHeadRead: d.platformReached,
		}
		f.Run(watching)
		cancel()
	}
}

func (d *Daemon) platformFailed(err error) {
	d.log.Warn("platform request failed", "error", err.Error())
	d.platformReachability.set(false)
	d.life.FireIfPossible(chart.EventCut)
}

func (d *Daemon) platformReached(fescuelatch.Generation) {
	d.platformReachability.set(true)
	d.markLearned()
	d.life.FireIfPossible(chart.EventRejoin)
}

func (d *Daemon) cancelWhenSuperseded(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		pause.For(ctx, followInterval)
		if !d.isFollower() {
			cancel()
		}
	}
}

// isFollower reports whether fewer than maxFollowers live daemons of the own
// failure domain precede this one. A daemon without a configuration is a
// follower.
func (d *Daemon) isFollower() bool {
	if d.holder.View() == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := 0
	for _, m := range d.table.Members(time.Now()) {
		if m.State == ownership.StateAlive && m.VM < d.options.VM {
			before++
		}
	}
	return before < maxFollowers
}

// applyConfigurations passes each new configuration to the core and the
// ownership table and announces it in the own failure domain.
func (d *Daemon) applyConfigurations(ctx context.Context) {
	select {
	case <-d.learnedSignal:
	case <-ctx.Done():
		return
	}
	var g fescuelatch.Generation
	for ctx.Err() == nil {
		v, err := d.holder.Wait(ctx, g)
		if err != nil {
			return
		}
		g = v.Generation()
		d.numberings.forView(v)
		d.mu.Lock()
		now := time.Now()
		d.table.Configure(now, ownership.DomainOf(v, d.options.Domain))
		d.deliver(now, d.core.Handle(now, decision.Configured{View: v}))
		d.refreshOwned(now)
		d.mu.Unlock()
		d.bindings.Forget(v.Withdrawn)
		d.metrics.generation.Update(float64(g))
		d.log.Info("configuration in force", "generation", g, "digest", d.holder.Digest())
		go d.announce(ctx)
	}
}

// fetchFrom requests the changes up to another daemon's generation.
func (d *Daemon) fetchFrom(ctx context.Context, vm fescuelatch.VMID) {
	v := d.holder.View()
	if v == nil {
		return
	}
	if m, ok := v.VM(vm); ok {
		d.fetch(ctx, m.Peer)
	}
}

// fetch merges the active configuration of another daemon and reports whether
// the daemon replied.
func (d *Daemon) fetch(ctx context.Context, from netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	after := d.holder.Generation()
	err := d.fetchAfter(ctx, from, after)
	if configstore.KindOf(err) == configstore.KindMismatch {
		err = d.fetchAfter(ctx, from, 0)
	}
	if err != nil {
		d.log.Debug("cannot fetch configuration from daemon", "from", from.String(), "error", err.Error())
	}
	return err == nil
}

func (d *Daemon) fetchAfter(ctx context.Context, from netip.AddrPort, g fescuelatch.Generation) error {
	u, err := d.changesAfter(ctx, from, g)
	if err != nil {
		return err
	}
	_, err = d.holder.ApplyUpdate(u)
	return err
}

// changesAfter requests the changes from generation g to the generation of
// another daemon.
func (d *Daemon) changesAfter(ctx context.Context, from netip.AddrPort, g fescuelatch.Generation) (configstore.Update, error) {
	var u configstore.Update
	reply, err := d.peers.Changes(ctx, from, &peer.ChangesRequest{After: g})
	if err != nil {
		return u, err
	}
	return u, json.Unmarshal(reply.Update, &u)
}

// catchUp reads the latest configuration from the platform when this daemon may
// lack it, and reports whether the read succeeded.
func (d *Daemon) catchUp(ctx context.Context) bool {
	f := &configstore.Follower{Store: d.store, Holder: d.holder}
	err := f.CatchUp(ctx)
	if err != nil {
		d.log.Warn("platform request failed", "error", err.Error())
	}
	return err == nil
}

// learnConfiguration obtains the active configuration from the platform or the
// failure domain for a daemon that has none. The daemon is not ready before.
func (d *Daemon) learnConfiguration(ctx context.Context) {
	s := &configstore.Starter{
		Store: d.store, Holder: d.holder, VM: d.options.VM, Domain: d.options.Domain,
		Peers: d.bootstrapPeers, VMRemoved: d.isGone,
		OnError: func(err error) { d.log.Info("no configuration yet", "error", err.Error()) },
	}
	basis, err := s.Run(ctx)
	if err != nil {
		return
	}
	d.log.Info("configuration learned", "basis", basis, "generation", d.holder.Generation())
	d.markLearned()
}

// markLearned allows activation of the configuration.
func (d *Daemon) markLearned() {
	if d.learned.CompareAndSwap(false, true) {
		d.life.FireIfPossible(chart.EventLearned)
		close(d.learnedSignal)
	}
}

// bootstrapPeers returns the daemons to request a configuration from.
func (d *Daemon) bootstrapPeers(c *fescuelatch.Configuration) []configstore.Peer {
	var ps []configstore.Peer
	if c == nil {
		for _, a := range d.options.Seeds {
			ps = append(ps, d.bootstrapPeer("", a))
		}
		return ps
	}
	for _, m := range c.Inventory.VMs {
		if m.ID != d.options.VM {
			ps = append(ps, d.bootstrapPeer(m.ID, m.Peer))
		}
	}
	return ps
}

func (d *Daemon) bootstrapPeer(vm fescuelatch.VMID, a netip.AddrPort) configstore.Peer {
	since := func(ctx context.Context, g fescuelatch.Generation) (configstore.Update, error) {
		return d.changesAfter(ctx, a, g)
	}
	return configstore.Peer{VM: vm, Since: since}
}
