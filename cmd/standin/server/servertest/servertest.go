// Package servertest makes HTTP calls with a timeout in tests of the stand-ins.
package servertest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// Timeout limits each call.
const Timeout = 10 * time.Second

// Response is the response to a call.
type Response struct {
	// Status is 0 if there was no response.
	Status int
	Header http.Header
	Body   string
	// Err is the error of the call or of reading a truncated body.
	Err error
}

// Start serves h at a random port for the duration of a test and returns its
// URL.
func Start(c *qt.C, h http.Handler) string {
	s := httptest.NewServer(h)
	c.Cleanup(s.Close)
	return s.URL
}

// Get calls url and decodes a JSON response into out, if not nil.
func Get(url string, out any) Response { return Do(http.MethodGet, url, "", nil, out) }

// Post posts body to url and decodes a JSON response into out, if not nil.
func Post(url, body string, out any) Response { return Do(http.MethodPost, url, body, nil, out) }

// Do makes a call with header fields, given as alternating names and values.
func Do(method, url, body string, header []string, out any) Response {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err == nil && out != nil {
		err = json.Unmarshal(b, out)
	}
	return Response{Status: r.StatusCode, Header: r.Header, Body: string(b), Err: err}
}
