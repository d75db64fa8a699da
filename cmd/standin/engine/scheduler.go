package engine

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/internal/pause"
)

// This file defines admission, continuous batching and cold starts.

// admit adds a run to the wait queue.
func (e *Engine) admit(r *run) error {
	f := e.faults.Get()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Down || e.cold.Down(now) {
		return &Error{Op: "admit", Kind: KindDown}
	}
	if !e.versions[r.request.Model] {
		return &Error{Op: "admit", Kind: KindNotLoaded}
	}
	if len(e.running) >= e.settings.Slots && len(e.queue) >= e.settings.Queue {
		return &Error{Op: "admit", Kind: KindNotStarted}
	}
	e.arrivals++
	r.arrival = e.arrivals
	e.record.recordArrival(r, now, f.Leaving)
	if !e.cold.Admit(now, len(e.running)+len(e.queue)+1) {
		e.restart()
		return &Error{Op: "admit", Kind: KindDown}
	}
	e.runs.Add(r.attempt, r)
	heap.Push(&e.queue, r)
	e.dispatch()
	return nil
}

// restart aborts all requests and begins a new incarnation, with an empty
// cache.
func (e *Engine) restart() {
	e.abortAll()
	e.cache.clear()
	e.incarnation = endpoint.NewIncarnation()
}

// abortAll aborts all requests, waiting or running.
func (e *Engine) abortAll() {
	down := &Error{Op: "run", Kind: KindDown}
	for _, r := range e.queue {
		r.index = -1
		r.finish(down)
	}
	for r := range e.running {
		r.finish(down)
	}
	e.queue = nil
	clear(e.running)
}

// dispatch starts waiting runs while there are free slots.
func (e *Engine) dispatch() {
	for len(e.running) < e.settings.Slots && len(e.queue) > 0 {
		r := heap.Pop(&e.queue).(*run)
		e.running[r] = true
		e.record.recordStart(r, time.Now(), len(e.running))
		go e.execute(r)
	}
}

// release frees the slot of a run that has ended.
func (e *Engine) release(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r] {
		delete(e.running, r)
		e.recent = append(e.recent, r)
		e.recent = e.recent[max(0, len(e.recent)-maxRecentRuns):]
	}
	e.dispatch()
}

// execute generates the response of a run, one token per step.
func (e *Engine) execute(r *run) {
	defer e.release(r)
	good := rand.Float64() < e.quality(r.request.Model)
	pace := e.settings.FirstToken
	if e.cache.getOrAdd(r.request.Model, r.request.prefix()) {
		pace = time.Duration(float64(pace) * cachedFirstToken)
	}
	for _, t := range responseTokens(&r.request, good) {
		if !pause.For(r.ctx, e.stepTime(pace)) {
			return
		}
		r.add(t)
		pace = e.settings.BetweenTokens
	}
	r.finish(nil)
}

// stepTime scales the time of a step by the current concurrency.
func (e *Engine) stepTime(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1 + e.settings.Growth*float64(len(e.running)-1)/float64(e.settings.Slots)
	if e.cold.Cold(time.Now()) {
		factor *= coldSlowdown
	}
	return time.Duration(float64(d) * factor)
}

// cancelRun cancels an attempt and reports whether it was found.
func (e *Engine) cancelRun(id fescuelatch.AttemptID) bool {
	e.mu.Lock()
	r, ok := e.runs.Get(id)
	kind := KindCancelled
	if ok && e.queue.remove(r) {
		kind = KindNotStarted
	}
	e.mu.Unlock()
	if ok {
		r.finish(&Error{Op: "run", Kind: kind})
	}
	return ok
}

// quality returns the probability that a response of a version is good.
func (e *Engine) quality(v fescuelatch.VersionID) float64 {
	if q, ok := e.faults.Get().Quality[v]; ok {
		return q
	}
	return 1
}
