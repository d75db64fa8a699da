package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/endpoint"
)

// This file tests endless answers: they use bounded memory and time, their
// connection is closed, and they are never accepted as complete.

// endless writes begin to each connection and then again repeatedly, with a
// pause before each, until the caller closes the connection.
func endless(c *qt.C, begin, again string, pause time.Duration) (to netip.AddrPort, closed chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 16)
	go func() {
		for {
			k, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = k.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(k)); err != nil {
					return
				}
				_, err := io.WriteString(k, begin)
				for err == nil {
					time.Sleep(pause)
					_, err = io.WriteString(k, again)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), closed
}

func TestEndlessAnswers(t *testing.T) {
	const (
		maxBytes = 16 << 20 // allocated bytes per answer
		timeout  = 3 * time.Second
	)
	filler := strings.Repeat("x", 8<<10)
	tests := []struct {
		name, begin, again string
		body               bool // it is part of the body, which the caller bounds
	}{
		{"status line", "HTTP/1.1 200 ", filler, false},
		{"header", "HTTP/1.1 200 OK\r\nX-Long: ", filler, false},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-More: " + filler + "\r\n", false},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n", false},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", filler, true},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", filler, true},
		{"no answer at all", "", filler, false},
		{"answers to others", "", ok("other", filler), false},
	}
	for _, p := range tests {
		for _, pace := range []struct {
			name  string
			again string
			pause time.Duration
		}{{"fast", p.again, 0}, {"slow", p.again[:1], 20 * time.Millisecond}} {
			t.Run(p.name+"/"+pace.name, func(t *testing.T) {
				c := qt.New(t)
				to, closed := endless(c, p.begin, pace.again, pace.pause)
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				cl := client()
				a, err := cl.Do(ctx, to, &endpoint.Request{
					Identifier: "me", Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{}, InactivityTimeout: 200 * time.Millisecond,
				})
				if p.body {
					c.Assert(err, qt.IsNil)
					a.SetInactivityTimeout(200 * time.Millisecond)
					_, err = io.Copy(io.Discard, a)
					a.Close()
				}
				c.Assert(err, qt.IsNotNil)
				c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the exchange lasted until the deadline"))
				runtime.ReadMemStats(&after)
				c.Check(after.TotalAlloc-before.TotalAlloc < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
				select {
				case <-closed:
				case <-time.After(timeout):
					c.Error("the connection was not closed")
				}
			})
		}
	}
}

// TestEndlessAfterAnswer checks that bytes after a complete answer close the
// connection and reach no other request.
func TestEndlessAfterAnswer(t *testing.T) {
	c := qt.New(t)
	to, closed := endless(c, ok("me", "body"), "x", time.Millisecond)
	cl := client()
	for range 3 {
		time.Sleep(20 * time.Millisecond)
		body, err := send(cl, to, endpoint.Request{Identifier: "me"})
		c.Check(err, qt.IsNil)
		c.Check(body, qt.Equals, "body")
	}
	cl.CloseIdle(time.Now().Add(time.Minute), func(netip.AddrPort) bool { return true })
	for range 3 {
		<-closed
	}
}

// TestSlowBody checks that a body without progress is abandoned even if single
// bytes arrive, and that a slow body with progress is not.
func TestSlowBody(t *testing.T) {
	const timeout = 100 * time.Millisecond
	c := qt.New(t)
	to, _ := endless(c, "HTTP/1.1 200 OK\r\nId: me\r\n\r\n", "x", timeout/4)
	open := func() *endpoint.Answer {
		a, err := client().Do(context.Background(), to, &endpoint.Request{
			Identifier: "me", Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{},
		})
		c.Assert(err, qt.IsNil)
		return a
	}
	a := open()
	defer a.Close()
	a.SetInactivityTimeout(timeout)
	began := time.Now()
	_, err := io.Copy(io.Discard, a)
	c.Check(endpoint.KindOf(err), qt.Equals, endpoint.KindInactive)
	c.Check(time.Since(began) < 10*timeout, qt.IsTrue)
	a = open()
	defer a.Close()
	for range 40 { // Each byte counts as an event.
		a.SetInactivityTimeout(timeout)
		_, err := a.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
	}
}
