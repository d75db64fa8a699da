package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// This file defines the operators' client of a daemon's control server.

// maxControlBytes bounds an answer of the control server.
const maxControlBytes = 16 << 20

// Client requests the state of daemons. It is safe for concurrent use.
type Client struct{ HTTP *http.Client }

// Status returns the summary of the daemon whose control server is at to.
func (c *Client) Status(ctx context.Context, to netip.AddrPort) (Status, error) {
	var s Status
	return s, c.get(ctx, to, pathStatus, &s)
}

// State returns the daemon's known state.
func (c *Client) State(ctx context.Context, to netip.AddrPort) (State, error) {
	var s State
	return s, c.get(ctx, to, pathState, &s)
}

// Daemons returns the daemons that the one at to knows, itself included.
func (c *Client) Daemons(ctx context.Context, to netip.AddrPort) ([]KnownDaemon, error) {
	var ds []KnownDaemon
	return ds, c.get(ctx, to, pathDaemons, &ds)
}

// Explain asks the daemon what would become of a request.
func (c *Client) Explain(ctx context.Context, to netip.AddrPort, q Question) (Explanation, error) {
	const op = "explain"
	var x Explanation
	if err := q.Check(); err != nil {
		return x, err
	}
	b, err := json.Marshal(q)
	if err != nil {
		return x, &Error{op, KindInvalid, errors.WithStack(err)}
	}
	return x, c.call(ctx, to, http.MethodPost, pathExplain, b, &x)
}

func (c *Client) get(ctx context.Context, to netip.AddrPort, path string, v any) error {
	return c.call(ctx, to, http.MethodGet, path, nil, v)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method, path string, body []byte, v any) error {
	op := strings.ToLower(method) + " " + path
	q, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return &Error{op, KindInvalid, errors.WithStack(err)}
	}
	res, err := c.HTTP.Do(q)
	if err != nil {
		return &Error{op, KindUnreachable, errors.WithStack(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return refusal(op, res)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxControlBytes)).Decode(v); err != nil {
		return &Error{op, KindInvalid, errors.WithStack(err)}
	}
	return nil
}

// refusal returns the error of an answer that is none.
func refusal(op string, res *http.Response) error {
	switch res.StatusCode {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return &Error{op, KindUnsupported, errors.New("the daemon is of an older build, which cannot do this")}
	}
	var e controlError
	if err := json.NewDecoder(io.LimitReader(res.Body, maxControlBytes)).Decode(&e); err != nil || e.Kind == "" {
		return &Error{op, KindInvalid, errors.Errorf("status %d", res.StatusCode)}
	}
	return &Error{op, e.Kind, errors.New(e.Error)}
}
