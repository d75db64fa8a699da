package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the connections of callers, and which of them give way when there are too
// many. Only connections without a request under way are closed; one with a body that makes no
// progress is refused by its own request.

const (
	// connectionBytes is the memory of a connection: the buffers and stacks of its goroutines,
	// and a short head.
	connectionBytes = 24 << 10
	// connectionShare is the share of the machine's memory for the connections of callers.
	connectionShare = 0.25
	// fileDescriptors are those for files, the store and other daemons.
	fileDescriptors = 200
	// minConnections is the limit on a machine with few descriptors.
	minConnections = 16
	// freeHeadBytes is the memory of a head that is part of that of its connection, and
	// fieldBytes what a field of a head takes besides its text.
	freeHeadBytes = 8 << 10
	fieldBytes    = 128
	// rejectedHeadTime is how long a connection stays open after the answer to a head that is
	// too large.
	rejectedHeadTime = 500 * time.Millisecond
	// unreadTime is how long a write may be blocked while others need its connection.
	unreadTime = 5 * time.Second
)

// Shares of the descriptors besides those for files that the connections of fronts may take. A
// request needs another connection, to its endpoint.
const (
	CallerShare = 0.4
	DaemonShare = 0.2
	OtherShare  = 0.05
)

// Connections are the connections of a front. They are safe for concurrent use.
type Connections struct {
	budget *Budget
	share  float64
	// next is told the state of the connections within.
	next func(net.Conn, http.ConnState)

	mu   sync.Mutex
	open map[*connection]struct{}
	// links are connections that a handler has taken over. minLinks returns how many there may
	// be at least; if it is nil, their number is not bounded.
	links    map[*connection]struct{}
	minLinks func() int
	// limits returns the limits on heads and idle connections, unless the server keeps them.
	limits func() Limits
}

// NewConnections returns the connections of a front, with its share of the descriptors. next,
// unless it is nil, is told their states.
func (b *Budget) NewConnections(share float64, next func(net.Conn, http.ConnState)) *Connections {
	cs := &Connections{budget: b, share: share, next: next, open: make(map[*connection]struct{}), links: make(map[*connection]struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections[cs] = 0
	return cs
}

// most returns the maximum number of connections.
func (cs *Connections) most(s Settings) int {
	n := cs.share / CallerShare * connectionShare * float64(s.Memory) / connectionBytes
	if s.Descriptors > 0 {
		n = min(n, cs.share*float64(s.Descriptors-fileDescriptors))
	}
	return max(int(n), minConnections)
}

// BoundLinks bounds the connections that handlers take over: there are at most half as many as
// others, or as many as minLinks returns if that is more. It is called before the server starts.
func (cs *Connections) BoundLinks(minLinks func() int) { cs.minLinks = minLinks }

// Listener wraps l so that cs bounds its connections.
func (cs *Connections) Listener(l net.Listener) net.Listener { return &listener{l, cs} }

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // Implements net.Listener.
		}
		c := &connection{Conn: n, connections: l.connections}
		c.setState(http.StateNew)
		if l.connections.add(c) {
			return c, nil
		}
		// The caller sees that its request was not read.
		_ = n.Close()
	}
}

// add adds a connection, for which another one may have to give way, and reports whether there is
// room.
func (cs *Connections) add(c *connection) bool {
	b, now := cs.budget, time.Now()
	b.mu.Lock()
	most := cs.most(b.settings)
	b.mu.Unlock()
	cs.mu.Lock()
	number := len(cs.open)
	full := number >= most
	var victim *connection
	var reason Reason
	if full {
		victim, reason = cs.victim(now)
	}
	if !full || victim != nil {
		cs.open[c] = struct{}{}
	}
	cs.mu.Unlock()
	switch {
	case !full:
	case victim != nil:
		cs.countRefused(reason)
		_ = victim.Close()
	case cs.share == CallerShare && number < most+most/8 && cs.evictStalled(now):
		cs.mu.Lock()
		cs.open[c] = struct{}{}
		cs.mu.Unlock()
	default:
		cs.countRefused(ReasonFull)
		return false
	}
	cs.count(1, 0)
	return true
}

