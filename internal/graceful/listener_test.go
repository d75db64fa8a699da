package graceful

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestListener checks that connections in the kernel's accept queue outlive the
// close of their listener.
func TestListener(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	d := &Listener{TCPListener: l.(*net.TCPListener)}
	const waiting = 20
	for i := range waiting {
		caller, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = caller.Close() }()
		_, err = fmt.Fprintf(caller, "%2d", i)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(d.Close(), qt.IsNil)
	for i := range waiting {
		served, err := d.Accept()
		c.Assert(err, qt.IsNil)
		b := make([]byte, 2)
		_, err = served.Read(b)
		c.Assert(err, qt.IsNil)
		c.Check(string(b), qt.Equals, fmt.Sprintf("%2d", i))
		c.Assert(served.Close(), qt.IsNil)
	}
	_, err = d.Accept()
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
	_, err = net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.ErrorMatches, ".*connection refused")
}
