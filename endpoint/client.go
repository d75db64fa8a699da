// Package endpoint sends opaque requests to endpoints over HTTP/1.1 and reads
// their answers. Unlike a general client it never sends a request twice, it
// tells failures before the first byte was sent from later ones, and it
// matches answers to requests by an identifier rather than by their order on
// a connection.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the client and the life of one exchange.

const (
	// dialTimeout bounds the set-up of a connection. Endpoints are a few
	// milliseconds away; one that does not answer by then is tried later.
	dialTimeout = 250 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 2 * time.Second
	// keepAlive is the interval of the probes that find a silent peer.
	keepAlive = time.Second
	// keepAliveProbes is the number of unanswered probes that end a
	// connection.
	keepAliveProbes = 2
	// maxStrangers bounds the answers to other requests that are passed over
	// before the one that is waited for.
	maxStrangers = 2
	// maxStrangerBytes bounds each of them.
	maxStrangerBytes = 64 << 10
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	// Read reads the headers of an answer, each once.
	Read func(http.Header) fescuelatch.AnswerHeaders
	// Opened, when set, is told of each new connection.
	Opened func()

	ears  ears
	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
}

// Request is one request to an endpoint.
type Request struct {
	// Identifier is that which the answer must carry, if it carries any.
	Identifier string
	Method     string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that has been used moments ago or is new,
	// for requests that must not be lost with a connection that broke while
	// idle.
	Fresh bool
	// Patience bounds the silence of the endpoint until the head of the
	// answer; zero means no bound but that of the context.
	Patience time.Duration
	// GivesUp, when set, is asked before silence ends the exchange. When it
	// reports false the wait goes on.
	GivesUp func() bool
}

// Answer is the answer of an endpoint. Body must be read to its end or the
// answer closed.
type Answer struct {
	Status int
	Header http.Header
	// Said is what the headers say.
	Said   fescuelatch.AnswerHeaders
	body   io.Reader
	conn   *connection
	client *Client
	stop   func() bool
	reuse  bool
	ended  bool
}

// Do sends a request and returns the answer once its head has arrived. The
// answer is cut when ctx ends.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, r *Request) (*Answer, error) {
	k, err := c.connect(ctx, to, r.Fresh)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, k.close)
	a, err := k.exchange(ctx, r, c.Read)
	if err != nil {
		stop()
		k.close()
		return nil, err
	}
	a.conn, a.client, a.stop = k, c, stop
	a.reuse = a.reuse && k.keep(a.Said.IdleTimeout)
	return a, nil
}

// exchange writes the request and reads answers up to the one that belongs to
// it. Answers to earlier requests may arrive late on a connection.
func (k *connection) exchange(ctx context.Context, r *Request, read func(http.Header) fescuelatch.AnswerHeaders) (*Answer, error) {
	h, err := r.http()
	if err != nil {
		return nil, &Error{Op: "write request", Kind: KindUnsent, Err: err}
	}
	if err := h.Write(k.Conn); err != nil {
		return nil, broken(ctx, "write request", err)
	}
	k.givesUp = r.GivesUp
	k.setPatience(r.Patience)
	k.head.begin()
	defer k.head.end()
	for range maxStrangers + 1 {
		res, err := readFinal(k.reader, h) //nolint:bodyclose // The answer reads it to its end.
		if err != nil {
			return nil, broken(ctx, "read answer", err)
		}
		said := read(res.Header)
		if said.Call != "" && r.Identifier != "" && said.Call != r.Identifier {
			n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrangerBytes))
			if err != nil || n == maxStrangerBytes || res.Close {
				return nil, broken(ctx, "read answer", errors.New("the answer belongs to another request"))
			}
			continue
		}
		if res.Header.Get("Content-Encoding") != "" {
			return nil, broken(ctx, "read answer", errors.New("the body is encoded, though no encoding was accepted"))
		}
		k.setPatience(0)
		return &Answer{
			Status: res.StatusCode, Header: res.Header, Said: said, body: res.Body,
			reuse: !res.Close && res.ProtoAtLeast(1, 1),
		}, nil
	}
	return nil, broken(ctx, "read answer", errors.New("answers belong to other requests"))
}

// readFinal reads an answer and passes over informational ones.
func readFinal(r *bufio.Reader, h *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, h)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err //nolint:wrapcheck // The caller wraps it.
		}
	}
}

// http returns the request as net/http writes it. An opaque URL keeps the path
// and query as they are.
func (r *Request) http() (*http.Request, error) {
	if _, err := url.ParseRequestURI(r.Target); err != nil {
		return nil, errors.WithStack(err)
	}
	u := &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target, RawQuery: ""}
	h := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		h.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	return h, nil
}

// Read implements io.Reader. Its errors other than io.EOF are of type *Error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.finish()
		return n, io.EOF
	default:
		return n, &Error{Op: "read body", Kind: kindOf(err), Err: errors.WithStack(err)}
	}
}

// SetPatience bounds the wait for the next part of the body, which begins
// anew; zero ends the bound.
func (a *Answer) SetPatience(d time.Duration) {
	a.conn.setPatience(d)
}

// finish keeps the connection for another request, unless there are bytes on
// it that belong to none.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stop() || !a.reuse || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	a.conn.setPatience(0)
	a.conn.givesUp = nil
	a.client.keep(a.conn)
}

// Close ends the exchange. The endpoint sees a body that was not read to its
// end as a caller who has left.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.close()
}

// Reachable reports whether an endpoint takes a new connection, which is kept
// for the next request.
func (c *Client) Reachable(ctx context.Context, to netip.AddrPort) bool {
	k, err := c.dial(ctx, to)
	if err != nil {
		return false
	}
	k.keep(0)
	c.keep(k)
	return true
}

// connect returns a kept connection, or a new one.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, fresh bool) (*connection, error) {
	if k := c.take(to, fresh); k != nil {
		return k, nil
	}
	return c.dial(ctx, to)
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}, Control: setUserTimeout}
	n, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	if c.Opened != nil {
		c.Opened()
	}
	k := &connection{Conn: n, to: to, hearing: c.ears.of(to), start: c.ears.start}
	k.reader = bufio.NewReaderSize(k, bufferBytes)
	k.heard()
	return k, nil
}

func broken(ctx context.Context, op string, err error) error {
	e := &Error{Op: op, Kind: kindOf(err), Err: errors.WithStack(err)}
	if ctx.Err() != nil {
		e.Kind = KindCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			e.Kind = KindExpired
		}
	}
	return e
}
