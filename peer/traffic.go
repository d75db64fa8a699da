package peer

import "net"

// This file counts the bytes of connections.

// Counter is a monotonic counter.
type Counter interface {
	Inc(n int64)
}

// Traffic counts the bytes of connections of one kind. The zero value counts
// nothing.
type Traffic struct {
	Sent     Counter
	Received Counter
}

// Count wraps conn so that its bytes are counted.
func (t Traffic) Count(conn net.Conn) net.Conn {
	if t.Sent == nil || t.Received == nil {
		return conn
	}
	return &countedConn{conn, t}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Inc(int64(n))
	return n, err
}
