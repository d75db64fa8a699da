package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuelatch/internal/pause"
)

// This file defines how idle connections are closed. http.Server.Shutdown counts a
// connection as idle until it has parsed a request there, and closes it although a
// part of one has been read. Here an idle connection ends by a deadline
// of its read, which fails without taking any bytes, or comes too late because
// there were some.

const (
	// closeInterval is that at which connections are looked at that are about to be
	// closed.
	closeInterval = 20 * time.Millisecond
	// closeTime bounds the time in which idle connections are closed, while new
	// ones may come.
	closeTime = 2 * keptTime
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Connections are those of a server. The zero value is ready to use.
type Connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener returns l with connections that belong to cs.
func (cs *Connections) Listener(l net.Listener) net.Listener {
	return &connectionListener{l, cs}
}

type connectionListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *connectionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // It stands in for the listener.
	}
	return &connection{Conn: c}, nil
}

// Changed is the http.Server's ConnState.
func (cs *Connections) Changed(c net.Conn, s http.ConnState) {
	k, ok := c.(*connection)
	if !ok {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open = make(map[*connection]struct{})
	}
	switch s {
	case http.StateNew, http.StateIdle:
		cs.open[k] = struct{}{}
		k.rest(time.Now())
	default:
		delete(cs.open, k)
	}
}

// CloseIdle closes the connections that have been idle for keptTime, until no idle
// ones are left, closeTime has passed or ctx ends.
func (cs *Connections) CloseIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	for cs.closeIdle(time.Now()) > 0 && pause.For(ctx, closeInterval) {
	}
}

// closeIdle closes idle connections and returns the number of those that there
// were, with those on which a request is being read.
func (cs *Connections) closeIdle(now time.Time) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.expire(now.Add(-keptTime))
	}
	return len(cs.open)
}

// connection is one that can be closed if nothing has been read since it became
// idle.
type connection struct {
	net.Conn

	mu sync.Mutex
	// idle reports that nothing has been read since the time.
	idle  bool
	since time.Time
	// expired reports that the deadline of the read has passed by order, and
	// deadline is the one that the server has set.
	expired  bool
	deadline time.Time
}

func (c *connection) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = true, now
}

// expire ends the wait for a request if the connection has been idle since before
// a time.
func (c *connection) expire(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.since.After(before) {
		return
	}
	c.expired = true
	// A connection that takes no deadline is closed by the server's shutdown.
	_ = c.Conn.SetReadDeadline(past)
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err //nolint:wrapcheck // It stands in for the connection.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.expired {
		c.expired = false
		// What follows is read by the server's deadline.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return n, err //nolint:wrapcheck // It stands in for the connection.
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expired = t, false
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // It stands in for the connection.
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets the server end its side alone, so that an answer is not lost
// when it closes beside bytes that it has not read.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite() //nolint:wrapcheck // It stands in for the connection.
	}
	return nil
}
