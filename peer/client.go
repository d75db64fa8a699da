package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/fleetkey"
	"fescuelatch/keyvalue"
)

// This file defines the client side of the calls.

// OpDial is the operation of an Error for a connection that could not be
// opened. Nothing was sent.
const OpDial = "dial"

const dialTimeout = time.Second

// Dialer opens connections from a VM's own address.
type Dialer struct {
	// From is the local address of connections. The zero value leaves the
	// choice to the system.
	From netip.Addr
	// TLS, when set, enables mutual TLS.
	TLS *tls.Config
	// Traffic counts the bytes of all connections of the dialer.
	Traffic Traffic
}

// Counting returns a copy of the dialer that counts bytes with t.
func (d *Dialer) Counting(t Traffic) *Dialer {
	c := *d
	c.Traffic = t
	return &c
}

// DialContext opens a counted connection without TLS.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := &net.Dialer{Timeout: dialTimeout}
	if d.From.IsValid() {
		n.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.From, 0))
	}
	conn, err := n.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.Traffic.Count(conn), nil
}

// dialPeer opens a connection to a daemon, with TLS if configured.
func (d *Dialer) dialPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil || d.TLS == nil {
		return conn, err
	}
	config := d.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = to.Addr().String()
	}
	t := tls.Client(conn, config)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return t, nil
}

// Client calls other daemons. It keeps one connection to each until CloseIdle
// and opens a broken or closed one again on the next call. It is safe for
// concurrent use.
type Client struct {
	Keys   fleetkey.Keys
	Dialer *Dialer

	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
	links callerLinks
}

// conn is a connection. Client.mu guards calls and lastUsed.
type conn struct {
	*rpc.Client
	// calls is the number of calls in progress.
	calls int
	// lastUsed is when a call last began or ended.
	lastUsed time.Time
}

// Changes requests configuration changes.
func (c *Client) Changes(ctx context.Context, to netip.AddrPort, r *ChangesRequest) (*ChangesReply, error) {
	return call(ctx, c, to, "Changes", r, new(ChangesReply))
}

// Hold asks a daemon to keep a copy of a batch of bills. It retries an
// unreachable daemon once.
func (c *Client) Hold(ctx context.Context, to netip.AddrPort, b *BillBatch) error {
	_, err := call(ctx, c, to, "Hold", b, new(Ack))
	var e *Error
	if errors.As(err, &e) && e.Kind == KindUnreachable {
		// Another call that timed out may have closed the connection.
		_, err = call(ctx, c, to, "Hold", b, new(Ack))
	}
	return err
}

// Written notifies a daemon of the batches of bills stored at the platform.
func (c *Client) Written(ctx context.Context, to netip.AddrPort, w *BillsWritten) error {
	_, err := call(ctx, c, to, "Written", w, new(Ack))
	return err
}

// Submit asks a daemon to run a transaction at the platform.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, r *SubmitRequest) (*keyvalue.SubmitReply, error) {
	return call(ctx, c, to, "Submit", r, new(keyvalue.SubmitReply))
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.conns {
		_ = r.Close()
	}
	c.conns = nil
}

// CloseIdle closes the connections that were last used before since.
func (c *Client) CloseIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, k := range c.conns {
		if k.calls == 0 && k.lastUsed.Before(since) {
			delete(c.conns, to)
			_ = k.Close()
		}
	}
}

// call makes one call. A timeout closes the connection, so that a broken one
// that reports no error is not used again.
func call[Q, R any](ctx context.Context, c *Client, to netip.AddrPort, method string, q *Q, r *R) (*R, error) {
	conn, err := c.conn(ctx, to)
	if err != nil {
		return nil, &Error{OpDial, KindUnreachable, err}
	}
	defer c.release(conn)
	pending := conn.Go(serviceName+"."+method, q, r, make(chan *rpc.Call, 1))
	select {
	case done := <-pending.Done:
		if done.Error == nil {
			return r, nil
		}
		var remote rpc.ServerError
		if errors.As(done.Error, &remote) {
			return nil, &Error{method, KindRefused, done.Error}
		}
		c.discard(to, conn)
		return nil, &Error{method, KindUnreachable, done.Error}
	case <-ctx.Done():
		c.discard(to, conn)
		return nil, &Error{method, KindTimeout, ctx.Err()}
	}
}

// conn returns an open or new connection and counts a call on it.
func (c *Client) conn(ctx context.Context, to netip.AddrPort) (*conn, error) {
	if k := c.acquire(to, nil); k != nil {
		return k, nil
	}
	fresh, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	k := c.acquire(to, fresh)
	if k.Client != fresh {
		_ = fresh.Close()
	}
	return k, nil
}

// acquire counts a call on the open connection, or else on fresh. It returns
// nil if there is neither.
func (c *Client) acquire(to netip.AddrPort, fresh *rpc.Client) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.conns[to]
	switch {
	case k != nil:
	case fresh == nil:
		return nil
	default:
		if c.conns == nil {
			c.conns = make(map[netip.AddrPort]*conn)
		}
		k = &conn{Client: fresh}
		c.conns[to] = k
	}
	k.calls++
	k.lastUsed = time.Now()
	return k
}

func (c *Client) release(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.calls--
	k.lastUsed = time.Now()
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*rpc.Client, error) {
	conn, err := c.Dialer.dialPeer(ctx, to)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := connect(conn, c.Keys); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(conn), nil
}

// connect switches a new connection to net/rpc.
func connect(conn net.Conn, keys fleetkey.Keys) error {
	req := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Path: rpcPath}, Host: "peer", Header: make(http.Header),
	}
	keys.SetHeader(req.Header)
	if err := req.Write(conn); err != nil {
		return err
	}
	// The server sends nothing further before the first call, so the reader
	// buffers no byte of a reply.
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return err
	}
	// The response to a successful CONNECT has no body.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (c *Client) discard(to netip.AddrPort, conn *conn) {
	c.mu.Lock()
	if c.conns[to] == conn {
		delete(c.conns, to)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
