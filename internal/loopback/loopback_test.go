package loopback_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/internal/loopback"
)

// TestFree checks that a free address stays free while many connections open,
// each on an ephemeral port.
func TestFree(t *testing.T) {
	c := qt.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = server.Close() }()
	for range 50 {
		a, err := loopback.Free()
		c.Assert(err, qt.IsNil)
		for range 10 {
			k, err := net.Dial("tcp", server.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = k.Close() }()
			c.Assert(k.LocalAddr().String(), qt.Not(qt.Equals), a.String())
		}
		l, err := net.Listen("tcp", a.String())
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
	}
}

// TestFreeOnce checks that no address is returned twice before it is listened on.
func TestFreeOnce(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for range 500 {
		a, err := loopback.Free()
		c.Assert(err, qt.IsNil)
		c.Assert(seen[a.String()], qt.IsFalse, qt.Commentf("%s was returned before", a))
		seen[a.String()] = true
	}
}
