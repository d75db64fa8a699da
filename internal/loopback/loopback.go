// Package loopback finds free addresses for tests that must know an address
// before something listens on it.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

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

// given holds the ports that this process has been given, which it may not
// listen on yet.
var given sync.Map

// Free returns an address on which nothing listens, and which it has not
// returned before.
func Free() (netip.AddrPort, error) {
	var last error
	for range tries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort+1)) //nolint:gosec // Within the bounds of a port.
		if _, twice := given.LoadOrStore(port, true); twice {
			continue
		}
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
