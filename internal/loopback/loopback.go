// Package loopback finds free addresses for tests that must know an address
// before something listens on it.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// The ports lie below those that the kernel gives to connections (by default
// from 32768 on). One of those could be given to a connection of another test
// before the listener opens.
const (
	firstPort = 15000
	lastPort  = 31999
	tries     = 100
)

// Free returns an address on which nothing listens.
func Free() (netip.AddrPort, error) {
	var last error
	for range tries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort+1)) //nolint:gosec // Within the bounds of a port.
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			last = err
			continue
		}
		return a, errors.WithStack(l.Close())
	}
	return netip.AddrPort{}, errors.Wrap(last, "no free port")
}
