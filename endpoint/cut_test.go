package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/endpoint"
)

// This file tests answers that break off at each of their bytes.

// cutServer writes a part of an answer to each request, and ends the connection then.
func cutServer(c *qt.C, before, answer string, length int, reset bool) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			k, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = k.Close() }()
				r := bufio.NewReader(k)
				if before != "" {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(k, before)
				}
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(k, answer[:length])
				if t, ok := k.(*net.TCPConn); ok && reset {
					time.Sleep(time.Millisecond) // The bytes arrive before the reset.
					_ = t.SetLinger(0)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestAnswerIsCutAtEachByte guards against an answer that looks complete, though its head or its
// body has broken off.
func TestAnswerIsCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: me\r\nContent-Type: text/plain\r\n"
	tests := []struct {
		name, answer string
		// until is the number of bytes up to which the answer is not complete.
		until int
	}{
		{"length", head + "Content-Length: 12\r\n\r\nhello, world", 0},
		{"no body", head + "Content-Length: 0\r\n\r\n", 0},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5;x=y\r\nworld\r\n0\r\n\r\n", 0},
		{"trailers", head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\nc\r\nhello, world\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n", 0},
		{"to the end of the connection", head + "\r\nhello, world", len(head + "\r\n")},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: me\r\nContent-Length: 12\r\n\r\nhello, world", 0},
		{"no content", "HTTP/1.1 204 No Content\r\nId: me\r\n\r\n", 0},
		{"refusal", "HTTP/1.1 503 Full\r\nId: me\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", 0},
		{"bare line feeds", "HTTP/1.1 200 OK\nId: me\nContent-Length: 12\n\nhello, world", 0},
		{"folded line", "HTTP/1.1 200 OK\r\nId: me\r\nX-Folded: a\r\n b\r\nContent-Length: 12\r\n\r\nhello, world", 0},
		{"after informational answers", "HTTP/1.1 103 Early Hints\r\nLink: </>\r\n\r\n" + head + "Content-Length: 12\r\n\r\nhello, world", 0},
		{"after an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok" + head + "Content-Length: 12\r\n\r\nhello, world", 0},
	}
	for _, test := range tests {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, kept %t", test.name, reset, kept), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					before := ""
					if kept {
						before = ok("me", "first")
					}
					until := len(test.answer)
					if test.until > 0 {
						until = test.until
					}
					for length := range until {
						cl := client()
						to := cutServer(c, before, test.answer, length, reset)
						if kept {
							body, err := send(cl, to, endpoint.Request{Identifier: "me"})
							c.Assert(err, qt.IsNil)
							c.Assert(body, qt.Equals, "first")
						}
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						a, err := cl.Do(ctx, to, &endpoint.Request{
							Identifier: "me", Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{},
						})
						var body []byte
						if err == nil {
							body, err = io.ReadAll(a)
							a.Close()
						}
						cancel()
						c.Check(err, qt.IsNotNil, qt.Commentf("%q, then %q of %d bytes looks complete", test.answer[:length], body, len(body)))
						c.Check(ctx.Err() == context.DeadlineExceeded, qt.IsFalse)
					}
				})
			}
		}
	}
}
