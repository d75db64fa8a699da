package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/decision"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines how a configuration reaches a daemon and comes into
// force.

const (
	// followers is the number of daemons of a failure domain that watch the
	// platform; the others learn from them.
	followers      = 2
	followInterval = time.Second
	fetchTimeout   = 2 * time.Second
	learnInterval  = 500 * time.Millisecond
)

// reachability is whether the platform could be reached last.
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

// follow watches the platform while this daemon is among the followers of
// its failure domain.
func (d *Daemon) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.isFollower() {
			pause(ctx, followInterval)
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		go d.resignWhenSuperseded(watching, cancel)
		f := &configstore.Follower{
			Store: d.store, Holder: d.holder,
			Failed:  func(err error) { d.platform.set(false); d.log.Warn("platform", "error", err.Error()) },
			Reached: func(fescuelatch.Generation) { d.platform.set(true); d.learned.Store(true) },
		}
		f.Run(watching)
		cancel()
	}
}

func (d *Daemon) resignWhenSuperseded(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		pause(ctx, followInterval)
		if !d.isFollower() {
			cancel()
		}
	}
}

// isFollower reports whether fewer than followers live daemons of the own
// failure domain precede this one. A daemon without a configuration follows.
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
	return before < followers
}

// bringIntoForce hands each new configuration to the core and the ownership
// table, and tells the daemons of the own failure domain of it.
func (d *Daemon) bringIntoForce(ctx context.Context) {
	var g fescuelatch.Generation
	for ctx.Err() == nil {
		v, err := d.holder.Wait(ctx, g)
		if err != nil {
			return
		}
		g = v.Generation()
		d.mu.Lock()
		now := time.Now()
		d.table.Configure(now, ownership.DomainOf(v, d.options.Domain))
		d.deliver(now, d.core.Handle(now, decision.Configured{View: v}))
		d.refreshOwned(now)
		d.mu.Unlock()
		d.metrics.generation.Update(float64(g))
		d.log.Info("configuration in force", "generation", g, "digest", d.holder.Digest())
		go d.announce()
	}
}

// fetchFrom asks another daemon for what leads to its generation.
func (d *Daemon) fetchFrom(ctx context.Context, vm fescuelatch.VMID) {
	v := d.holder.View()
	if v == nil {
		return
	}
	if m, ok := v.VM(vm); ok {
		d.fetch(ctx, m.Peer)
	}
}

// fetch takes in what a daemon has in force and reports whether it answered.
func (d *Daemon) fetch(ctx context.Context, from netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	after := d.holder.Generation()
	err := d.fetchAfter(ctx, from, after)
	if configstore.KindOf(err) == configstore.KindMismatch {
		err = d.fetchAfter(ctx, from, 0)
	}
	if err != nil {
		d.log.Debug("fetch configuration", "from", from.String(), "error", err.Error())
	}
	return err == nil
}

func (d *Daemon) fetchAfter(ctx context.Context, from netip.AddrPort, g fescuelatch.Generation) error {
	reply, err := d.peers.Changes(ctx, from, &peer.ChangesRequest{After: g})
	if err != nil {
		return err
	}
	var u configstore.Update
	if err := json.Unmarshal(reply.Update, &u); err != nil {
		return err
	}
	_, err = d.holder.Take(u)
	return err
}

// learn brings a daemon that starts while the platform is away up to what
// its failure domain has in force. Until the platform, or every seed that
// can be asked, has answered, the daemon is not ready.
func (d *Daemon) learn(ctx context.Context) {
	for ctx.Err() == nil && !d.learned.Load() {
		answered := 0
		for _, s := range d.options.Seeds {
			if d.fetch(ctx, s) {
				answered++
			}
		}
		if answered > 0 && answered == len(d.options.Seeds) && d.holder.View() != nil {
			d.learned.Store(true)
		}
		pause(ctx, learnInterval)
	}
}

// pause waits for t or the end of ctx.
func pause(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}
