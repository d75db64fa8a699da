package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how a daemon that holds nothing gets its first
// configuration.
//
// A daemon is ready when it has read the head at the platform. While the
// platform is away no change is accepted, and the daemon is ready once more
// than half of the entry VMs of its failure domain, itself and those that are
// gone left out of the count, have answered with a configuration. If more than
// half of all of them, the daemon's predecessor included, had a generation in
// force, one of these is then among those that answered. The daemon takes the
// highest generation that it has heard of. Daemons that hold nothing yet do
// not count as answers.

// Basis says what a daemon's first configuration rests on.
type Basis string

// Bases of a first configuration.
const (
	// BasisPlatform means that the platform was read.
	BasisPlatform Basis = "platform"
	// BasisDomain means that enough daemons of the failure domain answered.
	BasisDomain Basis = "failure-domain"
	// BasisPatience means that Patience has passed with fewer answers. The
	// failure domain may have had a higher generation in force at daemons
	// that could not be asked.
	BasisPatience Basis = "patience"
)

// Peer is another daemon that can be asked for its configuration.
type Peer struct {
	// VM is empty for an address of the settings whose VM is not known.
	VM fescuelatch.VMID
	// Since returns what leads from a generation to the one in force there.
	// An Update of generation zero says that the daemon holds none.
	Since func(ctx context.Context, g fescuelatch.Generation) (Update, error)
}

// Starter brings a first configuration into force in Holder. Store, Holder,
// VM, Domain and Peers are required.
type Starter struct {
	Store  *Store
	Holder *Holder
	VM     fescuelatch.VMID
	Domain fescuelatch.DomainID
	// Peers returns the daemons to ask, given the newest configuration that
	// was learned, which is nil at first. It then returns those that the
	// settings name.
	Peers func(*fescuelatch.Configuration) []Peer
	// Gone, when set, reports that a VM no longer exists. It must not
	// report a VM that is merely out of reach.
	Gone func(fescuelatch.VMID) bool
	// Patience, when set, is the time after which any answer will do.
	Patience time.Duration
	// Failed, when set, is told of each round that did not suffice.
	Failed func(error)
}

const (
	opStart = "start"
	// askTimeout bounds the question to one peer.
	askTimeout = time.Second
	// maxAsked bounds the questions that are open at the same time.
	maxAsked = 16
)

// Run returns once a configuration is in force, or with the last error when
// ctx ends.
func (s *Starter) Run(ctx context.Context) (Basis, error) {
	if s.Patience > 0 {
		return s.patient(ctx)
	}
	return s.strict(ctx)
}

// patient gives up the strict rule after Patience.
func (s *Starter) patient(ctx context.Context) (Basis, error) {
	short, cancel := context.WithTimeout(ctx, s.Patience)
	basis, err := s.strict(short)
	cancel()
	if err == nil || ctx.Err() != nil {
		return basis, err
	}
	for {
		newest, _ := s.askPeers(ctx)
		if newest != nil {
			if _, err := s.Holder.Offer(newest); err == nil {
				return BasisPatience, nil
			}
		}
		if basis, err = s.strictRound(ctx); err == nil {
			return basis, nil
		}
		if !pause.For(ctx, defaultRetryMax) {
			return "", err
		}
	}
}

func (s *Starter) strict(ctx context.Context) (Basis, error) {
	backOff := s.Store.Retry.backOff()
	for {
		basis, err := s.strictRound(ctx)
		if err == nil {
			return basis, nil
		}
		if s.Failed != nil {
			s.Failed(err)
		}
		if !pause.For(ctx, backOff.NextBackOff()) {
			return "", err
		}
	}
}

// strictRound tries the platform, then the peers.
func (s *Starter) strictRound(ctx context.Context) (Basis, error) {
	c, err := s.Store.Load(ctx)
	if err == nil {
		if c.Generation == 0 {
			return "", &Error{Op: opStart, Kind: KindNotReady, Err: errors.New("no configuration has been accepted yet")}
		}
		_, err = s.Holder.Offer(c)
		return BasisPlatform, err
	}
	newest, answered := s.askPeers(ctx)
	if newest == nil {
		return "", &Error{Op: opStart, Kind: KindNotReady, Err: err}
	}
	if have, of := s.count(newest, answered); of > 0 && 2*have <= of {
		err := errors.Wrapf(err, "%d of %d VMs of the failure domain answered", have, of)
		return "", &Error{Op: opStart, Kind: KindNotReady, Err: err}
	}
	_, err = s.Holder.Offer(newest)
	return BasisDomain, err
}

// count returns how many of the other VMs of the failure domain answered, and
// how many there are.
func (s *Starter) count(c *fescuelatch.Configuration, answered map[fescuelatch.VMID]bool) (have, of int) {
	for _, v := range c.Inventory.VMs {
		if v.Domain != s.Domain || v.ID == s.VM || s.Gone != nil && s.Gone(v.ID) {
			continue
		}
		of++
		if answered[v.ID] {
			have++
		}
	}
	return have, of
}

// askPeers asks until the newest configuration names no further peers. It
// returns that configuration and who answered with one.
func (s *Starter) askPeers(ctx context.Context) (*fescuelatch.Configuration, map[fescuelatch.VMID]bool) {
	var newest *fescuelatch.Configuration
	asked := make(map[fescuelatch.VMID]bool)
	answered := make(map[fescuelatch.VMID]bool)
	for first := true; ; first = false {
		var peers []Peer
		for _, p := range s.Peers(newest) {
			if p.VM == "" && first || p.VM != "" && !asked[p.VM] && p.VM != s.VM {
				asked[p.VM] = true
				peers = append(peers, p)
			}
		}
		if len(peers) == 0 {
			return newest, answered
		}
		for i, c := range ask(ctx, peers) {
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

// ask returns the configuration of each peer, nil for one that has none, gave
// no answer or an answer that contradicts itself.
func ask(ctx context.Context, peers []Peer) []*fescuelatch.Configuration {
	cs := make([]*fescuelatch.Configuration, len(peers))
	var g errgroup.Group
	g.SetLimit(maxAsked)
	for i, p := range peers {
		g.Go(func() error {
			cs[i] = askOne(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return cs
}

func askOne(ctx context.Context, p Peer) *fescuelatch.Configuration {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	u, err := p.Since(ctx, 0)
	if err != nil {
		return nil
	}
	var h Holder
	if _, err := h.Take(u); err != nil || h.View() == nil {
		return nil
	}
	return h.View().Configuration
}