// countRefused counts a connection that was closed.
func (cs *Connections) countRefused(r Reason) {
	cs.budget.mu.Lock()
	defer cs.budget.mu.Unlock()
	cs.budget.refused[Refusal{kindConnection, r}]++
}

// kindConnection is the kind of refusals of connections.
const kindConnection Kind = "connection"

// count counts connections without those that handlers have taken over, and these.
func (cs *Connections) count(connections, links int) {
	cs.budget.mu.Lock()
	defer cs.budget.mu.Unlock()
	cs.budget.connections[cs] += connections
	cs.budget.links += links
}

// evictStalled ends the arrival of a request that makes no progress, whose connection then
// closes.
func (cs *Connections) evictStalled(now time.Time) bool {
	cs.budget.mu.Lock()
	defer cs.budget.mu.Unlock()
	return cs.budget.evictStalled(now, nil)
}

// victim returns the connection that gives way, or nil: first one whose last answer is written, then
// one whose answer is not read, then one without a first request, then the one that has been idle
// for longest.
func (cs *Connections) victim(now time.Time) (*connection, Reason) {
	var found *connection
	var reason Reason
	best := rankNone
	var since int64
	for c := range cs.open {
		r, at, why := c.rank(now)
		if r < best || r == best && r != rankNone && at < since {
			found, reason, best, since = c, why, r, at
		}
	}
	return found, reason
}

// Ranks of connections, the first to give way first.
const (
	rankEnding = iota
	rankUnread
	rankHeadless
	rankIdle
	rankNone
)

// ConnState is the ConnState callback of the http.Server.
func (cs *Connections) ConnState(n net.Conn, s http.ConnState) {
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn() // that of a TLS connection
	}
	c, ok := n.(*connection)
	if !ok {
		return
	}
	c.setState(s)
	switch s {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.releaseHead()
	case http.StateHijacked:
		c.releaseHead()
		cs.addLink(c)
	}
	if cs.next != nil {
		cs.next(c.Conn, s)
	}
}

// addLink moves a connection to the links. If there are too many, the one gives way to which nothing
// was written for longest.
func (cs *Connections) addLink(c *connection) {
	if cs.minLinks == nil {
		c.leave()
		return
	}
	b, least := cs.budget, cs.minLinks()
	b.mu.Lock()
	most := max(cs.most(b.settings)/2, least)
	b.mu.Unlock()
	cs.mu.Lock()
	delete(cs.open, c)
	cs.links[c] = struct{}{}
	c.linked = true
	var victim *connection
	if len(cs.links) > most {
		victim = cs.silentLink(time.Now(), c)
	}
	cs.mu.Unlock()
	cs.count(-1, 1)
	if victim == nil {
		return
	}
	reason := ReasonIdle
	if victim == c {
		reason = ReasonFull
	}
	cs.countRefused(reason)
	_ = victim.Close()
}

// silentLink returns the link to which nothing was written for longest, or c if that is not long.
func (cs *Connections) silentLink(now time.Time, c *connection) *connection {
	silent := c
	for o := range cs.links {
		if o.since.Load() < silent.since.Load() {
			silent = o
		}
	}
	if now.UnixNano()-silent.since.Load() < int64(stallTime) {
		return c
	}
	return silent
}

// connection is the connection of a caller.
type connection struct {
	net.Conn
	connections *Connections
	// state is the http.ConnState, since when it is so, and writing since when a write is in
	// progress, or zero; both in Unix nanoseconds.
	state          atomic.Int32
	since, writing atomic.Int64

	mu sync.Mutex
	// headLength is the size of the head that arrives, or has arrived, headBytes its memory, and
	// head what is reserved of it.
	headLength, headBytes int
	head                  *holding
	left                  bool
	// endingSince is since when the last answer is written, and the connection stays open only for
	// the caller to read it, or zero; in Unix nanoseconds.
	endingSince atomic.Int64
	// rejected reports that the head was answered as too large: nothing more is written.
	rejected atomic.Bool
	// linked reports that it counts as a link. The lock of connections guards it.
	linked bool
	// overdueSince is the since of the connection if the last check found that it exceeds a
	// time. The lock of connections guards it.
	overdueSince int64
}

func (c *connection) setState(s http.ConnState) {
	c.state.Store(int32(s)) //nolint:gosec // There are five states.
	c.since.Store(time.Now().UnixNano())
}

