package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

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

func (c *Client) get(ctx context.Context, to netip.AddrPort, path string, v any) error {
	op := "get " + path
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, http.NoBody)
	if err != nil {
		return &Error{op, KindInvalid, errors.WithStack(err)}
	}
	res, err := c.HTTP.Do(q)
	if err != nil {
		return &Error{op, KindUnreachable, errors.WithStack(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &Error{op, KindInvalid, errors.Errorf("status %d", res.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxControlBytes)).Decode(v); err != nil {
		return &Error{op, KindInvalid, errors.WithStack(err)}
	}
	return nil
}
