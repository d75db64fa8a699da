package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/cmd/standin/rating"
)

// This file defines a run: one attempt at a request, and the chunks that it
// has produced so far.

// run is one attempt. Its response stays readable after its end.
type run struct {
	attempt fescuelatch.AttemptID
	request completionRequest
	arrival int64 // sequence number of arrival
	index   int   // position in the wait queue, or -1
	ctx     context.Context
	cancel  context.CancelCauseFunc
	created time.Time
	record  *requestRecord

	mu      sync.Mutex
	tokens  []string
	chunks  [][]byte // JSON
	done    bool
	err     error
	changed chan struct{}
}

func newRun(attempt fescuelatch.AttemptID, q completionRequest) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &run{
		attempt: attempt,
		request: q,
		index:   -1,
		ctx:     ctx,
		cancel:  cancel,
		created: time.Now(),
		changed: make(chan struct{}),
	}
}

// responseTokens returns the tokens of the response to q. A bad response has
// the rater's marker in its middle.
func responseTokens(q *completionRequest, good bool) []string {
	var ts []string
	nonce, ok := q.nonce()
	if ok {
		ts = append(ts, noncePrefix+nonce)
	}
	n := q.maxTokens()
	for i := range n {
		ts = append(ts, "w"+strconv.Itoa(i))
	}
	if !good {
		ts[len(ts)-1-n/2] = rating.Marker
	}
	if ok {
		ts = append(ts, "end:"+nonce)
	}
	return ts
}

// add appends a token to the response.
func (r *run) add(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := message{Content: content(token)}
	if len(r.tokens) == 0 {
		m.Role = "assistant"
	} else {
		m.Content = " " + m.Content
	}
	r.tokens = append(r.tokens, token)
	r.addChunk([]choice{{Delta: &m}}, nil)
}

// finish ends the run. A nil err means success.
func (r *run) finish(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.done, r.err = true, err
	r.cancel(err)
	if err == nil {
		stop := "stop"
		r.addChunk([]choice{{Delta: &message{}, FinishReason: &stop}}, nil)
		if r.request.StreamOptions.IncludeUsage {
			u := r.usage()
			r.addChunk([]choice{}, &u)
		}
		return
	}
	r.notify()
}

func (r *run) addChunk(cs []choice, u *usage) {
	// Encoding of these types cannot fail.
	b, _ := json.Marshal(r.completion("chat.completion.chunk", cs, u))
	r.chunks = append(r.chunks, b)
	r.notify()
}

func (r *run) completion(object string, cs []choice, u *usage) completion {
	return completion{
		ID:      string(r.attempt),
		Object:  object,
		Created: r.created.Unix(),
		Model:   r.request.Model,
		Choices: cs,
		Usage:   u,
	}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) usage() usage {
	p := len(strings.Fields(r.request.prompt()))
	return usage{PromptTokens: p, CompletionTokens: len(r.tokens), TotalTokens: p + len(r.tokens)}
}

// chunk waits for chunk i and returns it. If the run or ctx ends first, it
// returns nil and the error of the run or of ctx.
func (r *run) chunk(ctx context.Context, i int) ([]byte, error) {
	for {
		r.mu.Lock()
		b, done, err, changed := r.chunkAt(i), r.done, r.err, r.changed
		r.mu.Unlock()
		if b != nil || done {
			return b, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *run) chunkAt(i int) []byte {
	if i < len(r.chunks) {
		return r.chunks[i]
	}
	return nil
}

// wait waits for the run to end and returns its complete response.
func (r *run) wait(ctx context.Context) (completion, error) {
	for i := 0; ; i++ {
		b, err := r.chunk(ctx, i)
		if err != nil {
			return completion{}, err
		}
		if b == nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, u := "stop", r.usage()
	m := message{Role: "assistant", Content: content(strings.Join(r.tokens, " "))}
	return r.completion("chat.completion", []choice{{Message: &m, FinishReason: &stop}}, &u), nil
}

// succeeded reports whether the run has ended without an error.
func (r *run) succeeded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done && r.err == nil
}