// rank returns the rank of the connection, since when it has it, and why it would give way.
func (c *connection) rank(now time.Time) (int, int64, Reason) {
	if e := c.endingSince.Load(); e != 0 {
		return rankEnding, e, ReasonEnding
	}
	if w := c.writing.Load(); w != 0 && now.UnixNano()-w >= int64(unreadTime) {
		return rankUnread, w, ReasonUnread
	}
	since := c.since.Load()
	switch http.ConnState(c.state.Load()) {
	case http.StateNew:
		if now.UnixNano()-since >= int64(stallTime) {
			return rankHeadless, since, ReasonStalled
		}
	case http.StateIdle:
		if now.UnixNano()-since >= int64(stallTime) {
			return rankIdle, since, ReasonIdle
		}
	}
	return rankNone, 0, ""
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	s := http.ConnState(c.state.Load())
	if n == 0 || s != http.StateNew && s != http.StateIdle {
		return n, err //nolint:wrapcheck // Implements net.Conn.
	}
	fits, reserved := c.growHead(b[:n])
	switch {
	case !fits:
		c.rejectHead()
		return 0, io.EOF // The server takes it for a head cut short, which it answers.
	case !reserved:
		return 0, &Error{Op: "read head", Kind: ErrRefused}
	}
	return n, err //nolint:wrapcheck // Implements net.Conn.
}

// growHead counts a part of a head. It reports whether the head is within its limit, and whether
// there is memory for it.
func (c *connection) growHead(part []byte) (fits, reserved bool) {
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		part = part[:end] // What follows is a body.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headLength == 0 {
		c.since.Store(time.Now().UnixNano()) // It is idle no longer, though the server says so until the head is whole.
	}
	c.headLength += len(part)
	if limits := c.connections.limits; limits != nil && c.headLength > limits().HeadBytes+headSlop {
		return false, false
	}
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += len(part) + fieldBytes*bytes.Count(part, []byte("\n"))
	if c.headBytes <= before {
		return true, true
	}
	if c.head == nil {
		c.head = c.connections.budget.open(KindHead, "", func() { _ = c.Conn.Close() })
	}
	return true, c.head.grow(c.headBytes-before, func() {})
}

// rejectHead answers a head beyond its limit as the server does beyond its own, and leaves the caller
// time to read that before the connection is closed.
func (c *connection) rejectHead() {
	const status = "431 Request Header Fields Too Large"
	// An error means that the caller has disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(rejectedHeadTime))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+status)
	c.rejected.Store(true)
	_ = c.CloseWrite()
	// A connection that is closed with unread bytes may lose the answer.
	_ = c.SetReadDeadline(time.Now().Add(rejectedHeadTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// endHead records that the head has arrived.
func (c *connection) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.head.complete()
	}
}

// releaseHead releases the memory of the head.
func (c *connection) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headLength, c.headBytes = 0, 0
	if c.head != nil {
		c.head.release()
		c.head = nil
	}
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	if c.rejected.Load() {
		return 0, net.ErrClosed
	}
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	n, err := c.Conn.Write(b)
	if http.ConnState(c.state.Load()) == http.StateHijacked && n > 0 {
		c.since.Store(time.Now().UnixNano())
	}
	return n, err //nolint:wrapcheck // Implements net.Conn.
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.releaseHead()
	c.leave()
	return c.Conn.Close() //nolint:wrapcheck // Implements net.Conn.
}

// leave ends the count of the connection.
func (c *connection) leave() {
	c.mu.Lock()
	left := c.left
	c.left = true
	c.mu.Unlock()
	if left {
		return
	}
	cs := c.connections
	cs.mu.Lock()
	delete(cs.open, c)
	delete(cs.links, c)
	linked := c.linked
	cs.mu.Unlock()
	if linked {
		cs.count(0, -1)
		return
	}
	cs.count(-1, 0)
}

// CloseWrite lets the server close only its sending side, so that an answer is not lost if the
// server closes with unread bytes.
func (c *connection) CloseWrite() error {
	c.endingSince.Store(time.Now().UnixNano())
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite() //nolint:wrapcheck // Implements net.Conn.
	}
	return nil
}
