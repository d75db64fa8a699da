// Package link is a TCP relay that simulates a network path. To simulate a
// network partition, it can cut connections by their dialer's IP address.
package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the relay.

const (
	dialTimeout   = 5 * time.Second
	acceptBackoff = 10 * time.Millisecond
)

// Settings configure a relay.
type Settings struct {
	Listen  netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to relay from"`
	To      netip.AddrPort `arg:"--to,required,env:STANDIN_TO" help:"address to relay to"`
	Control netip.AddrPort `arg:"--control,required,env:STANDIN_CONTROL" help:"address of the relay's own calls"`
}

// Run relays until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.Listen.String())
	if err != nil {
		return &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	k := New(s.To)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.Serve(ctx, l) })
	g.Go(func() error { return server.Run(ctx, log, s.Control, k.Handler()) })
	return g.Wait()
}

// Mode is how a cut connection behaves.
type Mode string

// Modes. The zero value means ModeHang.
const (
	ModeHang  Mode = "hang"
	ModeReset Mode = "reset"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Mode) UnmarshalText(b []byte) error {
	return server.DecodeOneOf(m, b, "", ModeHang, ModeReset)
}

// Faults are the faults of a relay.
type Faults struct {
	// Prefixes select the dialers whose connections are cut.
	Prefixes []netip.Prefix `json:"prefixes"`
	// Mode is how cut connections behave. Hanging ones resume once they are
	// no longer cut, and then deliver the data sent meanwhile.
	Mode Mode `json:"mode"`
	// Delay is the latency added in each direction.
	Delay time.Duration `json:"delay"`
}

func (f *Faults) cuts(a netip.Addr) bool {
	for _, p := range f.Prefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// Link relays connections.
type Link struct {
	to     netip.AddrPort
	faults server.Faults[Faults]
}

// New returns a relay to the given address.
func New(to netip.AddrPort) *Link { return &Link{to: to} }

// Handler returns the HTTP handler of the relay's control API.
func (k *Link) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &k.faults).Methods(http.MethodGet, http.MethodPost)
	return r
}

// Serve relays the connections that l accepts until ctx ends. It closes l.
func (k *Link) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		in, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &Error{Op: "accept", Kind: KindNetwork, Err: err}
		}
		if err != nil {
			// Transient, such as too many open files.
			pause.For(ctx, acceptBackoff)
			continue
		}
		wg.Go(func() { k.relay(ctx, in.(*net.TCPConn)) })
	}
}
