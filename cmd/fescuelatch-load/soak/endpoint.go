package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines endpoints, which count the calls that they execute.

// endpointFault is a kind of faulty behavior of an endpoint.
type endpointFault string

// Faults of an endpoint.
const (
	endpointHealthy     endpointFault = ""
	endpointFails       endpointFault = "fails"   // executes the call and answers 500
	endpointDisconnects endpointFault = "breaks"  // executes the call and aborts the connection or the stream
	endpointFull        endpointFault = "is full" // reports that it did not execute the call
	endpointSlow        endpointFault = "is slow"
)

const (
	streamEvents = 8
	eventGap     = 15 * time.Millisecond
	slowDelay    = 700 * time.Millisecond
)

// executions counts how often each call was executed by all endpoints.
type executions struct {
	mu     sync.Mutex
	counts map[string]int
	// arrivals holds the first arrival of each call at an endpoint.
	arrivals map[string]time.Time
	// brokenOff holds the calls some run of which an endpoint has broken off.
	brokenOff map[string]bool
	// notes says in what circumstances calls were executed, if these are special.
	notes map[string]string
}

// breakOff records that an endpoint has broken off a run of a call, or may have.
func (x *executions) breakOff(nonce string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.brokenOff[nonce] = true
}

func (x *executions) hasBrokenOff(nonce string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.brokenOff[nonce]
}

// note records the circumstances of a call's execution.
func (x *executions) note(nonce, text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notes[nonce] = " (" + text + ")"
}

func (x *executions) noteOf(nonce string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.notes[nonce]
}

// arrive records the arrival of a call at an endpoint.
func (x *executions) arrive(nonce string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.arrivals[nonce]; !ok {
		x.arrivals[nonce] = time.Now()
	}
}

// firstArrival returns when a call first arrived at an endpoint, if it has.
func (x *executions) firstArrival(nonce string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, ok := x.arrivals[nonce]
	return t, ok
}

func (x *executions) add(nonce string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts[nonce]++
}

func (x *executions) count(nonce string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.counts[nonce]
}

// endpoint is an endpoint of a service behind a link.
type endpoint struct {
	*fakeplatform.Endpoint
	service    string
	link       *fakeplatform.Link
	fault      atomic.Value
	brittle    atomic.Pointer[fakeplatform.Behaviour] // nil unless the endpoint is brittle
	refusing   atomic.Pointer[fakeplatform.Behaviour] // nil unless the endpoint repeats refusals
	broken     atomic.Pointer[brokenStreams]          // nil unless its streams break off
	limiter    limiter
	room       *shortRoom // nil unless the room is short
	registered string     // the last registration
	ends       ends
	executions *executions
	// onCrash is called with calls that crash the endpoint, and onViolation with requests
	// that no caller sent.
	onCrash     func(e *endpoint, w http.ResponseWriter, nonce, cause string)
	onViolation func(format string, args ...any)
	onBroken    func(b *brokenStreams, w http.ResponseWriter, r *http.Request, nonce string)
}

func newEndpoint(id, service string, counts *executions) (*endpoint, error) {
	e := &endpoint{Endpoint: fakeplatform.NewEndpoint(id), service: service, executions: counts}
	l, err := fakeplatform.NewLink(e.Address())
	if err != nil {
		return nil, err
	}
	e.link = l
	e.fault.Store(endpointHealthy)
	e.SetBehaviour(e.serve)
	return e, nil
}

// registration returns the registration of the endpoint.
func (e *endpoint) registration(state string) string {
	entry := fakeplatform.EntryAt(e.link.Address(), e.service, "v1", state)
	if e.room == nil {
		return entry
	}
	return strings.Replace(entry, `"capacity":8`, fmt.Sprintf(`"capacity":%d`, shortSlots), 1)
}

func (e *endpoint) close() {
	e.link.Close()
	e.Close()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if aborted := recover(); aborted != nil {
			e.executions.breakOff(nonceOf(r))
			panic(aborted)
		}
	}()
	e.executions.arrive(nonceOf(r))
	e.limiter.arrived(w.Header(), nonceOf(r))
	if b := e.refusing.Load(); b != nil {
		(*b)(w, r)
		return
	}
	if b := e.brittle.Load(); b != nil {
		(*b)(w, r)
		return
	}
	if e.room != nil {
		e.room.serve(w, r, e.run)
		return
	}
	e.run(w, r)
}

// run executes a call, unless a fault keeps the endpoint from it.
func (e *endpoint) run(w http.ResponseWriter, r *http.Request) {
	nonce := nonceOf(r)
	fault, _ := e.fault.Load().(endpointFault)
	if fault == endpointFull {
		fakeplatform.NotRun(w, r)
		return
	}
	e.executions.add(nonce)
	tail := tailOf(r)
	if tail != nonce && !isRepeated(tail) {
		e.onViolation("%s got %s with identifier %s", e.ID, r.URL.Path, nonce)
	}
	if part := crashingPart(r.Header.Get(headerPrompt)); part != "" {
		e.onCrash(e, w, nonce, part)
	}
	if crashesEndpoint(tail) {
		e.onCrash(e, w, nonce, tail)
	}
	switch {
	case fault == endpointSlow:
		time.Sleep(slowDelay)
	case fault == endpointFails:
		fakeplatform.Status(http.StatusInternalServerError)(w, r)
		return
	case fault == endpointDisconnects && e.service == serviceDesk:
		fakeplatform.Reset(w, r)
	}
	if e.service == serviceDesk {
		// A failed write means that the caller disconnected.
		_, _ = w.Write([]byte(nonce)) //nolint:gosec // No browser renders the answer.
		return
	}
	if b := e.broken.Load(); b != nil {
		e.onBroken(b, w, r, nonce)
		return
	}
	e.stream(w, r, nonce, fault == endpointDisconnects)
}

// stream sends the events that follow the caller's Last-Event-Id.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, nonce string, disconnects bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get(headerModel) == modelSmall {
		w.Header().Set("Fescuelatch-Confidence", confidenceOf(nonce))
	}
	last := lastEventOf(r)
	flush := http.NewResponseController(w).Flush
	for n := last + 1; n <= streamEvents; n++ {
		if disconnects && n == last+3 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, event(n, nonce))
		if flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// confidenceOf returns the small model's opinion of its answer, which is low for half of the
// calls.
func confidenceOf(nonce string) string {
	if nonce != "" && nonce[len(nonce)-1]%2 == 0 {
		return "10"
	}
	return "90"
}

// lastEventOf returns the number of the last event that the caller has.
func lastEventOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return n
}

// event returns one event of a stream.
func event(n int, nonce string) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, nonce, n) }
