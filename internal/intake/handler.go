package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// This file defines the budget of handlers that read bodies themselves.

// unreadTimeout is how long the rest of the body of a request that was refused is awaited.
const unreadTimeout = 250 * time.Millisecond

// Handler wraps a handler so that the bodies that it reads count. A handler holds factor times
// what it has read, until it returns. Reads of a body for which there is no memory fail with
// ErrRefused.
func (b *Budget) Handler(next http.Handler, factor int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		c := http.NewResponseController(w)
		h := b.open(KindBody, "", func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
		defer h.release()
		// The server decides by the type of its request's body how to end it.
		counted := *r
		counted.Body = &countedBody{r.Body, h, c, factor}
		next.ServeHTTP(w, &counted)
	})
}

// countedBody is a body whose memory counts.
type countedBody struct {
	io.ReadCloser
	holding    *holding
	controller *http.ResponseController
	factor     int
}

// Read implements io.Reader.
func (k *countedBody) Read(p []byte) (int, error) {
	n, err := k.ReadCloser.Read(p)
	whole := errors.Is(err, io.EOF)
	if n > 0 && !k.holding.grow(n*k.factor, func() {}) || err != nil && !whole && k.holding.isEvicted() {
		// The server reads what is left of a short body.
		_ = k.controller.SetReadDeadline(time.Now().Add(unreadTimeout))
		return 0, &Error{Op: "read body", Kind: ErrRefused}
	}
	if whole && !k.holding.complete() {
		return 0, &Error{Op: "read body", Kind: ErrRefused}
	}
	return n, err //nolint:wrapcheck // Implements io.Reader.
}

// Refused reports whether a body was not read because there is no memory for it.
func Refused(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == ErrRefused
}
