// Package endpoint is an HTTP/1.1 client for opaque requests to endpoints.
// Unlike a general client it never sends a request twice, distinguishes
// failures before the first byte was sent from later ones, and matches answers
// to requests by an identifier rather than by their order on a connection.
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
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the client and the exchange of a request and its answer.

const (
	// dialTimeout bounds connection setup. Endpoints are a few milliseconds
	// away; one that does not answer in time is tried again later.
	dialTimeout = 250 * time.Millisecond
	// maxDialDelay is how late the end of a connect may be noticed without doubt about
	// whether the endpoint has accepted it.
	maxDialDelay = 5 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 2 * time.Second
	// keepAliveInterval is the interval of the probes that detect an
	// unresponsive peer.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that end a
	// connection.
	keepAliveProbes = 2
	// maxForeignAnswers bounds the answers to other requests that are skipped
	// before the expected answer.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of each skipped answer.
	maxForeignBytes = 64 << 10
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	// DecodeHeaders decodes the headers of an answer. It is called once per answer.
	DecodeHeaders func(http.Header) fescuelatch.AnswerHeaders
	// Opened, when set, is called for each new connection.
	Opened func()
	// AcceptUnidentified reports that answers without an identifier are taken also from
	// those that identify others.
	AcceptUnidentified bool

	activity activityTracker
	mu       sync.Mutex
	pools    map[netip.AddrPort]*pool
}

// Request is one request to an endpoint.
type Request struct {
	// Identifier must match the identifier of the answer, if it has one.
	Identifier string
	Method     string
	// Target is the path and query exactly as received from the caller.
	Target string
	Host   string
	Header http.Header
	// Body holds the parts of the body.
	Body [][]byte
	// Fresh requires a new or recently used connection, for requests that must
	// not be lost on a connection that broke while idle.
	Fresh bool
	// InactivityTimeout is the inactivity timeout until the head of the answer. Zero
	// means that only the context bounds the wait.
	InactivityTimeout time.Duration
	// Connected, when set, is called before the request is written to its connection.
	Connected func()
	// Transferred, when set, grows by the bytes of the exchange on the network, there and
	// back.
	Transferred *int
	// Inactive, when set, is called each time the inactivity timeout has passed, and the
	// exchange goes on. Otherwise the timeout ends the exchange.
	Inactive func()
}

// Answer is the answer of an endpoint. It must be read to its end or closed.
type Answer struct {
	Status int
	Header http.Header
	// Decoded holds the decoded headers.
	Decoded fescuelatch.AnswerHeaders
	// Framed reports that the body has a length or chunks, and does not just end with
	// its connection.
	Framed bool
	body   io.Reader
	conn   *connection
	client *Client
	stop   func() bool
	reuse  bool
	ended  bool
	// trailing reports that unsolicited bytes followed the body.
	trailing bool
}

// Do sends a request and returns the answer once its head has arrived. The end
// of ctx closes the connection.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, r *Request) (*Answer, error) {
	k, err := c.connect(ctx, to, r)
	if err != nil {
		return nil, err
	}
	if r.Connected != nil {
		r.Connected()
	}
	stop := context.AfterFunc(ctx, k.close)
	a, err := k.exchange(ctx, r, c.DecodeHeaders)
	if err != nil {
		stop()
		k.close()
		return nil, err
	}
	a.conn, a.client, a.stop = k, c, stop
	a.reuse = a.reuse && k.setIdleTimeout(a.Decoded.IdleTimeout)
	return a, nil
}

