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

// This file defines the delivery of responses.

// delivery describes how a response is sent.
type delivery struct {
	run *run
	// other is the run that supplies the chunks from otherFrom on, or nil.
	other     *run
	otherFrom int
	copies    int
	// cutAt is the chunk before which the connection is closed, or noCut.
	cutAt int
}

const noCut = -1

// respond sends the response of a run, with the faults that apply.
func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, n *run) {
	if e.triggered(func(f *Faults) *server.Chance { return &f.ErrorAfter }) {
		_, _ = n.wait(ctx)
		writeError(w, http.StatusInternalServerError, "internal")
		return
	}
	if e.triggered(func(f *Faults) *server.Chance { return &f.Late }) {
		_, _ = n.wait(ctx)
		pause.For(ctx, e.faults.Get().LateBy)
	}
	d := e.newDelivery(ctx, n)
	if n.request.Stream {
		d.sendStream(ctx, w)
	} else {
		d.sendWhole(ctx, w)
	}
}

// newDelivery applies faults to the delivery of n.
func (e *Engine) newDelivery(ctx context.Context, n *run) *delivery {
	f := e.faults.Get()
	d := &delivery{run: n, copies: 1, cutAt: noCut}
	if e.triggered(func(f *Faults) *server.Chance { return &f.Crossed }) {
		_, _ = n.wait(ctx)
		d.other, d.otherFrom = e.otherRun(n), f.CrossedAfter
	}
	if e.triggered(func(f *Faults) *server.Chance { return &f.Twice }) {
		d.copies = 2
	}
	if e.triggered(func(f *Faults) *server.Chance { return &f.Cut }) {
		d.cutAt = f.CutAfter
	}
	return d
}

// otherRun returns a successful run of another attempt than n, made up if
// there is none.
func (e *Engine) otherRun(n *run) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.recent {
		if o.attempt != n.attempt && o.succeeded() {
			return o
		}
	}
	o := newRun(fescuelatch.AttemptID(uuid.NewString()), n.request)
	o.add("other")
	o.finish(nil)
	return o
}

// sendWhole sends a complete response.
func (d *delivery) sendWhole(ctx context.Context, w http.ResponseWriter) {
	source := d.run
	if d.other != nil {
		source = d.other
	}
	c, err := source.wait(ctx)
	if err != nil {
		writeRunError(w, err)
		return
	}
	// Encoding of this type cannot fail.
	b, _ := json.Marshal(c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)*d.copies))
	if d.cutAt != noCut {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		server.Abort()
	}
	for range d.copies {
		_, _ = w.Write(b)
	}
}

// sendStream sends a response as server-sent events.
func (d *delivery) sendStream(ctx context.Context, w http.ResponseWriter) {
	// An attempt that never started gets a plain error response.
	if b, err := d.run.chunk(ctx, 0); b == nil {
		writeRunError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for range d.copies {
		d.sendChunks(ctx, w, 0)
	}
}

// sendChunks sends the chunks from index i on.
func (d *delivery) sendChunks(ctx context.Context, w http.ResponseWriter, i int) {
	ctrl := http.NewResponseController(w)
	for ; ; i++ {
		if i == d.cutAt {
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

// source returns the run that supplies chunk i.
func (d *delivery) source(i int) *run {
	if d.other != nil && i >= d.otherFrom {
		return d.other
	}
	return d.run
}

// sendStreamError ends a stream that has already started.
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
