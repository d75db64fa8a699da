package openai

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// This file reads streamed answers.

const maxEventBytes = 1 << 20

// ErrTruncated reports that a stream ended without the end marker.
var ErrTruncated = errors.New("stream ended without the end marker")

// ErrEvent reports that a stream ended with an error object.
var ErrEvent = errors.New("stream ended with an error")

// ReadStream calls f for each chunk of a server-sent event stream up to the end
// marker, "[DONE]", which it consumes. It returns ErrTruncated if the stream ends
// without the marker, ErrEvent if it contains an error object, and the error of
// f if f fails.
func ReadStream(r io.Reader, f func(*Chunk) error) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return nil
		}
		c, err := ParseChunk(data)
		if err != nil {
			return err
		}
		if err := f(c); err != nil {
			return err
		}
	}
	return ErrTruncated
}