// exchange writes the request and reads up to the head of its answer. It skips
// late answers to earlier requests on the connection.
func (k *connection) exchange(ctx context.Context, r *Request, read func(http.Header) fescuelatch.AnswerHeaders) (*Answer, error) {
	h, err := r.httpRequest()
	if err != nil {
		return nil, &Error{Op: "write request", Kind: KindUnsent, Err: err}
	}
	k.transferred = r.Transferred
	if err := r.write(&countingWriter{k.Conn, r.Transferred}, h); err != nil {
		return nil, exchangeError(ctx, "write request", err)
	}
	k.inactive = r.Inactive
	k.setInactivityTimeout(r.InactivityTimeout)
	for range maxForeignAnswers + 1 {
		res, err := k.readFinal(h) //nolint:bodyclose // Answer reads the body.
		if err != nil {
			return nil, exchangeError(ctx, "read answer", err)
		}
		headers := read(res.Header)
		if !k.answers(r, headers.Call) {
			if !skipBody(res) {
				return nil, exchangeError(ctx, "read answer", errors.New("the answer belongs to another request"))
			}
			continue
		}
		if refuses(headers, res.StatusCode) {
			if headers.Call == "" && k.reused && !k.acceptUnidentified {
				return nil, exchangeError(ctx, "read answer", errors.New("the refusal has no identifier and may be an earlier one"))
			}
			k.recordRefusal(r.Identifier)
		}
		if res.Header.Get("Content-Encoding") != "" {
			return nil, exchangeError(ctx, "read answer", errors.New("the body is encoded, but no encoding was accepted"))
		}
		k.setInactivityTimeout(0)
		return &Answer{
			Status: res.StatusCode, Header: res.Header, Decoded: headers, body: res.Body,
			reuse:  !res.Close && res.ProtoAtLeast(1, 1),
			Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || r.Method == http.MethodHead,
		}, nil
	}
	return nil, exchangeError(ctx, "read answer", errors.New("too many answers to other requests"))
}

// countingWriter adds the bytes that it writes to transferred, unless that is nil.
type countingWriter struct {
	io.Writer
	transferred *int
}

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	if c.transferred != nil {
		*c.transferred += n
	}
	return n, err //nolint:wrapcheck // The exchange wraps it.
}

// ReadFrom implements io.ReaderFrom, so that a body is not written in the small parts of the
// buffer for the head.
func (c *countingWriter) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(c.Writer, r)
	if c.transferred != nil {
		*c.transferred += int(n)
	}
	return n, err //nolint:wrapcheck // The exchange wraps it.
}

// answers reports whether an answer with the identifier call belongs to the request. On a
// connection that has carried an earlier request, one without an identifier may be an earlier
// answer that is written again, unless the endpoint identifies none.
func (k *connection) answers(r *Request, call string) bool {
	if call == "" {
		return k.acceptUnidentified || !k.reused || !k.activity.identified.Load()
	}
	k.activity.identified.Store(true)
	return r.Identifier == "" || call == r.Identifier
}

// refuses reports whether an answer states that its request has not run.
func refuses(h fescuelatch.AnswerHeaders, status int) bool {
	return h.NotRun || status == http.StatusMisdirectedRequest
}

// skipBody reads the body of an answer to another request, and reports whether the next answer
// can follow.
func skipBody(res *http.Response) bool {
	if res.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes))
	return err == nil && n < maxForeignBytes
}

// maxStatus is the largest status that HTTP defines.
const maxStatus = 599

// readFinal reads the head of an answer, skipping informational ones.
func (k *connection) readFinal(h *http.Request) (*http.Response, error) {
	defer k.head.end()
	for range maxInformational + 1 {
		k.head.begin()
		res, err := http.ReadResponse(k.reader, h)
		switch {
		case err != nil:
			return nil, err //nolint:wrapcheck // The caller wraps it.
		case res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus:
			return nil, errors.Errorf("status %.20q is not one of HTTP", res.Status)
		case res.StatusCode >= http.StatusOK:
			return res, nil
		}
	}
	return nil, errTooManyInformational
}

// httpRequest converts the request. An opaque URL preserves the path and query
// byte for byte.
func (r *Request) httpRequest() (*http.Request, error) {
	if _, err := url.ParseRequestURI(r.Target); err != nil {
		return nil, errors.WithStack(err)
	}
	u := &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target, RawQuery: ""}
	h := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	readers := make([]io.Reader, len(r.Body))
	for i, b := range r.Body {
		readers[i] = bytes.NewReader(b)
		h.ContentLength += int64(len(b))
	}
	switch {
	case h.ContentLength > 0 && len(readers) == 1:
		h.Body = io.NopCloser(readers[0]) // Its type lets the head and the body be written at once.
	case h.ContentLength > 0:
		h.Body = io.NopCloser(io.MultiReader(readers...))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // Prevents net/http from adding its own.
	}
	return h, nil
}

