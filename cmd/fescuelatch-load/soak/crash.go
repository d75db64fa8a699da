package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file defines endpoints that crash, also on parts of prompts, and checks which
// calls daemons send and refuse then.

const (
	// restartDelay is how long a crashed endpoint is away.
	restartDelay = 1500 * time.Millisecond
	// crashDelay is the time between the beginning of an answer and the crash.
	crashDelay = 30 * time.Millisecond
	// allowedCrashes is the number of crashes after which all daemons have to know the
	// part, within blockTimeout; allowedCalls may still arrive later.
	allowedCrashes = 5
	blockTimeout   = 3 * time.Second
	allowedCalls   = 3
	// commonParts and rareParts are the numbers of parts that are in many and in few
	// prompts.
	commonParts, rareParts = 6, 200
	crashingPrefix         = "dead"
	codeBlocked            = "blocked-prompt"
)

// crashes holds the parts that crash endpoints.
type crashes struct {
	mu      sync.Mutex
	parts   int
	current string // the part in some of the calls, or none
	// times holds the crashes by cause, a part or the path of a request, and late the
	// calls that arrived after daemons had to know it.
	times map[string][]time.Time
	late  map[string][]string
}

// begin makes calls with a new part, or none if it ends them.
func (c *crashes) begin(crashing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = ""
	if crashing {
		c.parts++
		c.current = fmt.Sprintf("%s%d", crashingPrefix, c.parts)
	}
}

// promptOf draws the parts of a call's prompt.
func (c *crashes) promptOf(random *rand.Rand, nonce string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := fmt.Sprintf("c%d", random.IntN(commonParts))
	switch n := random.IntN(10); {
	case n == 0 && c.current != "":
		part = c.current
	case n < 3:
		part = fmt.Sprintf("r%d", random.IntN(rareParts))
	}
	return fmt.Sprintf("a:40,%s:20,%s:5", part, nonce)
}

// crashingPart returns the part of a prompt that crashes endpoints, or "".
func crashingPart(prompt string) string {
	for entry := range strings.SplitSeq(prompt, ",") {
		if part, _, _ := strings.Cut(entry, ":"); strings.HasPrefix(part, crashingPrefix) {
			return part
		}
	}
	return ""
}

// crashesUntilKnown returns the number of crashes by a cause after which daemons have to
// know it.
func crashesUntilKnown(cause string) int {
	if crashesEndpoint(cause) {
		return allowedRequestCrashes
	}
	return allowedCrashes
}

// arrived records the arrival of a call with a cause, unless its daemon need not know it.
func (c *crashes) arrived(cause, nonce string, known func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := crashesUntilKnown(cause)
	if t := c.times[cause]; len(t) >= n && time.Since(t[n-1]) > blockTimeout && known() {
		c.late[cause] = append(c.late[cause], nonce)
	}
}

func (c *crashes) crashed(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times[cause] = append(c.times[cause], time.Now())
}

// crash ends the endpoint's process while it runs a call. A model endpoint has begun its
// answer by then.
func (s *soak) crash(e *endpoint, w http.ResponseWriter, nonce, cause string) {
	s.crashes.arrived(cause, nonce, func() bool {
		if crashesEndpoint(cause) {
			return s.targetInTouch(nonce)
		}
		return s.calmTarget(nonce)
	})
	if e.service == serviceModel {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		// An error means that the caller has left.
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(crashDelay)
	if s.restart(e) {
		s.crashes.crashed(cause)
	}
	panic(http.ErrAbortHandler)
}

// restart ends an endpoint's process and starts it again later, at another address. It
// reports whether the process was running.
func (s *soak) restart(e *endpoint) bool {
	if !e.link.Down() {
		return false
	}
	e.ends.add(time.Now())
	s.restarts.Go(func() {
		time.Sleep(restartDelay)
		if err := e.link.Up(); err != nil {
			s.addViolation("%s failed to start: %v", e.ID, err)
		}
		s.register(e, "ready")
	})
	return true
}

// calm reports whether a daemon and the store have been undisturbed for long enough for
// the daemon to know of earlier crashes.
func (s *soak) calm(d *daemon) bool {
	s.mu.Lock()
	stable := s.storeFaults == 0 && time.Since(s.storeStableSince) > blockTimeout
	s.mu.Unlock()
	return stable && !d.disturbedBetween(time.Now().Add(-blockTimeout), time.Now())
}

// checkCrashes checks that calls with crashing parts were kept from endpoints, and no
// others.
func (s *soak) checkCrashes() {
	for cause, times := range s.crashes.times {
		if n := crashesUntilKnown(cause); len(times) >= n {
			s.report.Checked["crash causes"]++
		}
	}
	for cause, nonces := range s.crashes.late {
		if len(nonces) > allowedCalls {
			s.addViolation("%s: %d calls reached endpoints later than %v after crash %d of %d; allowed %d: %s",
				cause, len(nonces), blockTimeout, crashesUntilKnown(cause), len(s.crashes.times[cause]), allowedCalls, s.describeCalls(nonces))
		}
	}
	for _, c := range s.calls {
		if c.fixed != nil && crashesEndpoint(c.fixed.tail) {
			continue
		}
		if c.status == http.StatusServiceUnavailable && strings.Contains(c.body, codeBlocked) && crashingPart(c.prompt) == "" {
			s.addViolation("%s: its prompt %s crashes no endpoint, but was blocked", c, c.prompt)
		}
	}
}

// describeCalls names the daemons to which calls were sent.
func (s *soak) describeCalls(nonces []string) string {
	var all []string
	for _, c := range s.calls {
		if slices.Contains(nonces, c.nonce) {
			all = append(all, fmt.Sprintf("%s to %s%s", c.nonce, c.target.VM, c.build))
		}
	}
	return strings.Join(all, ", ")
}

// targetInTouch reports whether the daemon to which a call was sent is in touch.
func (s *soak) targetInTouch(nonce string) bool {
	s.mu.Lock()
	target := s.targets[nonce]
	s.mu.Unlock()
	return target != nil && s.inTouchSince(target, time.Now())
}

// newCrashFault returns a fault in which an endpoint crashes for no reason in its calls.
func (s *soak) newCrashFault(e *endpoint) fault {
	return fault{e.ID + " crashes", false, func() { s.restart(e) }, func() {}}
}

// newCrashingPartFault returns a fault in which a part of prompts crashes endpoints.
func (s *soak) newCrashingPartFault() fault {
	return fault{"a prompt part crashes endpoints", false, func() { s.crashes.begin(true) }, func() { s.crashes.begin(false) }}
}
