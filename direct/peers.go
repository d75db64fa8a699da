package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines what daemons tell each other: one that starts while the
// store is away learns from another what is in force.

const (
	peerService = "Daemon"
	// learnAfter is how long a starting daemon waits for the store before it
	// asks another daemon, and the time between two rounds. Many that start
	// at once keep the store busy for most of it.
	learnAfter = 800 * time.Millisecond
)

// peerServer serves the calls of other daemons.
type peerServer struct{ daemon *Daemon }

// learnFromPeers asks the seeds until something is known, from them or from
// the store.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	for pause.For(ctx, learnAfter) {
		if d.inForce.Load() != nil {
			return
		}
		// Daemons that start together do not all ask the same one.
		for _, i := range rand.Perm(len(d.options.Seeds)) {
			seed := d.options.Seeds[i]
			if seed == d.options.Control {
				continue
			}
			if err := d.learnFrom(ctx, seed); err != nil {
				d.log.Debug("peer does not tell what is in force", "peer", seed.String(), "error", err.Error())
				continue
			}
			break
		}
	}
}

// learnFrom takes in what another daemon knows, unless the store has answered
// in the meantime.
func (d *Daemon) learnFrom(ctx context.Context, seed netip.AddrPort) error {
	s := &source{address: seed}
	defer func() {
		if s.client != nil {
			// The connection is not used any more, however its close ends.
			_ = s.client.Close()
		}
	}()
	reply, err := s.ask(ctx, d.options.VM)
	if err != nil {
		return err
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.usable() || len(reply.Items) == 0 {
		return nil
	}
	d.known.apply(now, fescuelatch.Changes{Revision: reply.Revision, Items: reply.Items})
	d.log.Info("learned from a peer what is in force", "peer", seed.String(), "revision", reply.Revision, "age", reply.Age.String())
	d.refreshLocked(now)
	return nil
}

// dialPeer connects to another daemon.
func dialPeer(ctx context.Context, to netip.AddrPort) (*rpc.Client, error) {
	const op = "ask peer"
	c, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	if at, ok := ctx.Deadline(); ok {
		// A deadline that cannot be set shows in the calls below.
		_ = c.SetDeadline(at)
	}
	client, err := handshake(c)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	// Calls are bounded one by one.
	_ = c.SetDeadline(time.Time{})
	return client, nil
}

// handshake turns a connection to the control front into one of net/rpc.
func handshake(c net.Conn) (*rpc.Client, error) {
	const op = "ask peer"
	if _, err := io.WriteString(c, "CONNECT "+pathPeers+" HTTP/1.0\n\n"); err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	b := &boundedReader{source: c}
	b.limit.Store(maxHeaderBytes)
	r := bufio.NewReader(b)
	// The answer to CONNECT has no body; the connection goes on.
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect}) //nolint:bodyclose
	if err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	if res.StatusCode != http.StatusOK {
		return nil, &Error{op, KindPeer, errors.New(res.Status)}
	}
	return rpc.NewClient(&peerConnection{Conn: c, buffered: r, bounded: b}), nil
}

// maxMessageBytes bounds a message of another daemon: everything that the store
// holds, with a configuration of a few megabytes.
const maxMessageBytes = 32 << 20

// boundedReader fails once more has been read than its limit.
type boundedReader struct {
	source io.Reader
	limit  atomic.Int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.limit.Add(-int64(n)) < 0 {
		return 0, &Error{"read from peer", KindPeer, errors.New("the message is too long")}
	}
	return n, err //nolint:wrapcheck // It stands in for the connection.
}

// peerConnection is a connection to another daemon, of which a part may have been read
// ahead. It bounds what is received between two messages that are sent: package
// gob takes a message of any length.
type peerConnection struct {
	net.Conn
	buffered *bufio.Reader
	bounded  *boundedReader
}

// Read implements io.Reader.
func (c *peerConnection) Read(p []byte) (int, error) {
	return c.buffered.Read(p) //nolint:wrapcheck // It stands in for the connection.
}

// Write implements io.Writer.
func (c *peerConnection) Write(p []byte) (int, error) {
	c.bounded.limit.Store(maxMessageBytes)
	return c.Conn.Write(p) //nolint:wrapcheck // It stands in for the connection.
}

// servePeer serves the calls of another daemon on the connection of a CONNECT
// request.
func (d *Daemon) servePeer(peers *rpc.Server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		c, b, err := http.NewResponseController(w).Hijack()
		if err != nil {
			d.log.Error("connection of a peer cannot be taken over", "error", err.Error())
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.0 200 OK\n\n"); err != nil {
			d.log.Debug("peer has left", "error", err.Error())
		}
		bounded := &boundedReader{source: b.Reader}
		bounded.limit.Store(maxMessageBytes)
		peers.ServeConn(&peerConnection{Conn: c, buffered: bufio.NewReader(bounded), bounded: bounded}) // It closes the connection.
	}
}
