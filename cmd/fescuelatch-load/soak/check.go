package soak

import (
	"fmt"
	"net/http"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the invariants of calls and checks them.

// propagationTimeout is the longest time until a configuration change is
// active at daemons that run undisturbed and reach the store.
const propagationTimeout = 3 * time.Second

// checkCall checks a completed call.
func (s *soak) checkCall(c *call) {
	if f := c.fault(); f != "" {
		s.addViolation("%s: %s", c, f)
	}
	s.checkConnections(c)
	s.checkVersions(c)
	stable, runs := c.target.stableSince()
	undisturbed := runs && stable.Before(c.sent)
	if undisturbed && c.elapsed > callTimeout+callSlack {
		s.addViolation("%s: exceeded its deadline", c)
	}
	if undisturbed && c.status == 0 {
		s.addViolation("%s: got no answer from an undisturbed daemon", c)
	}
	known := s.crashes.settled(c.sent) && s.inTouchSince(c.target, c.sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	if known {
		s.countServed(c)
	}
	s.report.Calls[fmt.Sprintf("%s %d", c.name, c.status)]++
	if c.err != nil {
		s.report.Calls[c.name+" not whole"]++
	}
	settled := s.keyChanged
	for _, t := range []time.Time{stable, s.storeStableSince} {
		if t.After(settled) {
			settled = t
		}
	}
	if !undisturbed || s.storeFaults > 0 || c.status == 0 || c.sent.Before(settled.Add(propagationTimeout)) {
		return
	}
	if refused := c.status == http.StatusUnauthorized; refused == c.usesKey(s.key) {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%s: sent key %d while key %d is active", c, c.key, s.key))
	}
}

// checkExecutions checks how often each call was executed.
func (s *soak) checkExecutions() {
	for _, c := range s.calls {
		n := s.executions.count(c.nonce)
		switch {
		case c.atMostOnce && n > 1:
			s.addViolation("%s: was executed %d times%s", c, n, s.executions.noteOf(c.nonce))
		case c.answered() && n == 0:
			s.addViolation("%s: was answered but not executed", c)
		case fakeplatform.IsNotRunStatus(c.status) && n > 0:
			s.addViolation("%s: was executed %d times although the answer says that it was not%s", c, n, s.executions.noteOf(c.nonce))
		}
	}
}
