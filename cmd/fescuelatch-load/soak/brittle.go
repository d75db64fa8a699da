package soak

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines times in which the desks are brittle, and checks how often they crash.

const (
	// brittleTime is how long the desks are brittle at a time. Crashes count from
	// brittleSettling on.
	brittleTime     = 9 * time.Second
	brittleSettling = 3 * time.Second
	// allowedFalls and allowedFallShare bound the crashes of a time: the number, and the
	// share of the endpoints.
	allowedFalls     = 2
	allowedFallShare = 0.1
)

// brittleCapacity is that of a brittle desk. All together can run somewhat more than the
// calls of a soak.
var brittleCapacity = fakeplatform.Brittle{Slots: 2, Queue: 1, Work: 100 * time.Millisecond, MaxRejected: 3}

// brittlePeriod is a time in which the desks are brittle.
type brittlePeriod struct {
	began time.Time

	mu    sync.Mutex
	falls int
}

// rejections holds whether the calls that an endpoint has turned away in the last second came
// from undisturbed daemons.
type rejections struct {
	mu  sync.Mutex
	all []rejection
}

type rejection struct {
	at   time.Time
	calm bool
}

func (r *rejections) add(calm bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rejection{time.Now(), calm})
}

// mostlyCalm reports whether most calls of the last second came from undisturbed daemons.
func (r *rejections) mostlyCalm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	calm, n := 0, 0
	for _, o := range r.all {
		if time.Since(o.at) < time.Second {
			n++
			if o.calm {
				calm++
			}
		}
	}
	return 2*calm > n
}

// beginBrittle makes the desks brittle for a time, unless they are.
func (s *soak) beginBrittle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.brittle); n > 0 && time.Since(s.brittle[n-1].began) < brittleTime {
		return
	}
	p := &brittlePeriod{began: time.Now()}
	s.brittle = append(s.brittle, p)
	for _, e := range s.endpoints[:desks] {
		turnedAway := new(rejections)
		capacity := brittleCapacity
		capacity.Rejected = func(r *http.Request) { turnedAway.add(s.calmTarget(nonceOf(r))) }
		b := capacity.Behaviour(func() {
			if s.restart(e) && time.Since(p.began) >= brittleSettling && turnedAway.mostlyCalm() {
				p.mu.Lock()
				p.falls++
				p.mu.Unlock()
			}
		}, e.run)
		e.brittle.Store(&b)
	}
	s.restarts.Go(func() {
		time.Sleep(brittleTime)
		for _, e := range s.endpoints[:desks] {
			e.brittle.Store(nil)
		}
	})
}

// calmTarget reports whether the daemon to which a call was sent, and the store, were
// undisturbed.
func (s *soak) calmTarget(nonce string) bool {
	s.mu.Lock()
	target := s.targets[nonce]
	s.mu.Unlock()
	return target != nil && s.calm(target)
}

// checkBrittle checks the crashes of each time in which the desks were brittle.
func (s *soak) checkBrittle() {
	for _, p := range s.brittle {
		if float64(p.falls) > allowedFalls+allowedFallShare*desks {
			s.addViolation("brittle desks crashed %d times for want of room", p.falls)
		}
	}
}

// newBrittleFault returns a fault that begins a time in which the desks are brittle.
func (s *soak) newBrittleFault() fault {
	return fault{"the desks become brittle", false, s.beginBrittle, func() {}}
}

// nonceOf returns the nonce of a call, and tailOf the end of its path.
func nonceOf(r *http.Request) string { return r.Header.Get("Fescuelatch-Attempt-Id") }

func tailOf(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }
