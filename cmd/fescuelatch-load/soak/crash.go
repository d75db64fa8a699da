package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
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
	// times holds the crashes by part, and late the arrivals of calls after daemons
	// have to know it.
	times map[string][]time.Time
	late  map[string]int
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

// arrived records the arrival of a call with a part. Calm reports that its daemon and the
// store were undisturbed.
func (c *crashes) arrived(part string, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.times[part]; calm && len(t) >= allowedCrashes && time.Since(t[allowedCrashes-1]) > blockTimeout {
		c.late[part]++
	}
}

func (c *crashes) crashed(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times[part] = append(c.times[part], time.Now())
}

// handleCrashingPart begins an answer and ends the endpoint's process.
func (s *soak) handleCrashingPart(e *endpoint, w http.ResponseWriter, nonce, part string) {
	s.crashes.arrived(part, s.calmTarget(nonce))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	// An error means that the caller has left.
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	if s.restart(e) {
		s.crashes.crashed(part)
	}
	panic(http.ErrAbortHandler)
}

// restart ends an endpoint's process and starts it again later, at another address. It
// reports whether the process was running.
func (s *soak) restart(e *endpoint) bool {
	if !e.link.Down() {
		return false
	}
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
	for part, n := range s.crashes.late {
		if n > allowedCalls {
			s.addViolation("part %s: %d calls reached endpoints later than %v after the fifth of %d crashes; allowed %d",
				part, n, blockTimeout, len(s.crashes.times[part]), allowedCalls)
		}
	}
	for _, c := range s.calls {
		if c.status == http.StatusServiceUnavailable && strings.Contains(c.body, codeBlocked) && crashingPart(c.prompt) == "" {
			s.addViolation("%s: its prompt %s crashes no endpoint, but was blocked", c, c.prompt)
		}
	}
}

// newCrashFault returns a fault in which an endpoint crashes for no reason in its calls.
func (s *soak) newCrashFault(e *endpoint) fault {
	return fault{e.ID + " crashes", false, func() { s.restart(e) }, func() {}}
}

// newCrashingPartFault returns a fault in which a part of prompts crashes endpoints.
func (s *soak) newCrashingPartFault() fault {
	return fault{"a prompt part crashes endpoints", false, func() { s.crashes.begin(true) }, func() { s.crashes.begin(false) }}
}
