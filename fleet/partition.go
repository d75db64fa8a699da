package fleet

import (
	"context"
	"net/netip"

	"fescuelatch"
)

// This file defines network partitions: links drop connections by the IP
// address of the dialer.

// linkFaults are the faults of a link: it drops connections from Prefixes.
type linkFaults struct {
	Prefixes []netip.Prefix `json:"prefixes"`
}

// domainPrefixBits is the length of the network prefix of a failure domain.
const domainPrefixBits = 24

// linkDrops holds the prefixes dropped by each link, by control address.
type linkDrops map[netip.AddrPort]map[netip.Prefix]bool

func (d linkDrops) add(link netip.AddrPort, p netip.Prefix) {
	if d[link] == nil {
		d[link] = make(map[netip.Prefix]bool)
	}
	d[link][p] = true
}

// Partition partitions two failure domains from each other.
func (f *Fleet) Partition(ctx context.Context, a, b fescuelatch.DomainID) error {
	for _, m := range f.Configuration.Inventory.VMs {
		other := b
		switch m.Domain {
		case a:
		case b:
			other = a
		default:
			continue
		}
		if err := f.drop(ctx, f.addresses.controls[m.ID], other); err != nil {
			return err
		}
	}
	return nil
}

// PartitionPlatform partitions a failure domain from the platform's key-value
// service.
func (f *Fleet) PartitionPlatform(ctx context.Context, d fescuelatch.DomainID) error {
	return f.drop(ctx, f.addresses.platformControl, d)
}

// Isolate partitions a failure domain from all others and from the platform.
func (f *Fleet) Isolate(ctx context.Context, d fescuelatch.DomainID) error {
	for _, o := range f.Configuration.Inventory.Domains {
		if o.ID == d {
			continue
		}
		if err := f.Partition(ctx, d, o.ID); err != nil {
			return err
		}
	}
	return f.PartitionPlatform(ctx, d)
}

// Heal ends all partitions.
func (f *Fleet) Heal(ctx context.Context) error {
	f.mu.Lock()
	ds := f.drops
	f.drops = make(linkDrops)
	f.mu.Unlock()
	for link := range ds {
		if err := f.setDrops(ctx, link, []netip.Prefix{}); err != nil {
			return err
		}
	}
	return nil
}

// drop adds the network prefixes of d to those that a link drops.
func (f *Fleet) drop(ctx context.Context, link netip.AddrPort, d fescuelatch.DomainID) error {
	f.mu.Lock()
	for _, m := range f.Configuration.Inventory.VMs {
		if m.Domain == d {
			f.drops.add(link, netip.PrefixFrom(m.Peer.Addr(), domainPrefixBits).Masked())
		}
	}
	var ps []netip.Prefix
	for p := range f.drops[link] {
		ps = append(ps, p)
	}
	f.mu.Unlock()
	return f.setDrops(ctx, link, ps)
}

func (f *Fleet) setDrops(ctx context.Context, link netip.AddrPort, ps []netip.Prefix) error {
	return f.setFaults(ctx, link, linkFaults{Prefixes: ps})
}
