package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines endpoints that write a refusal once more. What callers are told of the
// requests that they run is checked as for all calls.

const (
	minRefusalTime     = time.Second
	maxRefusalTime     = 4 * time.Second
	maxRefusalInterval = time.Second
	maxRefusalWork     = 80 * time.Millisecond
)

// repeatRefusals lets endpoints repeat refusals until ctx ends.
func (s *soak) repeatRefusals(ctx context.Context, random *rand.Rand) {
	s.injectFaults(ctx, func() drawnFault { return s.drawRepeatedRefusal(random) })
}

// drawRepeatedRefusal draws an endpoint that repeats refusals for a time.
func (s *soak) drawRepeatedRefusal(random *rand.Rand) drawnFault {
	wait := time.Duration(random.Int64N(int64(maxRefusalInterval)))
	duration := minRefusalTime + time.Duration(random.Int64N(int64(maxRefusalTime-minRefusalTime)))
	e := s.endpoints[random.IntN(len(s.endpoints))]
	ways := []fakeplatform.RefusalRepeat{
		fakeplatform.RefusalAtOnce, fakeplatform.RefusalBeforeAnswer, fakeplatform.RefusalWithoutID, fakeplatform.RefusalAfterAnswer,
	}
	way := ways[random.IntN(len(ways))]
	p := fakeplatform.RepeatedRefusal{
		Repeat: way, Work: time.Duration(random.Int64N(int64(maxRefusalWork))),
		Run: func(h http.Header, r *http.Request) string { return s.runBehindRefusal(e, way, h, r) },
	}
	b := fakeplatform.Behaviour(p.Behaviour)
	return drawnFault{fault{fmt.Sprintf("%s repeats refusals %s", e.ID, p.Repeat), false, func() { e.refusing.Store(&b) }, func() { e.refusing.CompareAndSwap(&b, nil) }}, wait, duration}
}

// runBehindRefusal executes a call that comes on a connection with a repeated refusal.
func (s *soak) runBehindRefusal(e *endpoint, way fakeplatform.RefusalRepeat, h http.Header, r *http.Request) (body string) {
	nonce := nonceOf(r)
	s.executions.arrive(nonce)
	s.executions.add(nonce)
	s.executions.note(nonce, "refusal repeated "+string(way))
	s.executions.breakOff(nonce)
	e.limiter.arrived(h, nonce)
	s.count("calls behind a repeated refusal")
	if e.service == serviceDesk {
		return nonce
	}
	h.Set("Content-Type", "text/event-stream")
	var b strings.Builder
	for n := lastEventOf(r) + 1; n <= streamEvents; n++ {
		b.WriteString(event(n, nonce))
	}
	return b.String()
}
