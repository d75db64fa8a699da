package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/engine"
	"fescuelatch/ownership"
)

// This file fuzzes messages of other daemons.

// echoHandler replies to every heartbeat with its hello.
type echoHandler struct{ Handler }

func (echoHandler) Heartbeat(h *Heartbeat, r *HeartbeatReply) error {
	r.Hello = h.Hello
	if h.Ownership != nil {
		r.Ownership = new(ownership.Ack)
	}
	return h.Validate()
}

// FuzzHeartbeat checks that no message causes a panic and that a heartbeat with
// an unknown link is never accepted.
func FuzzHeartbeat(f *testing.F) {
	for _, h := range []Heartbeat{
		{Hello: Hello{VM: "a", Domain: "d", Incarnation: "i", Counts: Counts{0, 1, 2, 3}}, Ownership: &ownership.Heartbeat{From: "a"}},
		{Hello: Hello{Evidence: []fescuelatch.Evidence{{Version: "m@1"}}}, Link: 7},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(h); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var h Heartbeat
		if gob.NewDecoder(bytes.NewReader(message)).Decode(&h) != nil {
			return
		}
		l := &linkHandler{Handler: echoHandler{}}
		link := h.Link
		reply := new(HeartbeatReply)
		if l.Heartbeat(&h, reply) == nil && (link != 0) != reply.Relink {
			t.Fatalf("link %d: reply is %+v", link, reply)
		}
		if _, err := new(Numbering).Unpack(h.Counts); err == nil && len(h.Counts) > 0 {
			t.Fatalf("%v unpacked without a configuration", h.Counts)
		}
	})
}

// FuzzCounts checks that decoding and encoding counts preserves them.
func FuzzCounts(f *testing.F) {
	v, err := fescuelatch.NewView(&fescuelatch.Configuration{
		Generation: 1,
		Inventory: fescuelatch.Inventory{
			Models:   []fescuelatch.Model{{ID: "m"}},
			Versions: []fescuelatch.Version{{ID: "m@2", Model: "m"}, {ID: "m@1", Model: "m"}},
			Services: []fescuelatch.Service{{ID: "desk", Operations: []fescuelatch.Operation{{ID: "ban"}}}},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	n := NewNumbering(v)
	f.Add([]byte{0, 1, 2, 3, 2, 9, 0, 9})
	f.Add([]byte{3, 0, 0, 0})
	f.Add([]byte{0, 1})
	f.Fuzz(func(t *testing.T, numbers []byte) {
		var cs Counts
		for _, b := range numbers {
			cs = append(cs, int(int8(b)))
		}
		ss, err := n.Unpack(cs)
		if err != nil {
			return
		}
		again := n.Pack(ss)
		for i := range cs {
			if again[i] != cs[i] {
				t.Fatalf("%v became %v", cs, again)
			}
		}
	})
}

// forwardBackend records the accepted calls.
type forwardBackend struct{ calls []*caller.Call }

func (*forwardBackend) View() *fescuelatch.View { return nil }

func (b *forwardBackend) Serve(_ context.Context, c *caller.Call, r *caller.Reply) {
	b.calls = append(b.calls, c)
	_ = r.Fail(caller.Meta{}, caller.Failure{Status: http.StatusServiceUnavailable, Outcome: fescuelatch.OutcomeNotRun})
}

// FuzzForwarded checks that an accepted forwarded request is complete and
// identified by its attempt, and that any other is refused as not run.
func FuzzForwarded(f *testing.F) {
	f.Add(`{"request":{"id":"r","account":"a"},"share":1,"remaining":1000}`, "r.1", `{"model":"m","messages":[{"role":"user"}]}`)
	f.Add(`{"request":{"id":"r"}}`, "", "")
	f.Add(`{`, "r.1", "{")
	f.Fuzz(func(t *testing.T, header, attempt, body string) {
		b := new(forwardBackend)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		r.Header.Set(headerForward, header)
		r.Header.Set(engine.HeaderAttempt, attempt)
		w := httptest.NewRecorder()
		NewForwardHandler(b, time.Now).ServeHTTP(w, r)
		if got := w.Header().Get(caller.HeaderOutcome); got != string(fescuelatch.OutcomeNotRun) {
			t.Fatalf("outcome %q", got)
		}
		for _, c := range b.calls {
			q := c.Request
			if !q.Forwarded || q.Account == "" || string(q.ID) != attempt || attempt == "" || c.Chat == nil || c.Chat.Model == "" {
				t.Fatalf("accepted: %+v", c)
			}
		}
	})
}
