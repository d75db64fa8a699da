package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"fescuelatch/internal/pause"
)

// This file defines the relay of one connection.

const (
	bufferSize = 32 << 10 // bytes
	// maxPackets bounds what is under way in one direction.
	maxPackets = 256
)

// relayed is a relayed connection.
type relayed struct {
	link   *Link
	dialer netip.Addr
	in     *net.TCPConn
	out    *net.TCPConn
}

// packet is a piece of what one side sent.
type packet struct {
	at   time.Time
	data []byte
}

// relay passes on a connection until both sides have closed it, it is reset,
// or ctx ends.
func (k *Link) relay(ctx context.Context, in *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &relayed{
		link:   k,
		dialer: in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
		in:     in,
	}
	defer reset(in)
	if !c.gate(ctx) || !c.dial(ctx) {
		return
	}
	defer reset(c.out)
	// A reset ends the reads below.
	go c.guard(ctx, cancel)
	defer context.AfterFunc(ctx, func() { reset(c.in); reset(c.out) })()
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(ctx, cancel, c.out, c.in) })
	wg.Go(func() { c.pass(ctx, cancel, c.in, c.out) })
	wg.Wait()
}

// reset closes a connection at once, or does nothing when it is closed.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (c *relayed) dial(ctx context.Context) bool {
	d := net.Dialer{Timeout: dialTimeout}
	out, err := d.DialContext(ctx, "tcp", c.link.to.String())
	if err != nil {
		return false
	}
	c.out = out.(*net.TCPConn)
	return true
}

// gate waits while the connection hangs. It reports false when the
// connection is reset or ctx ends.
func (c *relayed) gate(ctx context.Context) bool {
	for {
		changed := c.link.faults.Changed()
		f := c.link.faults.Get()
		switch {
		case !f.cuts(c.dialer):
			return ctx.Err() == nil
		case f.Mode == ModeReset:
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// guard calls cancel once the connection is to be reset.
func (c *relayed) guard(ctx context.Context, cancel func()) {
	for {
		changed := c.link.faults.Changed()
		if f := c.link.faults.Get(); f.Mode == ModeReset && f.cuts(c.dialer) {
			cancel()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pass passes on one direction. It calls cancel when that breaks.
func (c *relayed) pass(ctx context.Context, cancel func(), to, from *net.TCPConn) {
	packets := make(chan packet, maxPackets)
	go read(ctx, cancel, from, packets)
	for p := range packets {
		delay := c.link.faults.Get().Delay - time.Since(p.at)
		if !pause.For(ctx, delay) || !c.gate(ctx) {
			cancel()
			return
		}
		if _, err := to.Write(p.data); err != nil {
			cancel()
			return
		}
	}
	if c.gate(ctx) {
		_ = to.CloseWrite()
	}
}

// read reads packets until the end of what from sends, then closes packets.
func read(ctx context.Context, cancel func(), from *net.TCPConn, packets chan<- packet) {
	defer close(packets)
	for {
		b := make([]byte, bufferSize)
		n, err := from.Read(b)
		if n > 0 {
			select {
			case packets <- packet{time.Now(), b[:n]}:
			case <-ctx.Done():
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			cancel()
			return
		}
	}
}
