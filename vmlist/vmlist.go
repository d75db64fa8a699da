// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"fescuelatch"
)

// Client reads the list. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// URL is the list's base URL without a trailing slash.
	URL string
}

var _ fescuelatch.VMList = (*Client)(nil)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnavailable Kind = "unavailable"
	KindInvalid     Kind = "invalid-answer"
)

// Error reports that operation Op failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

type list struct {
	VMs []fescuelatch.ListedVM `json:"vms"`
}

// VMs implements fescuelatch.VMList.
func (c *Client) VMs(ctx context.Context) ([]fescuelatch.ListedVM, error) {
	const op = "list VMs"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/vms", nil)
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{op, KindUnavailable, errors.Errorf("status %d", resp.StatusCode)}
	}
	var l list
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return nil, &Error{op, KindInvalid, err}
	}
	return l.VMs, nil
}
