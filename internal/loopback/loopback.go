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

// The ports are below the kernel's ephemeral range (by default from 32768 on).
// An ephemeral port could be assigned to a connection of another test before
// the listener opens.
const (
	firstPort   = 15000
	lastPort    = 31999
	maxAttempts = 100
)

// allocated holds the ports that Free has returned in this process; they may
// not be listened on yet.
var allocated sync.Map

// Free returns an address that nothing listens on and that it has not returned
// before.
func Free() (netip.AddrPort, error) {
	var lastErr error
	for range maxAttempts {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort+1)) //nolint:gosec // Within the bounds of a port.
		if _, returned := allocated.LoadOrStore(port, true); returned {
			continue
		}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			lastErr = err
			continue
		}
		return a, errors.WithStack(l.Close())
	}
	return netip.AddrPort{}, errors.Wrap(lastErr, "no free port")
}
