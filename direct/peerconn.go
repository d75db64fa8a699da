package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"

	"fescuelatch/internal/transfer"
)

// This file defines the connections between daemons, and limits the size of
// messages received on them.

// dialPeer connects to another daemon. It calls onRead whenever data has arrived.
func dialPeer(ctx context.Context, to netip.AddrPort, onRead func()) (*rpc.Client, error) {
	const op = "ask peer"
	c, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	switch {
	case ctx.Err() != nil:
		if err == nil {
			_ = c.Close()
		}
		return nil, &Error{op, KindTimeout, context.Cause(ctx)}
	case err != nil:
		return nil, &Error{op, KindPeer, err}
	}
	finished := context.AfterFunc(ctx, func() { _ = c.Close() })
	client, err := handshake(c, onRead)
	switch {
	case !finished():
		return nil, &Error{op, KindTimeout, context.Cause(ctx)}
	case err != nil:
		_ = c.Close()
		return nil, err
	}
	return client, nil
}

// handshake opens a net/rpc connection over a connection to the control server.
func handshake(c net.Conn, onRead func()) (*rpc.Client, error) {
	const op = "ask peer"
	if _, err := io.WriteString(c, "CONNECT "+pathPeers+" HTTP/1.0\n\n"); err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	b := &boundedReader{source: transfer.Reader{Reader: c, OnRead: onRead}}
	b.limit.Store(maxHeaderBytes)
	r := bufio.NewReader(b)
	// The response to CONNECT has no body; the connection stays open.
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect}) //nolint:bodyclose
	if err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	if res.StatusCode != http.StatusOK {
		return nil, &Error{op, KindPeer, errors.New(res.Status)}
	}
	return rpc.NewClient(&peerConnection{Conn: c, messages: newMessageReader(r, maxMessageBytes, nil), bounded: b}), nil
}

// callPeer calls a method of another daemon until the end of ctx.
func callPeer(ctx context.Context, client *rpc.Client, method string, request, reply any) error {
	const op = "ask peer"
	call := client.Go(peerService+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return &Error{op, KindPeer, call.Error}
		}
		return nil
	case <-ctx.Done():
		return &Error{op, KindTimeout, context.Cause(ctx)}
	}
}

// boundedReader fails when more bytes than its limit have been read.
type boundedReader struct {
	source io.Reader
	limit  atomic.Int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.limit.Add(-int64(n)) < 0 {
		return 0, &Error{"read from peer", KindPeer, errors.New("message exceeds the size limit")}
	}
	return n, err //nolint:wrapcheck // net/rpc expects the connection's own errors.
}

// peerConnection is a connection to another daemon that may have buffered input. It
// bounds the bytes received between two writes.
type peerConnection struct {
	net.Conn
	messages *messageReader
	bounded  *boundedReader
}

// Read implements io.Reader.
func (c *peerConnection) Read(p []byte) (int, error) { return c.messages.Read(p) }

// ReadByte implements io.ByteReader.
func (c *peerConnection) ReadByte() (byte, error) { return c.messages.ReadByte() }

// Write implements io.Writer.
func (c *peerConnection) Write(p []byte) (int, error) {
	c.bounded.limit.Store(maxMessageBytes)
	return c.Conn.Write(p) //nolint:wrapcheck // net/rpc expects the connection's own errors.
}

// servePeer serves the calls of another daemon on the connection of a CONNECT
// request.
func (d *Daemon) servePeer(peers *rpc.Server) http.HandlerFunc {
	var decoding sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		c, b, err := http.NewResponseController(w).Hijack()
		if err != nil {
			d.log.Error("hijacking the connection of a peer failed", "error", err.Error())
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.0 200 OK\n\n"); err != nil {
			d.log.Debug("answering the CONNECT request of a peer failed", "error", err.Error())
		}
		peers.ServeCodec(newCallCodec(c, b.Reader, d.intake, &decoding)) // It closes the connection.
	}
}
