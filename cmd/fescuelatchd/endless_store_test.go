package main

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

	"fescuelatch"
	"fescuelatch/platform"
)

// This file tests a store that answers without end.

// TestEndlessAnswersOfStore guards against calls to the store that keep what it writes without
// end, or never end.
func TestEndlessAnswersOfStore(t *testing.T) {
	const (
		maxBytes = 64 << 20 // allocated bytes per call
		maxTime  = 11 * time.Second
	)
	filler := strings.Repeat("x", 16<<10)
	const status = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
	forms := []struct{ name, begin, again string }{
		{"status line", "HTTP/1.1 200 ", filler},
		{"header", status + "X-Long: ", filler},
		{"headers", status, "X-More: " + filler + "\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + filler[:1000] + "\r\n\r\n"},
		{"body to the end of the connection", status + "\r\n{\"events\":[", filler},
		{"body with a length", status + "Content-Length: 1000000000000\r\n\r\n{\"events\":[", filler},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
		{"chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n4;x=", filler},
		{"trailer", status + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: ", filler},
		{"failure", "HTTP/1.1 503 Busy\r\n\r\n", filler},
	}
	calls := []struct {
		name string
		call func(ctx context.Context, s *platform.Store) error
	}{
		{"watch", func(ctx context.Context, s *platform.Store) error {
			_, err := s.Changes(ctx, 1, 0)
			return err
		}},
		{"range", func(ctx context.Context, s *platform.Store) error {
			_, err := s.Scan(ctx)
			return err
		}},
		{"transaction", func(ctx context.Context, s *platform.Store) error {
			_, err := s.Txn(ctx, fescuelatch.KVTxn{})
			return err
		}},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			closed := make(chan struct{}, len(calls))
			go serveEndlessly(l, form.begin, form.again, closed)
			s := &platform.Store{Address: netip.MustParseAddrPort(l.Addr().String()), HTTP: newStoreClient()}
			for _, call := range calls {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				began := time.Now()
				c.Check(call.call(context.Background(), s), qt.IsNotNil, qt.Commentf("%s", call.name))
				c.Check(time.Since(began) < maxTime, qt.IsTrue, qt.Commentf("%s took %s", call.name, time.Since(began)))
				runtime.ReadMemStats(&after)
				c.Check(after.TotalAlloc-before.TotalAlloc < maxBytes, qt.IsTrue, qt.Commentf("%s: %d bytes", call.name, after.TotalAlloc-before.TotalAlloc))
				select {
				case <-closed:
				case <-time.After(time.Second):
					c.Errorf("%s: the connection stays open", call.name)
				}
			}
		})
	}
}

// serveEndlessly writes begin to each connection, and then again without end.
func serveEndlessly(l net.Listener, begin, again string, closed chan<- struct{}) {
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
				_, err = io.WriteString(k, again)
			}
			closed <- struct{}{}
		}()
	}
}
