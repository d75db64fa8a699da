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
	// maxPackets limits the packets in flight in one direction.
	maxPackets = 256
)

// connection is a relayed connection.
type connection struct {
	link   *Link
	dialer netip.Addr
	in     *net.TCPConn
	out    *net.TCPConn
}

// packet is a piece of data that one side sent.
type packet struct {
	at   time.Time
	data []byte
}

// relay forwards a connection until both sides have closed it, it is reset or
// ctx ends.
func (k *Link) relay(ctx context.Context, in *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &connection{
		link:   k,
		dialer: in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
		in:     in,
	}
	defer reset(in)
	if !c.gate(ctx) || !c.dial(ctx) {
		return
	}
	defer reset(c.out)
	// A reset unblocks the reads below.
	go c.watchReset(ctx, cancel)
	defer context.AfterFunc(ctx, func() { reset(c.in); reset(c.out) })()
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(ctx, cancel, c.out, c.in) })
	wg.Go(func() { c.forward(ctx, cancel, c.in, c.out) })
	wg.Wait()
}

// reset closes a connection with a TCP reset unless it is already closed.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (c *connection) dial(ctx context.Context) bool {
	d := net.Dialer{Timeout: dialTimeout}
	out, err := d.DialContext(ctx, "tcp", c.link.to.String())
	if err != nil {
		return false
	}
	c.out = out.(*net.TCPConn)
	return true
}

// gate waits while the connection hangs. It returns false if the connection
// is to be reset or ctx has ended.
func (c *connection) gate(ctx context.Context) bool {
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

// watchReset calls cancel once the connection is to be reset.
func (c *connection) watchReset(ctx context.Context, cancel func()) {
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

// forward relays one direction. It calls cancel on an error.
func (c *connection) forward(ctx context.Context, cancel func(), to, from *net.TCPConn) {
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

// read sends what it reads to packets until EOF, then closes packets.
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