// write writes the request. Package url takes two slashes at the beginning of an opaque URL for
// those before a host, and puts the scheme before them.
func (r *Request) write(w io.Writer, h *http.Request) error {
	if !strings.HasPrefix(r.Target, "//") {
		return h.Write(w) //nolint:wrapcheck // The exchange wraps it.
	}
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		return err //nolint:wrapcheck // As above.
	}
	method := h.Method + " "
	rest, ok := bytes.CutPrefix(b.Bytes(), []byte(method+h.URL.Scheme+":"))
	if !ok {
		rest = bytes.TrimPrefix(b.Bytes(), []byte(method))
	}
	_, err := w.Write(append([]byte(method), rest...))
	return err //nolint:wrapcheck // As above.
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

// SetInactivityTimeout restarts the wait for the next part of the body with inactivity
// timeout d; zero removes the timeout. It has no effect once the answer has been read to
// its end, as its connection may carry another request.
func (a *Answer) SetInactivityTimeout(d time.Duration) {
	if a.ended {
		return
	}
	a.conn.setInactivityTimeout(d)
}

// Discard reads and drops at most the given bytes of the rest of the body, and ends the
// exchange if the endpoint is inactive for longer than the timeout.
func (a *Answer) Discard(most int64, timeout time.Duration) error {
	if a.ended {
		return nil
	}
	a.conn.inactive = nil
	a.conn.setInactivityTimeout(timeout)
	_, err := io.Copy(io.Discard, io.LimitReader(a, most))
	return err //nolint:wrapcheck // Read has wrapped it.
}

// LastBytes returns when the last bytes of the answer have arrived, before its end if that is the
// end of its connection.
func (a *Answer) LastBytes() time.Time { return a.conn.lastBytes }

// Trailing reports whether further bytes had arrived when the body ended. Then the endpoint
// has perhaps answered the request twice.
func (a *Answer) Trailing() bool { return a.trailing }

// finish releases the connection for reuse, or closes it if unsolicited bytes
// are buffered or the connection cannot be reused.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	a.conn.transferred = nil
	a.trailing = a.conn.reader.Buffered() > 0
	if !a.stop() || !a.reuse || a.trailing {
		a.conn.close()
		return
	}
	a.conn.setInactivityTimeout(0)
	a.conn.inactive, a.conn.reused = nil, true
	a.client.release(a.conn)
}

// Close ends the exchange. If the body was not read to its end, the endpoint
// sees that the caller has disconnected.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.close()
}

// connect returns an idle connection, or a new one.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, r *Request) (*connection, error) {
	if k := c.acquire(to, r); k != nil {
		return k, nil
	}
	return c.dial(ctx, to)
}

// dial opens a connection. A timeout that is noticed late may be that of this process, so
// the connect is repeated once.
func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	began := time.Now()
	n, err := connect(ctx, to)
	if err != nil && kindOf(err) == KindInactive && ctx.Err() == nil && time.Since(began) >= dialTimeout+maxDialDelay {
		n, err = connect(ctx, to)
	}
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	if c.Opened != nil {
		c.Opened()
	}
	k := &connection{Conn: n, to: to, activity: c.activity.of(to), start: c.activity.start, acceptUnidentified: c.AcceptUnidentified}
	k.reader = bufio.NewReaderSize(k, bufferBytes)
	k.recordActivity()
	return k, nil
}

func connect(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", to.String()) //nolint:wrapcheck // The caller wraps it.
}

func exchangeError(ctx context.Context, op string, err error) error {
	e := &Error{Op: op, Kind: kindOf(err), Err: errors.WithStack(err)}
	if ctx.Err() != nil {
		e.Kind = KindCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			e.Kind = KindExpired
		}
	}
	return e
}
