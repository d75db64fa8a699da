package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file defines requests that come again and again with the same path, account and body,
// at any daemon: those that crash each endpoint that begins to run them, and sound ones.

const (
	// allowedRequestCrashes is the number of crashes after which all daemons have to know
	// the request, within blockTimeout.
	allowedRequestCrashes = 3
	// repeatInterval is the time between two repeated requests.
	repeatInterval = 60 * time.Millisecond
	// minCrashingTime, maxCrashingTime and meanCrashingInterval bound how long a request
	// crashes endpoints, and the time between two such requests.
	minCrashingTime      = 7 * time.Second
	maxCrashingTime      = 12 * time.Second
	meanCrashingInterval = 4 * time.Second
	// minServedShare is the share of the repeated sound requests that are answered, of that
	// of others, if there are at least minServedCalls of both.
	minServedShare = 0.5
	minServedCalls = 20

	crashingRequestPrefix = "crash-"
	popularTail           = "popular"
)

// repeated is a request that comes again and again.
type repeated struct {
	kind
	tail, body, prompt string
}

// newCall returns a call that repeats the request.
func (r *repeated) newCall(nonce string, d *daemon, key int) *call {
	return &call{kind: r.kind, fixed: r, nonce: nonce, target: d, key: key, prompt: r.prompt}
}

// tail returns the end of the call's path.
func (c *call) tail() string {
	if c.fixed != nil {
		return c.fixed.tail
	}
	return c.nonce
}

// popular returns the sound requests that are repeated, which have no body.
func popular() []*repeated {
	var all []*repeated
	for _, k := range kinds() {
		r := &repeated{kind: k, tail: popularTail}
		if k.streamed {
			r.prompt = "a:40,c0:20," + popularTail + ":5"
		}
		all = append(all, r)
	}
	return all
}

// crashesEndpoint reports whether a request with a path crashes endpoints.
func crashesEndpoint(tail string) bool { return strings.HasPrefix(tail, crashingRequestPrefix) }

// isRepeated reports whether the end of a path is that of repeated requests.
func isRepeated(tail string) bool { return tail == popularTail || crashesEndpoint(tail) }

// crashingRequests holds the requests that crash endpoints now.
type crashingRequests struct {
	mu      sync.Mutex
	current []*repeated
	number  int // of those drawn; used only when the next is drawn
}

// draw draws a request and when it crashes endpoints.
func (c *crashingRequests) draw(random *rand.Rand) drawnFault {
	c.number++
	r := &repeated{kind: kinds()[random.IntN(len(kinds()))], tail: fmt.Sprintf("%s%d", crashingRequestPrefix, c.number)}
	if random.IntN(2) == 0 && r.method == http.MethodPost {
		r.body = "body of " + r.tail
	}
	if random.IntN(2) == 0 && r.streamed {
		r.prompt = fmt.Sprintf("a:40,c%d:20,%s:5", random.IntN(commonParts), r.tail)
	}
	wait := time.Duration(random.ExpFloat64() * float64(meanCrashingInterval))
	if c.number == 1 {
		wait = 0
	}
	duration := minCrashingTime + time.Duration(random.Int64N(int64(maxCrashingTime-minCrashingTime)))
	return drawnFault{fault{"a request crashes endpoints: " + r.method + " " + r.path + r.tail, false, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.current = append(c.current, r)
	}, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.current = slices.DeleteFunc(c.current, func(o *repeated) bool { return o == r })
	}}, wait, duration}
}

// next returns one of the requests that crash endpoints now, or nil.
func (c *crashingRequests) next(n int) *repeated {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) == 0 {
		return nil
	}
	return c.current[n%len(c.current)]
}

// repeatRequests sends requests that crash endpoints and sound ones until ctx ends.
func (s *soak) repeatRequests(ctx context.Context, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var crashing crashingRequests
	wg.Go(func() {
		faults := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		s.injectFaults(ctx, func() drawnFault { return crashing.draw(faults) })
	})
	calls := rand.New(rand.NewPCG(s.Seed, callsStream+1))
	sound := popular()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(repeatInterval)
		r := sound[calls.IntN(len(sound))]
		if calls.IntN(3) == 0 {
			r = crashing.next(n)
		}
		d := s.daemons[calls.IntN(len(s.daemons))]
		if r == nil || !d.open() {
			continue
		}
		s.mu.Lock()
		key := s.key
		s.mu.Unlock()
		s.launch(ctx, &wg, r.newCall(fmt.Sprintf("%d-again-%d", s.Seed, n), d, key))
	}
}

// served counts calls at daemons in touch after requests have crashed endpoints.
type served struct{ calls, answered int }

func (s served) share() float64 { return float64(s.answered) / float64(max(1, s.calls)) }

// countServed counts a call that was sent after requests have crashed endpoints, if it is one of the repeated sound ones, or another one of the
// same kind. The caller holds the lock.
func (s *soak) countServed(c *call) {
	if c.fixed != nil && crashesEndpoint(c.fixed.tail) || c.key != s.key {
		return
	}
	m := s.servedOthers
	if c.fixed != nil {
		m = s.servedRepeated
	}
	n := m[c.name]
	n.calls++
	if c.answered() {
		n.answered++
	}
	m[c.name] = n
}

// settled reports whether daemons have to know all requests that have crashed endpoints, and
// whether there are any.
func (c *crashes) settled(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	any := false
	for cause, t := range c.times {
		if !crashesEndpoint(cause) || len(t) < allowedRequestCrashes {
			continue
		}
		if at.Sub(t[allowedRequestCrashes-1]) < blockTimeout {
			return false
		}
		any = true
	}
	return any
}

// checkServed checks that repeated sound requests are answered as others are.
func (s *soak) checkServed() {
	for name, r := range s.servedRepeated {
		o := s.servedOthers[name]
		s.report.Checked["repeated sound calls"] += r.calls
		if min(r.calls, o.calls) >= minServedCalls && r.share() < minServedShare*o.share() {
			s.addViolation("%s: %d of %d repeated sound calls were answered, and %d of %d others", name, r.answered, r.calls, o.answered, o.calls)
		}
	}
}
