package kv

import (
	"context"
	"encoding/json"
	"net/http"

	"fescuelatch/cmd/standin/server"
)

// This file defines watches.

// watch streams the changes of a range of keys.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.add("watch")
	var q watchRequest
	if !server.ReadJSON(w, r, maxRequestBytes, &q) {
		return
	}
	if err := p.admit(r.Context(), false); err != nil {
		writeError(w, err)
		return
	}
	next := int64(q.Create.StartRevision)
	if next == 0 {
		next = p.store.currentRevision() + 1
	}
	w.Header().Set("Content-Type", "application/json")
	out := watchStream{json.NewEncoder(w), http.NewResponseController(w)}
	out.send(&watchResponse{Header: header{number(p.store.currentRevision())}, Created: true})
	p.streamEvents(r.Context(), out, span{q.Create.Key, q.Create.RangeEnd}, next)
}

// streamEvents sends events from revision next on until ctx or the platform
// ends.
func (p *Platform) streamEvents(ctx context.Context, out watchStream, s span, next int64) {
	for {
		faulty := p.faults.Changed()
		if p.applyOutage(ctx) != nil {
			return
		}
		b := p.store.eventsFrom(s, next)
		h := header{number(b.next - 1)}
		if b.compacted {
			out.send(&watchResponse{Header: h, Canceled: true, CompactRevision: number(b.next)})
			return
		}
		if events := p.dropEvents(b.events); len(events) > 0 {
			out.send(&watchResponse{Header: h, Events: events})
		}
		next = b.next
		select {
		case <-b.changed:
		case <-faulty:
		case <-p.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

type watchStream struct {
	enc  *json.Encoder
	ctrl *http.ResponseController
}

// send writes a response. A client that disconnects cancels the watch's
// context.
func (s watchStream) send(r *watchResponse) {
	_ = s.enc.Encode(result{r})
	_ = s.ctrl.Flush()
}
