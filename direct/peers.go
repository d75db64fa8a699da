package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines what daemons tell each other: one that starts while the
// store is away learns from another what is in force.

const (
	peerService = "Daemon"
	// learnAfter is how long a starting daemon waits for the store before it
	// asks another daemon, and the time between two rounds. Many that start
	// at once keep the store busy for most of it.
	learnAfter = 800 * time.Millisecond
)

// peerServer serves the calls of other daemons.
type peerServer struct{ daemon *Daemon }

// learnFromPeers asks the seeds until something is known, from them or from
// the store.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	for pause.For(ctx, learnAfter) {
		if d.inForce.Load() != nil {
			return
		}
		// Daemons that start together do not all ask the same one.
		for _, i := range rand.Perm(len(d.options.Seeds)) {
			seed := d.options.Seeds[i]
			if seed == d.options.Control {
				continue
			}
			if err := d.learnFrom(ctx, seed); err != nil {
				d.log.Debug("peer does not tell what is in force", "peer", seed.String(), "error", err.Error())
				continue
			}
			break
		}
	}
}

// learnFrom takes in what another daemon knows, unless the store has answered
// in the meantime.
func (d *Daemon) learnFrom(ctx context.Context, seed netip.AddrPort) error {
	s := &source{address: seed}
	defer func() {
		if s.client != nil {
			// The connection is not used any more, however its close ends.
			_ = s.client.Close()
		}
	}()
	reply, err := s.ask(ctx, d.options.VM)
	if err != nil {
		return err
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.usable() || len(reply.Items) == 0 {
		return nil
	}
	d.known.apply(now, fescuelatch.Changes{Revision: reply.Revision, Items: reply.Items})
	d.log.Info("learned from a peer what is in force", "peer", seed.String(), "revision", reply.Revision, "age", reply.Age.String())
	d.refreshLocked(now)
	return nil
}
