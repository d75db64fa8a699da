package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines streams that break off and are continued by an answer that is no stream.
// What callers get of them is checked as for all calls.

const (
	minBrokenTime     = time.Second
	maxBrokenTime     = 4 * time.Second
	maxBrokenInterval = 1500 * time.Millisecond
	smallPage         = 40
	largePage         = 1300 << 10
)

// brokenStreams describes how streams break off and are continued.
type brokenStreams struct {
	events int // before the end
	page   fakeplatform.Page
}

// breakStreams breaks off streams until ctx ends.
func (s *soak) breakStreams(ctx context.Context, random *rand.Rand) {
	s.injectFaults(ctx, func() drawnFault { return s.drawBrokenStreams(random) })
}

// drawBrokenStreams draws a time in which streams break off.
func (s *soak) drawBrokenStreams(random *rand.Rand) drawnFault {
	wait := time.Duration(random.Int64N(int64(maxBrokenInterval)))
	duration := minBrokenTime + time.Duration(random.Int64N(int64(maxBrokenTime-minBrokenTime)))
	b := &brokenStreams{1 + random.IntN(streamEvents-2), fakeplatform.Page{
		Status:  []int{http.StatusNotFound, http.StatusInternalServerError, http.StatusOK}[random.IntN(3)],
		Type:    []string{"text/html", "application/json", "application/octet-stream"}[random.IntN(3)],
		Size:    []int{smallPage, largePage}[random.IntN(2)],
		Chunked: random.IntN(2) == 0,
	}}
	name := fmt.Sprintf("streams break off after event %d and continue with status %d and %d bytes", b.events, b.page.Status, b.page.Size)
	return drawnFault{fault{name, false, func() {
		for _, e := range s.endpoints[desks:] {
			e.broken.Store(b)
		}
	}, func() {
		for _, e := range s.endpoints[desks:] {
			e.broken.CompareAndSwap(b, nil)
		}
	}}, wait, duration}
}

// stream sends the first events of a stream and breaks off within the next, or sends the
// page if the stream is to be continued.
func (b *brokenStreams) stream(s *soak, w http.ResponseWriter, r *http.Request, nonce string) {
	if r.Header.Get("Last-Event-Id") != "" {
		s.count("streams continued by a page")
		b.page.Behaviour(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := 1; n <= b.events+1; n++ {
		whole := event(n, nonce)
		if n > b.events {
			whole = whole[:len(whole)/2]
		}
		_, _ = fmt.Fprint(w, whole)
		if flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
	panic(http.ErrAbortHandler)
}
