// Package rating speaks to the service that rates answers.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"fescuelatch"
)

// Client asks the rating service. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// URL is the service's base URL without a trailing slash.
	URL string
}

var _ fescuelatch.Rater = (*Client)(nil)

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

type request struct {
	Version fescuelatch.VersionID `json:"version"`
	Prompt  string                `json:"prompt"`
	Answer  string                `json:"answer"`
}

type response struct {
	Score *float64 `json:"score"`
}

// Rate implements fescuelatch.Rater.
func (c *Client) Rate(ctx context.Context, v fescuelatch.VersionID, prompt, answer string) (float64, error) {
	const op = "rate"
	b, err := json.Marshal(request{Version: v, Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, &Error{op, KindInvalid, err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/ratings", bytes.NewReader(b))
	if err != nil {
		return 0, &Error{op, KindUnavailable, err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, &Error{op, KindUnavailable, err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &Error{op, KindUnavailable, errors.Errorf("status %d", resp.StatusCode)}
	}
	var r response
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return 0, &Error{op, KindInvalid, err}
	}
	if r.Score == nil || *r.Score < 0 || *r.Score > 1 {
		return 0, &Error{op, KindInvalid, errors.New("score is not within 0 to 1")}
	}
	return *r.Score, nil
}
