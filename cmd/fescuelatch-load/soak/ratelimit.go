package soak

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file defines endpoints' rate limits and checks that daemons together keep them.

const (
	// limitWindow, limitFactor and limitSlack bound what an endpoint gets: in any
	// window limitFactor times its limit, and limitSlack calls.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long a daemon that has received a limit may take to keep it,
	// and limitSettling how long an endpoint names it before it is checked.
	limitGrace    = 500 * time.Millisecond
	limitSettling = 3 * time.Second
)

// limitPeriod is a time in which an endpoint names a limit.
type limitPeriod struct {
	perSecond float64
	began     time.Time
	arrivals  []arrival
}

// arrival is the arrival of a call at an endpoint.
type arrival struct {
	at    time.Time
	nonce string
}

// limiter records the periods in which an endpoint names limits.
type limiter struct {
	mu      sync.Mutex
	current *limitPeriod
	ended   []*limitPeriod
}

// set begins a period with a limit, or ends the current one if perSecond is zero.
func (l *limiter) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.ended = append(l.ended, l.current)
		l.current = nil
	}
	if perSecond > 0 {
		l.current = &limitPeriod{perSecond: perSecond, began: time.Now()}
	}
}

// arrived records a call and names the current limit in its answer.
func (l *limiter) arrived(h http.Header, nonce string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.current; p != nil {
		p.arrivals = append(p.arrivals, arrival{time.Now(), nonce})
		h.Set("Server-Limit", strconv.FormatFloat(p.perSecond, 'f', -1, 64))
	}
}

// checkRateLimits checks all periods of all endpoints.
func (s *soak) checkRateLimits() {
	targets := make(map[string]*daemon, len(s.calls))
	for _, c := range s.calls {
		targets[c.nonce] = c.target
	}
	for _, e := range s.endpoints {
		e.limiter.set(0)
		for _, p := range e.limiter.ended {
			if n := p.busiestWindow(targets, e.link.CalmAt); n > p.allowed() {
				s.addViolation("%s named a limit of %v a second and got %d calls in %v from daemons that knew it; allowed %d",
					e.ID, p.perSecond, n, limitWindow, p.allowed())
			}
		}
	}
}

func (p *limitPeriod) allowed() int {
	return int(limitFactor*p.perSecond*limitWindow.Seconds()) + limitSlack
}

// busiestWindow returns the most calls that arrived in a window from daemons which had
// received the limit and were not disturbed since. A fault of the endpoint's link holds
// calls back, so that no window contains one.
func (p *limitPeriod) busiestWindow(targets map[string]*daemon, calmAt func(time.Time) bool) int {
	informed := make(map[*daemon]time.Time)
	var counted []time.Time
	most := 0
	for _, a := range p.arrivals {
		d := targets[a.nonce]
		if !calmAt(a.at) {
			counted = nil
			continue
		}
		if d == nil {
			continue
		}
		since, ok := informed[d]
		if !ok || d.disturbedBetween(since, a.at) {
			informed[d] = a.at
			continue
		}
		if a.at.Sub(since) < limitGrace {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if a.at.Sub(p.began) >= limitSettling {
			most = max(most, len(counted))
		}
	}
	return most
}
