package engine

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/internal/pause"
)

// This file checks that bodies of answers are whole.

// readWhole reads a body of at most the given bytes. The error of one that is longer or broken off
// comes with what was read.
func readWhole(r io.Reader, most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return b, errors.WithStack(err)
	}
	if len(b) > most {
		return b[:most], errors.Errorf("body exceeds %d bytes", most)
	}
	return b, nil
}

// unframedBody is a body that has neither a length nor chunks, and ends with its connection. The
// end of a connection that is reset while the request is still being written looks like one in
// order: the failed write has used up the error.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context //nolint:containedctx // It is that of the request whose answer this is.
	request *upload
}

// upload is the state of the request of an answer. Its end is reported by another goroutine, which
// may run after the whole answer has been read.
type upload struct{ state atomic.Int32 }

const (
	uploadBegun int32 = iota
	uploadWritten
	uploadFailed

	// uploadCheckInterval is the time between two looks at the state.
	uploadCheckInterval = time.Millisecond
)

// begin records that the request is being written, or written again on another connection.
func (u *upload) begin() { u.state.Store(uploadBegun) }

// end records that the request has been written, or that this failed.
func (u *upload) end(err error) {
	if err != nil {
		u.state.Store(uploadFailed)
		return
	}
	u.state.Store(uploadWritten)
}

// written waits until the request is no longer being written, and reports whether it was written.
func (u *upload) written(ctx context.Context) bool {
	for u.state.Load() == uploadBegun && pause.For(ctx, uploadCheckInterval) {
	}
	return u.state.Load() == uploadWritten
}

// checkBody has the body of an answer checked.
func checkBody(resp *http.Response, request *upload) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		resp.Body = &unframedBody{resp.Body, resp.Request.Context(), request}
	}
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.request.written(b.ctx) {
		err = io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // A reader's errors are compared.
}
