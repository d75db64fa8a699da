package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the choice of ports.

// Ports are chosen below the kernel's ephemeral range, so that an outgoing
// connection cannot occupy the port of a process that is to be restarted.
const (
	firstPort    = 10_000
	portCount    = 20_000
	portAttempts = 100
)

// ports allocates free ports of loopback addresses. It never allocates an
// address twice.
type ports struct {
	taken map[netip.AddrPort]bool
}

func newPorts() *ports { return &ports{taken: make(map[netip.AddrPort]bool)} }

// markTaken excludes an address from allocation.
func (p *ports) markTaken(a netip.AddrPort) { p.taken[a] = true }

// free allocates a free port of ip.
func (p *ports) free(ip netip.Addr) (netip.AddrPort, error) {
	for range portAttempts {
		a := netip.AddrPortFrom(ip, uint16(firstPort+rand.IntN(portCount)))
		if p.taken[a] || !canListen(a) {
			continue
		}
		p.markTaken(a)
		return a, nil
	}
	return netip.AddrPort{}, &Error{"choose port", KindConfiguration, errors.Errorf("no free port at %s", ip)}
}

func canListen(a netip.AddrPort) bool {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// relocate returns a copy of c with every port replaced by a free one.
func (p *ports) relocate(c *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
	d := *c
	d.Inventory.VMs = append([]fescuelatch.VM(nil), c.Inventory.VMs...)
	d.Inventory.Endpoints = append([]fescuelatch.Endpoint(nil), c.Inventory.Endpoints...)
	var as []*netip.AddrPort
	for n := range d.Inventory.VMs {
		m := &d.Inventory.VMs[n]
		as = append(as, &m.Peer, &m.Caller, &m.Operator)
	}
	for n := range d.Inventory.Endpoints {
		as = append(as, &d.Inventory.Endpoints[n].Address)
	}
	for _, a := range as {
		b, err := p.free(a.Addr())
		if err != nil {
			return nil, err
		}
		*a = b
	}
	return &d, nil
}

// reserve marks the addresses of c as taken and checks that each is on
// loopback.
func (p *ports) reserve(c *fescuelatch.Configuration) error {
	var as []netip.AddrPort
	for _, m := range c.Inventory.VMs {
		as = append(as, m.Peer, m.Caller, m.Operator)
	}
	for _, e := range c.Inventory.Endpoints {
		as = append(as, e.Address)
	}
	for _, a := range as {
		if !a.Addr().IsLoopback() {
			return &Error{"reserve addresses", KindConfiguration, errors.Errorf("%s is not on loopback", a)}
		}
		p.markTaken(a)
	}
	return nil
}

// platformIP returns the IP address of the platform of a fleet whose first
// VM has the peer address a: 127.F.250.1, while the failure domains use
// 127.F.1.0/24 and up.
func platformIP(a netip.Addr) netip.Addr {
	const platformNet = 250
	b := a.As4()
	return netip.AddrFrom4([4]byte{b[0], b[1], platformNet, 1})
}
