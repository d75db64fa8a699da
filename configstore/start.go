package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how a starting daemon obtains its first configuration.
//
// A daemon is ready once it has read the head from the platform. While the
// platform is unavailable no change can be accepted, and the daemon becomes
// ready once a majority of the entry VMs of its failure domain have answered
// with a configuration. The count excludes the daemon itself and VMs that no
// longer exist. If a generation was active on a majority of all entry VMs,
// including the daemon's predecessor, at least one of them is among those
// that answered. The daemon adopts the highest generation received. An answer
// from a daemon without a configuration does not count.

// Basis is the source that confirmed a daemon's first configuration.
type Basis string

// Sources of a first configuration.
const (
	// BasisPlatform means that the configuration was read from the platform.
	BasisPlatform Basis = "platform"
	// BasisDomain means that a majority of the failure domain answered.
	BasisDomain Basis = "failure-domain"
	// BasisTimeout means that QuorumTimeout expired before a majority answered.
	// A higher generation may be active on daemons that were unreachable.
	BasisTimeout Basis = "patience"
)

// Peer is another daemon that can be queried for its configuration.
type Peer struct {
	// VM is empty for an address from the settings whose VM is not known.
	VM fescuelatch.VMID
	// Since returns the update from generation g to the generation active on
	// the peer. Generation zero in the result means that it has none.
	Since func(ctx context.Context, g fescuelatch.Generation) (Update, error)
}

// Starter activates the first configuration of Holder. Store, Holder, VM,
// Domain and Peers are required.
type Starter struct {
	Store  *Store
	Holder *Holder
	VM     fescuelatch.VMID
	Domain fescuelatch.DomainID
	// Peers returns the daemons to query, given the newest configuration
	// received so far. While that is nil, it returns those in the settings.
	Peers func(*fescuelatch.Configuration) []Peer
	// VMRemoved, if set, reports whether a VM no longer exists. It must return
	// false for a VM that is merely unreachable.
	VMRemoved func(fescuelatch.VMID) bool
	// QuorumTimeout, if set, is the time after which a single answer suffices.
	QuorumTimeout time.Duration
	// OnError, if set, is called with the error of each unsuccessful attempt.
	OnError func(error)
}

const (
	opStart = "start"
	// queryTimeout limits the query to one peer.
	queryTimeout = time.Second
	// maxConcurrentQueries limits the queries in progress at the same time.
	maxConcurrentQueries = 16
)

// Run returns once a configuration is active, or returns the last error when
// ctx is done.
func (s *Starter) Run(ctx context.Context) (Basis, error) {
	if s.QuorumTimeout > 0 {
		return s.runWithTimeout(ctx)
	}
	return s.runStrict(ctx)
}

// runWithTimeout requires a majority until QuorumTimeout expires, and accepts any
// answer afterwards.
func (s *Starter) runWithTimeout(ctx context.Context) (Basis, error) {
	quorumCtx, cancel := context.WithTimeout(ctx, s.QuorumTimeout)
	basis, err := s.runStrict(quorumCtx)
	cancel()
	if err == nil || ctx.Err() != nil {
		return basis, err
	}
	for {
		newest, _ := s.queryPeers(ctx)
		if newest != nil {
			if _, err := s.Holder.Activate(newest); err == nil {
				return BasisTimeout, nil
			}
		}
		if basis, err = s.attempt(ctx); err == nil {
			return basis, nil
		}
		if !pause.For(ctx, defaultRetryMax) {
			return "", err
		}
	}
}

func (s *Starter) runStrict(ctx context.Context) (Basis, error) {
	backOff := s.Store.Retry.backOff()
	for {
		basis, err := s.attempt(ctx)
		if err == nil {
			return basis, nil
		}
		if s.OnError != nil {
			s.OnError(err)
		}
		if !pause.For(ctx, backOff.NextBackOff()) {
			return "", err
		}
	}
}

// attempt makes one attempt with the platform, then with the peers.
func (s *Starter) attempt(ctx context.Context) (Basis, error) {
	c, err := s.Store.Load(ctx)
	if err == nil {
		if c.Generation == 0 {
			return "", &Error{Op: opStart, Kind: KindNotReady, Err: errors.New("the platform has no accepted configuration yet")}
		}
		_, err = s.Holder.Activate(c)
		return BasisPlatform, err
	}
	newest, answered := s.queryPeers(ctx)
	if newest == nil {
		return "", &Error{Op: opStart, Kind: KindNotReady, Err: err}
	}
	if answers, total := s.countAnswered(newest, answered); total > 0 && 2*answers <= total {
		err := errors.Wrapf(err, "only %d of %d other VMs of the failure domain answered", answers, total)
		return "", &Error{Op: opStart, Kind: KindNotReady, Err: err}
	}
	_, err = s.Holder.Activate(newest)
	return BasisDomain, err
}

// countAnswered returns how many of the other VMs of the failure domain
// answered, and their total number.
func (s *Starter) countAnswered(c *fescuelatch.Configuration, answered map[fescuelatch.VMID]bool) (answers, total int) {
	for _, v := range c.Inventory.VMs {
		if v.Domain != s.Domain || v.ID == s.VM || s.VMRemoved != nil && s.VMRemoved(v.ID) {
			continue
		}
		total++
		if answered[v.ID] {
			answers++
		}
	}
	return answers, total
}

// queryPeers queries peers until the newest configuration lists no further
// ones. It returns that configuration and the VMs that answered with one.
func (s *Starter) queryPeers(ctx context.Context) (*fescuelatch.Configuration, map[fescuelatch.VMID]bool) {
	var newest *fescuelatch.Configuration
	queried := make(map[fescuelatch.VMID]bool)
	answered := make(map[fescuelatch.VMID]bool)
	for first := true; ; first = false {
		var peers []Peer
		for _, p := range s.Peers(newest) {
			if p.VM == "" && first || p.VM != "" && !queried[p.VM] && p.VM != s.VM {
				queried[p.VM] = true
				peers = append(peers, p)
			}
		}
		if len(peers) == 0 {
			return newest, answered
		}
		for i, c := range queryAll(ctx, peers) {
			if c == nil {
				continue
			}
			answered[peers[i].VM] = true
			if newest == nil || c.Generation > newest.Generation {
				newest = c
			}
		}
	}
}

// queryAll returns the configuration of each peer, or nil for a peer that has
// none, did not answer or sent an inconsistent answer.
func queryAll(ctx context.Context, peers []Peer) []*fescuelatch.Configuration {
	cs := make([]*fescuelatch.Configuration, len(peers))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for i, p := range peers {
		g.Go(func() error {
			cs[i] = queryPeer(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return cs
}

func queryPeer(ctx context.Context, p Peer) *fescuelatch.Configuration {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	u, err := p.Since(ctx, 0)
	if err != nil {
		return nil
	}
	var h Holder
	if _, err := h.ApplyUpdate(u); err != nil || h.View() == nil {
		return nil
	}
	return h.View().Configuration
}
