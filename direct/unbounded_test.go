package direct

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests peers with unbounded answers.

// TestUnboundedPeerResponse checks that a peer's endless answer takes bounded memory
// and time.
func TestUnboundedPeerResponse(t *testing.T) {
	tests := []struct {
		name  string
		begin string
		again []byte
	}{
		{"the answer to CONNECT", "HTTP/1.0 200 ", make([]byte, 64<<10)},
		{"a message", "HTTP/1.0 200 OK\n\n\xfc\x30\x00\x00\x00", make([]byte, 64<<10)}, // 768 MiB long.
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				k, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = k.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(k)); err != nil {
					return
				}
				_, err = io.WriteString(k, test.begin)
				for err == nil {
					_, err = k.Write(test.again)
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s := &source{address: netip.MustParseAddrPort(l.Addr().String())}
			_, err = s.ask(context.Background(), "vm-1", nil, watchTimeout)
			c.Check(err, qt.IsNotNil)
			if s.client != nil {
				_ = s.client.Close()
			}
			runtime.ReadMemStats(&after)
			c.Check(after.TotalAlloc-before.TotalAlloc < 6*maxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				c.Error("the connection stays open")
			}
		})
	}
}
