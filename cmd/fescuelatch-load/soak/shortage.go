package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines bursts of calls beyond the room of the endpoints, which differ in speed for
// good and for moments, and checks what becomes of callers that return as told.

const (
	// shortSlots are those of an endpoint, which takes as many calls to wait. deskWork is what a
	// call takes at a usual desk, and modelWork what it takes before its stream. The endpoints
	// of a service have room for about twice the calls of a soak.
	shortSlots = 4
	deskWork   = 110 * time.Millisecond
	modelWork  = 30 * time.Millisecond
	// burstCallInterval is the time between two calls of a burst.
	burstCallInterval = 8 * time.Millisecond
	minBurstTime      = time.Second
	maxBurstTime      = 4 * time.Second
	// minBurstGap and maxBurstGap bound the time between the beginnings of two bursts.
	minBurstGap = time.Second
	maxBurstGap = 6 * time.Second
	// slowMoment is the factor by which endpoints are slower for minSlowTime to maxSlowTime.
	slowMoment      = 2.5
	minSlowTime     = 200 * time.Millisecond
	maxSlowTime     = time.Second
	maxSlowInterval = 800 * time.Millisecond
	// refusedTooLong is the time after the bursts within which a caller that returns as told is
	// served.
	refusedTooLong = 10 * time.Second
	// returning is the number of callers of which one returns until it is served. The others do
	// not return.
	returning = 8
	// otherAccountKey is the number of the key of the account that sends only bursts.
	otherAccountKey = 0
)

// shortPressure has daemons reckon with demand that exceeds the capacity.
const shortPressure = "pressure"

// lastingFactors are those by which work takes longer at the endpoints of a service.
var lastingFactors = []float64{1, 1.6, 2.4}

// shortRoom is the room of an endpoint that turns calls away when it is full.
type shortRoom struct {
	work  time.Duration
	slow  atomic.Bool
	held  atomic.Int64
	slots chan struct{}
}

// newRoom returns the room of endpoint n, or nil if it is not short.
func (s *soak) newRoom(n int) *shortRoom {
	if !slices.Contains(s.Series, SeriesShortage) {
		return nil
	}
	work := deskWork
	if n >= desks {
		work = modelWork
	}
	return &shortRoom{work: time.Duration(lastingFactors[n%len(lastingFactors)] * float64(work)), slots: make(chan struct{}, shortSlots)}
}

// report states the load of the endpoint and how long work takes at the moment.
func (m *shortRoom) report(h http.Header) {
	held, percent := int(m.held.Load()), 100.0
	if m.slow.Load() {
		percent *= slowMoment
	}
	h.Set("Fescuelatch-Server-Load", fmt.Sprintf("%d,%d,%d,%.0f", min(held, shortSlots), max(0, held-shortSlots), shortSlots, percent))
}

// serve has a call wait for a slot and run, or turns it away.
func (m *shortRoom) serve(w http.ResponseWriter, r *http.Request, run fakeplatform.Behaviour) {
	held := m.held.Add(1)
	defer m.held.Add(-1)
	if held > 2*shortSlots {
		m.report(w.Header())
		fakeplatform.NotRun(w, r)
		return
	}
	select {
	case m.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-m.slots }()
	work := m.work
	if m.slow.Load() {
		work = time.Duration(slowMoment * float64(work))
	}
	time.Sleep(work)
	m.report(w.Header())
	run(w, r)
}

// burst is a time in which calls of a kind exceed the room.
type burst struct {
	kind kind
	key  int // of all calls, or -1 for the active one
}

// exceedRoom sends bursts and slows endpoints down until ctx ends.
func (s *soak) exceedRoom(ctx context.Context, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	bursts, moments := rand.New(rand.NewPCG(random.Uint64(), 1)), rand.New(rand.NewPCG(random.Uint64(), 1))
	wg.Go(func() { s.injectFaults(ctx, func() drawnFault { return s.drawBurst(ctx, bursts, &wg) }) })
	wg.Go(func() { s.injectFaults(ctx, func() drawnFault { return s.drawSlowMoment(moments) }) })
}

// drawSlowMoment draws an endpoint that is slow for a moment.
func (s *soak) drawSlowMoment(random *rand.Rand) drawnFault {
	wait := time.Duration(random.Int64N(int64(maxSlowInterval)))
	duration := minSlowTime + time.Duration(random.Int64N(int64(maxSlowTime-minSlowTime)))
	e := s.endpoints[random.IntN(len(s.endpoints))]
	return drawnFault{fault{e.ID + " is slower", false, func() { e.room.slow.Store(true) }, func() { e.room.slow.Store(false) }}, wait, duration}
}

// drawBurst draws a burst. Half of them come from the account that sends nothing else.
func (s *soak) drawBurst(ctx context.Context, random *rand.Rand, wg *sync.WaitGroup) drawnFault {
	duration := minBurstTime + time.Duration(random.Int64N(int64(maxBurstTime-minBurstTime)))
	wait := minBurstGap + time.Duration(random.Int64N(int64(maxBurstGap-minBurstGap)))
	ks := kinds()
	b := burst{ks[random.IntN(len(ks))], -1}
	if random.IntN(2) == 0 {
		b.key = otherAccountKey
	}
	seed := random.Uint64()
	ctx, cancel := context.WithCancel(ctx)
	return drawnFault{s.bursts.during(fault{fmt.Sprintf("a burst of %s calls, key %d", b.kind.name, b.key), false, func() {
		wg.Go(func() { s.sendBurst(ctx, b, rand.New(rand.NewPCG(seed, 1)), wg) })
	}, cancel}), wait, duration}
}

// sendBurst sends the calls of a burst until ctx ends.
func (s *soak) sendBurst(ctx context.Context, b burst, random *rand.Rand, wg *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(burstCallInterval)
		d, returns := s.daemons[random.IntN(len(s.daemons))], random.IntN(returning) == 0
		if !d.open() {
			continue
		}
		nonce := fmt.Sprintf("%d-burst-%x-%d", s.Seed, random.Uint32(), n)
		to := rand.New(rand.NewPCG(random.Uint64(), 1))
		wg.Go(func() { s.sendOfBurst(b, nonce, d, returns, to) })
	}
}

// sendOfBurst sends a call of a burst and, if its caller returns, again after each refusal.
func (s *soak) sendOfBurst(b burst, nonce string, d *daemon, returns bool, random *rand.Rand) {
	var refused time.Time
	for n := 0; ; n++ {
		c := &call{kind: b.kind, nonce: fmt.Sprintf("%s-%d", nonce, n), target: d, key: b.key}
		if c.streamed {
			c.prompt = "burst:40," + c.nonce + ":5"
		}
		s.mu.Lock()
		if c.key < 0 {
			c.key = s.key
		}
		s.targets[c.nonce] = d
		s.mu.Unlock()
		c.send(context.Background(), s.client)
		s.checkCall(c)
		if !returns || !fakeplatform.IsNotRunStatus(c.status) {
			return
		}
		s.count("returns after a refusal")
		if refused.IsZero() {
			refused = time.Now()
		}
		if long := time.Now().Add(-refusedTooLong); refused.Before(long) && s.bursts.noneSince(long) {
			s.addViolation("%s: refused %d times in %v, the last %v without a burst", c, n+1, time.Since(refused), refusedTooLong)
			return
		}
		time.Sleep(max(c.after, minReturn))
		if o := s.daemons[random.IntN(len(s.daemons))]; o.open() {
			d = o
		}
	}
}

// minReturn is the shortest time after which a caller returns.
const minReturn = 50 * time.Millisecond
