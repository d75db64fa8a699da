package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/cmd/standin/server/servertest"
)

const (
	hangTimeout = 100 * time.Millisecond
	inside      = "127.0.0.1"
	outside     = "127.0.2.1"
)

// startEcho starts a server that echoes lines.
func startEcho(c *qt.C) netip.AddrPort {
	l := listen(c)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for s := bufio.NewScanner(conn); s.Scan(); {
					_, _ = conn.Write([]byte(s.Text() + "\n"))
				}
			}()
		}
	}()
	return addrOf(l)
}

func listen(c *qt.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	return l
}

func addrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// startLink starts a relay and returns its address and the URL of its faults.
func startLink(c *qt.C, to netip.AddrPort) (netip.AddrPort, string) {
	k := New(to)
	l := listen(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Serve(ctx, l) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return addrOf(l), servertest.Start(c, k.Handler()) + "/faults"
}

// client is a connection to the echo server.
type client struct {
	net.Conn
	lines *bufio.Reader
}

func tryDial(c *qt.C, from string, to netip.AddrPort) (*client, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: servertest.Timeout}
	conn, err := d.Dial("tcp", to.String())
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { conn.Close() })
	return &client{conn, bufio.NewReader(conn)}, nil
}

func dial(c *qt.C, from string, to netip.AddrPort) *client {
	k, err := tryDial(c, from, to)
	c.Assert(err, qt.IsNil)
	return k
}

// tryEcho returns the error of an echo over a new connection, which may be
// reset while it is being established.
func tryEcho(c *qt.C, from string, to netip.AddrPort) error {
	k, err := tryDial(c, from, to)
	if err == nil {
		_, err = k.echo("a", servertest.Timeout)
	}
	return err
}

// echo sends a line and reads it back within d.
func (c *client) echo(line string, d time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(d))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	s, err := c.lines.ReadString('\n')
	return strings.TrimSpace(s), err
}

func TestReset(t *testing.T) {
	c := qt.New(t)
	to, faults := startLink(c, startEcho(c))
	in, out := dial(c, inside, to), dial(c, outside, to)
	mustEcho(c, in)
	mustEcho(c, out)
	servertest.Post(faults, `{"prefixes":["127.0.2.0/24"],"mode":"reset"}`, nil)

	// The idle connection is reset too.
	_ = out.SetDeadline(time.Now().Add(servertest.Timeout))
	_, err := out.lines.ReadString('\n')
	c.Assert(err, qt.ErrorMatches, ".*reset by peer")
	err = tryEcho(c, outside, to)
	c.Assert(err, qt.IsNotNil)
	c.Assert(isTimeout(err), qt.IsFalse)
	mustEcho(c, in)

	servertest.Post(faults, `{"prefixes":[]}`, nil)
	mustEcho(c, dial(c, outside, to))
}

func TestHang(t *testing.T) {
	c := qt.New(t)
	to, faults := startLink(c, startEcho(c))
	in, out := dial(c, inside, to), dial(c, outside, to)
	mustEcho(c, out)
	servertest.Post(faults, `{"prefixes":["127.0.2.0/24"]}`, nil)
	late := dial(c, outside, to)
	for _, k := range []*client{out, late} {
		_, err := k.echo("late", hangTimeout)
		c.Assert(isTimeout(err), qt.IsTrue)
	}
	mustEcho(c, in)

	// Data sent during the partition arrives when it ends.
	servertest.Post(faults, `{"prefixes":[]}`, nil)
	for _, k := range []*client{out, late} {
		_ = k.SetDeadline(time.Now().Add(servertest.Timeout))
		line, err := k.lines.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Equals, "late\n")
	}
}

func TestDelay(t *testing.T) {
	c := qt.New(t)
	to, faults := startLink(c, startEcho(c))
	c.Assert(servertest.Post(faults, `{"mode":"slow"}`, nil).Status, qt.Equals, http.StatusBadRequest)
	c.Assert(servertest.Post(faults, `{"delay":50000000}`, nil).Status, qt.Equals, http.StatusOK)
	k := dial(c, inside, to)
	begin := time.Now()
	mustEcho(c, k)
	c.Assert(time.Since(begin) >= 100*time.Millisecond, qt.IsTrue)
}

func TestHalfCloseIsForwarded(t *testing.T) {
	c := qt.New(t)
	to, _ := startLink(c, startEcho(c))
	k := dial(c, inside, to)
	mustEcho(c, k)
	c.Assert(k.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_ = k.SetDeadline(time.Now().Add(servertest.Timeout))
	_, err := k.lines.ReadByte()
	c.Assert(err, qt.ErrorMatches, "EOF")
}

func TestTargetIsUnavailable(t *testing.T) {
	c := qt.New(t)
	// A port in the ephemeral range could be assigned to another process.
	to, _ := startLink(c, netip.MustParseAddrPort("127.0.0.1:1"))
	err := tryEcho(c, inside, to)
	c.Assert(err, qt.IsNotNil)
	c.Assert(isTimeout(err), qt.IsFalse)
}

func mustEcho(c *qt.C, k *client) {
	got, err := k.echo("hello", servertest.Timeout)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "hello")
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
