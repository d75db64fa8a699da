package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuelatch/internal/pause"
)

// This file defines how idle connections are closed. http.Server.Shutdown treats
// a connection as idle until it has parsed a request, and closes it even if part
// of one has been read. Here an idle connection is closed by a read deadline: the
// read either fails without consuming bytes, or has returned some and the
// deadline has no effect.

const (
	// closeInterval is the interval between checks for idle connections to close.
	closeInterval = 20 * time.Millisecond
	// closeTimeout bounds the closing of idle connections, as new ones may arrive.
	closeTimeout = 2 * lingerTimeout
)

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// Connections tracks the connections of a server. The zero value is ready to use.
type Connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener wraps l so that cs tracks its connections.
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
		return nil, err //nolint:wrapcheck // Implements net.Listener.
	}
	return &connection{Conn: c}, nil
}

// ConnState is the ConnState callback of the http.Server.
func (cs *Connections) ConnState(c net.Conn, s http.ConnState) {
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
		k.markIdle(time.Now())
	default:
		delete(cs.open, k)
	}
}

// CloseIdle closes connections that have been idle for lingerTimeout, until no
// idle ones are left, closeTimeout has passed or ctx is done.
func (cs *Connections) CloseIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for cs.closeIdle(time.Now()) > 0 && pause.For(ctx, closeInterval) {
	}
}

// closeIdle closes idle connections. It returns how many were tracked, including
// those on which a request is being read.
func (cs *Connections) closeIdle(now time.Time) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.expire(now.Add(-lingerTimeout))
	}
	return len(cs.open)
}

// connection can be closed if nothing has been read since it became idle.
type connection struct {
	net.Conn

	mu sync.Mutex
	// idle reports that nothing has been read after since.
	idle  bool
	since time.Time
	// expired reports that expire has set the read deadline; deadline is the
	// one set by the server.
	expired  bool
	deadline time.Time
}

func (c *connection) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = true, now
}

// expire ends the wait for a request unless the connection became idle after
// before.
func (c *connection) expire(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.since.After(before) {
		return
	}
	c.expired = true
	// If this fails, the server's shutdown closes the connection.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err //nolint:wrapcheck // Implements net.Conn.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.expired {
		c.expired = false
		// Later reads use the server's deadline.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return n, err //nolint:wrapcheck // Implements net.Conn.
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expired = t, false
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // Implements net.Conn.
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets the server close only its sending side, so that an answer is
// not lost if the server closes with unread bytes.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite() //nolint:wrapcheck // Implements net.Conn.
	}
	return nil
}
