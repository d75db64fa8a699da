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
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines what daemons tell each other: one that starts while the
// store is away learns from another what is in force.

const (
	peerService = "Daemon"
	// peerTimeout bounds a call to another daemon.
	peerTimeout = time.Second
	// learnAfter is how long a starting daemon waits for the store before it
	// asks another daemon, and the time between two rounds.
	learnAfter = 400 * time.Millisecond
)

// peerServer serves the calls of other daemons.
type peerServer struct{ daemon *Daemon }

// SnapshotRequest asks for what a daemon knows from the store.
type SnapshotRequest struct{ From fescuelatch.VMID }

// Snapshot is what a daemon knows from the store as of a revision.
type Snapshot struct {
	Revision int64
	Items    []fescuelatch.KeyValue
}

// Snapshot is called by net/rpc.
func (p *peerServer) Snapshot(q SnapshotRequest, reply *Snapshot) error {
	d := p.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known.usable() {
		return &Error{"snapshot", KindPeer, errors.New("this daemon knows nothing yet")}
	}
	reply.Revision = d.known.revision
	d.log.Info("peer learns what is in force", "peer", q.From, "revision", reply.Revision)
	for _, kv := range d.known.items {
		reply.Items = append(reply.Items, kv)
	}
	return nil
}

// learnFromPeers asks the seeds until something is known, from them or from
// the store.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	for pause.For(ctx, learnAfter) {
		if d.inForce.Load() != nil {
			return
		}
		for _, seed := range d.options.Seeds {
			if seed == d.options.Control {
				continue
			}
			s, err := askPeer(ctx, seed, d.options.VM)
			if err != nil {
				d.log.Debug("peer does not tell what is in force", "peer", seed.String(), "error", err.Error())
				continue
			}
			d.learn(seed, s)
			break
		}
	}
}

// learn takes in what another daemon knows, unless the store has answered in
// the meantime.
func (d *Daemon) learn(from netip.AddrPort, s *Snapshot) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.usable() {
		return
	}
	c := fescuelatch.Changes{Revision: s.Revision}
	for _, kv := range s.Items {
		c.Items = append(c.Items, fescuelatch.StoredItem{KeyValue: kv})
	}
	d.known.apply(now, c)
	d.log.Info("learned from a peer what is in force", "peer", from.String(), "revision", s.Revision)
	d.refreshLocked(now)
}

// askPeer calls another daemon.
func askPeer(ctx context.Context, to netip.AddrPort, from fescuelatch.VMID) (*Snapshot, error) {
	const op = "ask peer"
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	defer func() { _ = c.Close() }()
	if at, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(at); err != nil {
			return nil, &Error{op, KindPeer, err}
		}
	}
	if _, err := io.WriteString(c, "CONNECT "+pathPeers+" HTTP/1.0\n\n"); err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	if res.StatusCode != http.StatusOK {
		return nil, &Error{op, KindPeer, errors.New(res.Status)}
	}
	client := rpc.NewClient(&buffered{c, r})
	defer func() { _ = client.Close() }()
	s := new(Snapshot)
	if err := client.Call(peerService+".Snapshot", SnapshotRequest{from}, s); err != nil {
		return nil, &Error{op, KindPeer, err}
	}
	return s, nil
}

// buffered is a connection of which a part has been read ahead.
type buffered struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements io.Reader.
func (b *buffered) Read(p []byte) (int, error) {
	return b.reader.Read(p) //nolint:wrapcheck // It stands in for the connection.
}
