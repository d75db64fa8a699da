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
	firstPort = 15000
	lastPort  = 31999
	blockSize = 100
	// maxBlocks leaves blocks for other processes. It exceeds what a process uses in a minute.
	maxBlocks = 30
	// maxAttempts bounds the ports that are tried for an address.
	maxAttempts = 1000
)

// ports holds the ports of this process. Each process takes blocks of its own: an address
// that nothing listens on yet, or not for the moment, as its daemon starts again, must not
// be free for others.
var ports struct {
	sync.Mutex
	left, returned []uint16
	locks          []net.PacketConn
}

// Free returns an address that nothing listens on. No other process that runs gets it, and
// this one not before thousands of others.
func Free() (netip.AddrPort, error) {
	ports.Lock()
	defer ports.Unlock()
	for range maxAttempts {
		if err := refill(); err != nil {
			return netip.AddrPort{}, err
		}
		port := ports.left[0]
		ports.left, ports.returned = ports.left[1:], append(ports.returned, port)
		a := loopback(port)
		if l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a)); err == nil {
			return a, errors.WithStack(l.Close())
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

// refill makes sure that a port is left: one of another block, or the one that was returned
// first.
func refill() error {
	if len(ports.left) > 0 {
		return nil
	}
	var err error
	if len(ports.locks) < maxBlocks {
		if err = takeBlock(); err == nil {
			return nil
		}
	}
	ports.left, ports.returned = ports.returned, nil
	if len(ports.left) == 0 {
		return err
	}
	return nil
}

// takeBlock takes a block of ports until this process ends. The datagram socket of its
// first port is the lock, which is not in the way of listeners.
func takeBlock() error {
	var lastErr error
	for _, n := range rand.Perm((lastPort + 1 - firstPort) / blockSize) {
		first := uint16(firstPort + n*blockSize) //nolint:gosec // Within the bounds of a port.
		lock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback(first)))
		if err != nil {
			lastErr = err
			continue
		}
		ports.locks = append(ports.locks, lock)
		for _, i := range rand.Perm(blockSize) {
			ports.left = append(ports.left, first+uint16(i)) //nolint:gosec // Within the block.
		}
		return nil
	}
	return errors.Wrap(lastErr, "no block of ports is free")
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
