// Package httpjson calls JSON services of the platform.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// This file defines calls and their error type.

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

// maxDrainBytes bounds how much of an unused response body is read so that the
// connection can be reused.
const maxDrainBytes = 64 << 10 // bytes

// Get sends a GET request and decodes the response into out.
func Get(ctx context.Context, c *http.Client, op, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &Error{op, KindUnavailable, err}
	}
	return do(c, op, req, out)
}

// Post sends in as JSON and decodes the response into out.
func Post(ctx context.Context, c *http.Client, op, url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return &Error{op, KindInvalid, err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return &Error{op, KindUnavailable, err}
	}
	req.Header.Set("Content-Type", "application/json")
	return do(c, op, req, out)
}

func do(c *http.Client, op string, req *http.Request, out any) error {
	req.Header.Set("User-Agent", "") // omits the header
	resp, err := c.Do(req)
	if err != nil {
		return &Error{op, KindUnavailable, err}
	}
	defer func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return &Error{op, KindUnavailable, errors.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{op, KindInvalid, err}
	}
	return nil
}
