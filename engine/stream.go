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

// This file defines the reading of streamed answers.

// maxResumes bounds how often one stream is resumed.
const maxResumes = 2

// stream is a streamed answer that is being read. A stream that is cut is
// resumed at the same endpoint and attempt, after the chunks that have
// arrived; it is never continued by another attempt.
type stream struct {
	client  *Client
	target  Target
	attempt fescuelatch.AttemptID
	first   func()
	chunk   func(*openai.Chunk) error

	answer   openai.ChatResponse
	chunks   int
	begun    bool
	finished bool
	sinkErr  error
}

// read reads the stream to its end mark.
func (s *stream) read(ctx context.Context, body io.Reader) (*openai.ChatResponse, error) {
	const op = "chat stream"
	s.answer.ID = string(s.attempt)
	err := openai.ReadStream(body, s.take)
	for n := 0; n < maxResumes && s.resumable(ctx, err); n++ {
		err = s.resume(ctx)
	}
	switch {
	case s.sinkErr != nil:
		return nil, &Error{Op: op, Kind: KindCancelled, Err: s.sinkErr}
	case err != nil:
		return nil, brokenOr(ctx, op, err)
	case !s.finished:
		return nil, &Error{Op: op, Kind: KindBroken, Err: openai.ErrCut}
	}
	return &s.answer, nil
}

func (s *stream) take(k *openai.Chunk) error {
	if k.ID != string(s.attempt) {
		return errors.Wrapf(errForeign, "chunk of attempt %q", k.ID)
	}
	s.chunks++
	s.answer.Model = k.Model
	if k.Usage != nil {
		s.answer.Usage = *k.Usage
	}
	if !s.begun && k.HasOutput() {
		s.begun = true
		s.first()
	}
	s.finished = s.finished || k.Finished()
	s.sinkErr = s.chunk(k)
	return s.sinkErr
}

// errForeign reports that a stream carries another attempt's answer.
var errForeign = errors.New("foreign answer")

func (s *stream) resumable(ctx context.Context, err error) bool {
	return s.target.Resumable && err != nil && s.sinkErr == nil && ctx.Err() == nil &&
		!errors.Is(err, errForeign) && !errors.Is(err, openai.ErrEvent)
}

func (s *stream) resume(ctx context.Context) error {
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
		return errors.Wrapf(openai.ErrCut, "resume: status %d", resp.StatusCode)
	}
	return openai.ReadStream(resp.Body, s.take)
}
