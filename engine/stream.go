package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/openai"
)

// This file reads streamed answers.

// maxResumes is the maximum number of times that a stream is resumed.
const maxResumes = 2

// streamReader reads a streamed answer. It resumes a truncated stream at the
// same endpoint and attempt, after the received chunks; another attempt never
// continues the stream.
type streamReader struct {
	client  *Client
	target  Target
	attempt fescuelatch.AttemptID
	first   func()
	chunk   func(*openai.Chunk) error

	answer      openai.ChatResponse
	chunks      int
	started     bool
	finished    bool
	callbackErr error
}

// read reads the stream up to the end marker.
func (s *streamReader) read(ctx context.Context, body io.Reader) (*openai.ChatResponse, error) {
	const op = "chat stream"
	s.answer.ID = string(s.attempt)
	err := openai.ReadStream(body, s.handleChunk)
	for n := 0; n < maxResumes && s.resumable(ctx, err); n++ {
		err = s.resume(ctx)
	}
	switch {
	case s.callbackErr != nil:
		return nil, &Error{Op: op, Kind: KindCancelled, Err: s.callbackErr}
	case err != nil:
		return nil, interruptedError(ctx, op, err)
	case !s.finished:
		return nil, &Error{Op: op, Kind: KindBroken, Err: openai.ErrTruncated}
	}
	return &s.answer, nil
}

func (s *streamReader) handleChunk(k *openai.Chunk) error {
	if k.ID != string(s.attempt) {
		return errors.Wrapf(errWrongAttempt, "chunk of attempt %q", k.ID)
	}
	s.chunks++
	s.answer.Model = k.Model
	if k.Usage != nil {
		s.answer.Usage = *k.Usage
	}
	if !s.started && k.HasOutput() {
		s.started = true
		s.first()
	}
	s.finished = s.finished || k.Finished()
	s.callbackErr = s.chunk(k)
	return s.callbackErr
}

// errWrongAttempt reports that a stream carries the answer of another attempt.
var errWrongAttempt = errors.New("answer of another attempt")

func (s *streamReader) resumable(ctx context.Context, err error) bool {
	return s.target.Resumable && err != nil && s.callbackErr == nil && ctx.Err() == nil &&
		!errors.Is(err, errWrongAttempt) && !errors.Is(err, openai.ErrEvent)
}

func (s *streamReader) resume(ctx context.Context) error {
	url := s.target.URL + "/v1/requests/" + string(s.attempt) + "/stream?from=" + strconv.Itoa(s.chunks)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := s.client.HTTP.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(openai.ErrTruncated, "resume: status %d", resp.StatusCode)
	}
	return openai.ReadStream(resp.Body, s.handleChunk)
}
