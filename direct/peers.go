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

// learnRounds is the number of times that a daemon asks its seeds what the store
// may have lost.
const learnRounds = 3

// learnFromPeers asks the seeds until something is known, from them or from
// the store, and then once what the store may have lost.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	for rounds := 0; rounds < learnRounds && pause.For(ctx, learnAfter); {
		d.mu.Lock()
		read := d.known.read
		d.mu.Unlock()
		switch {
		case read && d.learnUnwritten(ctx):
			return
		case read:
			rounds++
		case d.inForce.Load() == nil:
			d.askSeeds(ctx, "peer does not tell what is in force", func(seed netip.AddrPort) error { return d.learnFrom(ctx, seed) })
		}
	}
}

// askSeeds asks the seeds one after the other until one has answered, and reports
// whether one has. Daemons that start together do not all ask the same one first.
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

// learnFrom takes in what another daemon knows, unless the store has answered
// in the meantime.
func (d *Daemon) learnFrom(ctx context.Context, seed netip.AddrPort) error {
	s := &source{address: seed}
	defer s.close()
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
	d.known.apply(now, fescuelatch.Changes{Revision: reply.Revision, Era: reply.Era, Items: reply.Items})
	d.log.Info("learned from a peer what is in force", "peer", seed.String(), "revision", reply.Revision, "age", reply.Age.String())
	d.refreshLocked(now)
	return nil
}
