package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a worker registers.
const heartbeat = 1200 * time.Millisecond

// worker stands in for a model worker.
type worker struct {
	id, service, zone, address string
	slots                      int
	store                      *store
	record                     *record

	// first is the time to the first event, gap that between two, and events their number.
	first, gap time.Duration
	events     int
	// onRun, when set, is called before a request runs. It reports false if it has ended the
	// process instead.
	onRun func(k *worker, r *http.Request) bool

	running  atomic.Int64
	full     atomic.Bool // all slots and the queue are taken by the work of others
	mu       sync.Mutex
	silence  time.Time // until when it sends nothing
	server   *http.Server
	born     int64
	sequence int
	down     bool
}

func newWorker(id, service, zone, ip string, s *store, rec *record) (*worker, error) {
	k := &worker{id: id, service: service, zone: zone, slots: 64, store: s, record: rec, first: 50 * time.Millisecond, gap: 100 * time.Millisecond, events: 30}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	k.address = l.Addr().String()
	k.start(l)
	go func() {
		for range time.Tick(heartbeat) {
			k.register()
		}
	}()
	return k, nil
}

func (k *worker) start(l net.Listener) {
	k.mu.Lock()
	k.born, k.sequence, k.down = time.Now().UnixMilli(), 0, false
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve)}
	server := k.server
	k.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	k.register()
}

func (k *worker) register() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return
	}
	k.sequence++
	k.store.put("servers/"+k.id, map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "capacity": k.slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "unified", "sequence": k.sequence, "born": k.born,
	})
}

// crash ends the process at once and starts it again after some time.
func (k *worker) crash(after time.Duration) {
	k.mu.Lock()
	if k.down {
		k.mu.Unlock()
		return
	}
	k.down = true
	server := k.server
	k.mu.Unlock()
	k.record.add("worker %s crashes", k.id)
	_ = server.Close()
	time.AfterFunc(after, func() {
		for {
			l, err := net.Listen("tcp", k.address)
			if err == nil {
				k.record.add("worker %s is back", k.id)
				k.start(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// fallSilent makes the worker send nothing for some time. Its work goes on.
func (k *worker) fallSilent(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silence = time.Now().Add(d)
	k.record.add("worker %s falls silent for %v", k.id, d)
}

func (k *worker) awaitVoice() {
	k.mu.Lock()
	until := k.silence
	k.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (k *worker) load() string {
	if k.full.Load() {
		return fmt.Sprintf("%d,%d,%d", k.slots, 3*k.slots, k.slots)
	}
	return fmt.Sprintf("%d,0,%d", k.running.Load(), k.slots)
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	call := r.Header.Get("Fescuelatch-Attempt-Id")
	w.Header().Set("Fescuelatch-Server-Load", k.load())
	if r.URL.Path == "/healthz" {
		w.Header().Set("Fescuelatch-Instance-Id", k.id)
		return
	}
	w.Header().Set("Fescuelatch-Attempt-Id", call)
	if want := r.Header.Get("Fescuelatch-Target-Instance"); want != "" && want != k.id {
		w.Header().Set("Fescuelatch-Not-Executed", "1")
		w.Header().Set("Fescuelatch-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.awaitVoice()
	if k.full.Load() {
		k.record.add("worker %s is full and rejects %s", k.id, call)
		w.Header().Set("Fescuelatch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if k.onRun != nil && !k.onRun(k, r) {
		panic(http.ErrAbortHandler)
	}
	k.running.Add(1)
	defer k.running.Add(-1)
	k.record.run(call, k.id, r)
	ended := "complete"
	defer func() { k.record.add("worker %s: run of %s ends: %s", k.id, call, ended) }()
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(k.first)
		w.Header().Set("Fescuelatch-Response-Signature", "sig-"+k.id+"-"+call)
		_, _ = fmt.Fprintf(w, "answer to %s", call)
		return
	}
	ended = k.stream(r.Context(), w, r, call)
	if ended != "complete" {
		panic(http.ErrAbortHandler)
	}
}

func (k *worker) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, call string) string {
	if !sleep(ctx, k.first) {
		return "the caller has closed the connection"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Fescuelatch-Response-Signature", "sig-"+k.id+"-"+call)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= k.events; n++ {
		k.awaitVoice()
		if ctx.Err() != nil {
			return fmt.Sprintf("the caller has closed the connection before event %d", n)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, call, n)
		if http.NewResponseController(w).Flush() != nil {
			return fmt.Sprintf("event %d cannot be sent", n)
		}
		if n < k.events && !sleep(ctx, k.gap) {
			return fmt.Sprintf("the caller has closed the connection after event %d", n)
		}
	}
	return "complete"
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
