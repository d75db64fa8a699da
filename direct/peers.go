package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how a daemon that starts while the store is unavailable gets
// the active configuration from another daemon.

const (
	peerService = "Daemon"
	// learnInterval is how long a starting daemon waits for the store before it
	// asks another daemon, and the time between two rounds. When many daemons start
	// at once, the store is busy for most of it.
	learnInterval = 800 * time.Millisecond
)

// peerServer serves the RPCs of other daemons.
type peerServer struct{ daemon *Daemon }

// maxLearnRounds bounds the rounds in which a daemon asks its seeds for entries
// that the store may have lost.
const maxLearnRounds = 3

// learnFromPeers asks the seeds until a configuration is active or the store has
// been read, and then once for entries that the store may have lost.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	for rounds := 0; rounds < maxLearnRounds && pause.For(ctx, learnInterval); {
		d.mu.Lock()
		read := d.storeView.synced
		d.mu.Unlock()
		switch {
		case read && d.learnUnwritten(ctx):
			return
		case read:
			rounds++
		case d.active.Load() == nil:
			d.askSeeds(ctx, "request to a peer for the active configuration failed", func(seed netip.AddrPort) error { return d.learnFromPeer(ctx, seed) })
		}
	}
}

// askSeeds asks the seeds one at a time until one answers, and reports whether one
// did. The order is random, so that daemons that start together don't all ask the
// same seed first.
func (d *Daemon) askSeeds(ctx context.Context, failed string, ask func(netip.AddrPort) error) bool {
	for _, i := range rand.Perm(len(d.options.Seeds)) {
		seed := d.options.Seeds[i]
		if seed == d.options.Control || ctx.Err() != nil {
			continue
		}
		if err := ask(seed); err != nil {
			d.log.Debug(failed, "peer", seed.String(), "error", err.Error())
			continue
		}
		return true
	}
	return false
}

// learnFromPeer merges the state of another daemon, unless the store has answered
// in the meantime.
func (d *Daemon) learnFromPeer(ctx context.Context, seed netip.AddrPort) error {
	s := &source{address: seed}
	defer s.close()
	reply, err := d.askSource(ctx, s, 0)
	if err != nil {
		return err
	}
	reply.Items = d.decoding.prepare(reply.Items)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeView.usable() || len(reply.Items) == 0 {
		return nil
	}
	d.storeView.apply(now, fescuelatch.Changes{Revision: reply.Revision, Era: reply.Era, Items: reply.Items})
	d.log.Info("received the active configuration from a peer", "peer", seed.String(), "revision", reply.Revision, "age", reply.Age.String())
	d.refreshLocked(now)
	return nil
}
