package openai

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// This file defines the reading of streamed answers.

const maxEventBytes = 1 << 20

// ErrCut reports that a stream ended before its end mark.
var ErrCut = errors.New("stream ended before its end mark")

// ErrEvent reports that the peer ended a stream with an error object.
var ErrEvent = errors.New("stream ended with an error")

// ReadStream calls f for each chunk of a server-sent event stream until the
// end mark, which it consumes. It returns ErrCut when the stream ends
// without the mark, ErrEvent when it carries an error object, and the error
// of f when f fails.
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
	return ErrCut
}
