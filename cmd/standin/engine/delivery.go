package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/google/uuid"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the delivery of answers.

// delivery is how an answer is sent.
type delivery struct {
	run *run
	// other is the run whose answer is sent from chunk crossed on, or nil.
	other   *run
	crossed int
	times   int
	// cut is the chunk before which the connection breaks, or noCut.
	cut int
}

const noCut = -1

// answer sends the answer of a run, with the faults that apply.
func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, n *run) {
	if e.takes(func(f *Faults) *server.Chance { return &f.ErrorAfter }) {
		_, _ = n.whole(ctx)
		writeError(w, http.StatusInternalServerError, "internal")
		return
	}
	if e.takes(func(f *Faults) *server.Chance { return &f.Late }) {
		_, _ = n.whole(ctx)
		pause.For(ctx, e.faults.Get().LateBy)
	}
	d := e.delivery(ctx, n)
	if n.request.Stream {
		d.stream(ctx, w)
	} else {
		d.whole(ctx, w)
	}
}

// delivery returns how the answer of n is sent.
func (e *Engine) delivery(ctx context.Context, n *run) *delivery {
	f := e.faults.Get()
	d := &delivery{run: n, times: 1, cut: noCut}
	if e.takes(func(f *Faults) *server.Chance { return &f.Crossed }) {
		_, _ = n.whole(ctx)
		d.other, d.crossed = e.other(n), f.CrossedAfter
	}
	if e.takes(func(f *Faults) *server.Chance { return &f.Twice }) {
		d.times = 2
	}
	if e.takes(func(f *Faults) *server.Chance { return &f.Cut }) {
		d.cut = f.CutAfter
	}
	return d
}

// other returns an ended run of another attempt than n, made up when there
// is none.
func (e *Engine) other(n *run) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.last {
		if o.attempt != n.attempt && o.succeeded() {
			return o
		}
	}
	o := newRun(fescuelatch.AttemptID(uuid.NewString()), n.request)
	o.add("other")
	o.finish(nil)
	return o
}

// whole sends a whole answer.
func (d *delivery) whole(ctx context.Context, w http.ResponseWriter) {
	source := d.run
	if d.other != nil {
		source = d.other
	}
	c, err := source.whole(ctx)
	if err != nil {
		answerError(w, err)
		return
	}
	// Encoding of this type cannot fail.
	b, _ := json.Marshal(c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)*d.times))
	if d.cut != noCut {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		server.Abort()
	}
	for range d.times {
		_, _ = w.Write(b)
	}
}

// stream sends an answer as server-sent events.
func (d *delivery) stream(ctx context.Context, w http.ResponseWriter) {
	// The answer to an attempt that is not started is no stream.
	if b, err := d.run.chunk(ctx, 0); b == nil {
		answerError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for range d.times {
		d.sendChunks(ctx, w, 0)
	}
}

// sendChunks sends the chunks from number i on.
func (d *delivery) sendChunks(ctx context.Context, w http.ResponseWriter, i int) {
	ctrl := http.NewResponseController(w)
	for ; ; i++ {
		if i == d.cut {
			server.Abort()
		}
		b, err := d.source(i).chunk(ctx, i)
		if err != nil && b == nil {
			sendStreamError(w, err)
			return
		}
		if b == nil {
			break
		}
		sendEvent(w, b)
		_ = ctrl.Flush()
	}
	sendEvent(w, []byte("[DONE]"))
	_ = ctrl.Flush()
}

// source returns the run that chunk i is of.
func (d *delivery) source(i int) *run {
	if d.other != nil && i >= d.crossed {
		return d.other
	}
	return d.run
}

// sendStreamError ends a stream that has begun.
func sendStreamError(w http.ResponseWriter, err error) {
	if kindOf(err) != KindCancelled {
		server.Abort()
	}
	b, _ := json.Marshal(errorBody(string(KindCancelled)))
	sendEvent(w, b)
}

// sendEvent sends one server-sent event.
func sendEvent(w io.Writer, data []byte) {
	_, _ = w.Write(slices.Concat([]byte("data: "), data, []byte("\n\n")))
}
