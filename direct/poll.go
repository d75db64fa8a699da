package direct

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines a poll, by which a daemon brings its known state up to date. It asks the
// source. Once the state is overdue, or without a source, it asks the store, and on a new
// connection again while that does not answer: the call may be on a connection that never
// answers, and the source may have failed as well. The first answer that can be used ends the
// poll. So the age of the state bounds every wait, and timeouts do not add up.

const (
	// defaultApplyTime is the time from the acknowledgement of a change by the store within
	// which it must be in force.
	defaultApplyTime = 2 * time.Second
	// overdueShare is the share of this time after which the state of a reader is overdue.
	// Each hop to the readers adds overdueShareOfHop, up to maxOverdueShare: the rest is
	// for the store to answer.
	overdueShare      = 0.6
	overdueShareOfHop = 0.125
	maxOverdueShare   = 0.85
	// sourceMargin is the time before the state is overdue by which a source should answer.
	sourceMargin = 200 * time.Millisecond
	// storeRetry is how long the store may take to begin its answer until it is asked again;
	// the time doubles with each call, up to maxStoreRetry. Reading everything may take
	// scanRetry, as many daemons may do so at once.
	storeRetry    = 500 * time.Millisecond
	maxStoreRetry = time.Second
	scanRetry     = 1200 * time.Millisecond
	// receivingWindow is how long after a part of an answer more of it is expected.
	receivingWindow = 500 * time.Millisecond
	// sourceCheck is the interval at which a poll without a source looks for one.
	sourceCheck = 500 * time.Millisecond
	// maxStorePause bounds how long the store may ask not to be called: the known state is
	// overdue meanwhile.
	maxStorePause = time.Second
)

// poll is one poll. Only the loop that follows the store uses it.
type poll struct {
	daemon *Daemon
	// scan reports that everything must be read from the store.
	scan    bool
	answers chan pollAnswer
	// pending is the number of calls in progress, of which storeCalls are to the store.
	pending, storeCalls int
	// source is being asked since sourceAsked, and may wait for changes for sourceWait.
	source      *source
	sourceAsked time.Time
	sourceWait  time.Duration
	// storeAt is when the store is asked next. backoff is the wait after its next failure,
	// and retry that after its next call.
	storeAt        time.Time
	backoff, retry time.Duration
	// storeFailed reports that a call to the store has failed.
	storeFailed bool
	// lastData is when a part of an answer of the store last arrived.
	lastData atomic.Pointer[time.Time]
}

// pollAnswer is the result of a call.
type pollAnswer struct {
	source  *source // nil if the store was asked
	reply   *ChangesReply
	changes fescuelatch.Changes
	scan    bool
	err     error
}

func newPoll(d *Daemon, scan bool) *poll {
	return &poll{daemon: d, scan: scan, answers: make(chan pollAnswer), backoff: minBackoff, retry: storeRetry}
}

// run polls until the known state is up to date, and returns how long to wait for the next
// poll.
func (p *poll) run(ctx context.Context) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer p.finish(cancel)
	p.storeAt = time.Now()
	if p.askSource(ctx) {
		p.storeAt = p.overdueAt(p.storeAt)
	}
	for {
		wake := time.NewTimer(p.untilNext())
		select {
		case a := <-p.answers:
			wake.Stop()
			p.pending--
			if wait, done := p.take(a); done {
				return wait
			}
		case <-wake.C:
			p.askSource(ctx)
			p.askStore(ctx)
		case <-ctx.Done():
			wake.Stop()
			return 0
		}
	}
}

// finish ends the calls in progress. A source that should have answered by now is not relied on
// for a while.
func (p *poll) finish(cancel context.CancelFunc) {
	cancel()
	for ; p.pending > 0; p.pending-- {
		<-p.answers
	}
	if p.source == nil {
		return
	}
	now := time.Now()
	if late := p.daemon.stalls.Ran(p.sourceAsked, now, 0) - p.sourceWait; late > sourceMargin && !p.receivingSource(now) {
		p.failSource(now, errors.Errorf("the store has answered, and the source is late by %s", late.Round(time.Millisecond)))
	}
}

// overdueAt returns when the known state is overdue.
func (p *poll) overdueAt(now time.Time) time.Time {
	d := p.daemon
	d.mu.Lock()
	apply := cmp.Or(d.bounds.ApplyTime, defaultApplyTime)
	d.mu.Unlock()
	share := overdueShare
	if p.source != nil {
		share = min(share+overdueShareOfHop*float64(p.source.hops+1), maxOverdueShare)
	}
	return now.Add(time.Duration(share*float64(apply)) - d.store.age(now))
}

// untilNext returns the time until something is to be asked.
func (p *poll) untilNext() time.Duration {
	next := time.Until(p.storeAt)
	if p.source == nil {
		next = min(next, sourceCheck)
	}
	return max(next, 0)
}

func (p *poll) ask(call func() pollAnswer) {
	p.pending++
	go func() { p.answers <- call() }()
}

// askSource asks a source, if there is one and none is being asked. It reports whether one is.
func (p *poll) askSource(ctx context.Context) bool {
	if p.source != nil || p.scan {
		return p.source != nil
	}
	now := time.Now()
	s := p.daemon.chooseSource(now)
	if s == nil {
		return false
	}
	p.source, p.sourceAsked = s, now
	wait := min(max(p.overdueAt(now).Sub(now)-sourceMargin, 0), watchTimeout)
	p.sourceWait = wait
	p.ask(func() pollAnswer {
		reply, err := p.daemon.askSource(ctx, s, wait)
		return pollAnswer{source: s, reply: reply, err: err}
	})
	return true
}

// receivingSource reports whether an answer of the source is arriving.
func (p *poll) receivingSource(now time.Time) bool {
	if p.source == nil {
		return false
	}
	at := p.source.lastData.Load()
	return at != nil && at.After(p.sourceAsked) && now.Sub(*at) < receivingWindow
}

// receivingStore reports whether an answer of the store is arriving.
func (p *poll) receivingStore(now time.Time) bool {
	at := p.lastData.Load()
	return p.storeCalls > 0 && at != nil && now.Sub(*at) < receivingWindow
}

// askStore asks the store if that is due. While its answer is arriving, another call would only
// delay that. An answer of the source may arrive slowly while the store is fast.
func (p *poll) askStore(ctx context.Context) {
	now := time.Now()
	if now.Before(p.storeAt) {
		return
	}
	if p.receivingStore(now) {
		p.storeAt = now.Add(receivingWindow)
		return
	}
	d := p.daemon
	wait := time.Duration(0)
	if p.storeCalls == 0 && now.Before(p.overdueAt(now)) {
		wait = watchTimeout
	}
	if p.storeCalls > 0 {
		d.log.Info("store does not answer; asking it on another connection", "calls", p.storeCalls, "store-age", d.store.age(now).Round(time.Millisecond).String())
		d.options.Store.Reconnect()
	}
	retry := p.retry
	if p.scan {
		retry = scanRetry
	}
	p.storeAt = now.Add(wait + retry + rand.N(followJitter))
	p.retry = min(2*p.retry, maxStoreRetry)
	p.storeCalls++
	scan := p.scan
	ctx = keyvalue.WithProgress(ctx, func() {
		now := time.Now()
		p.lastData.Store(&now)
		d.store.recordData(now)
	})
	p.ask(func() pollAnswer {
		c, err := d.askStore(ctx, scan, wait)
		return pollAnswer{changes: c, scan: scan, err: err}
	})
}

// take merges an answer, and reports whether it ends the poll and how long to wait for the
// next one.
func (p *poll) take(a pollAnswer) (time.Duration, bool) {
	now := time.Now()
	if a.source != nil {
		return p.takeReply(now, a)
	}
	d := p.daemon
	p.storeCalls--
	err := a.err
	if err == nil {
		err = d.applyChanges(now, a.changes, a.scan)
	}
	switch {
	case err == nil:
		return followInterval + rand.N(followJitter), true
	case errors.Is(err, fescuelatch.ErrCompacted), errors.Is(err, fescuelatch.ErrExcessive):
		if !p.scan {
			d.log.Info("history of the store is gone, or not worth reading; reading everything again", "error", err.Error())
		}
		p.scan, p.storeAt = true, now
	default:
		d.handleStoreFailure(err)
		p.storeFailed = true
		if p.storeCalls == 0 {
			p.storeAt = now.Add(max(p.backoff+rand.N(p.backoff), min(keyvalue.RetryAfter(err), maxStorePause)))
			p.backoff = min(2*p.backoff, maxBackoff)
		}
	}
	return 0, false
}

func (p *poll) takeReply(now time.Time, a pollAnswer) (time.Duration, bool) {
	err := a.err
	if err == nil {
		err = p.daemon.applyReply(now, a.source, a.reply)
	}
	if err == nil {
		p.source = nil
		return sourceInterval + rand.N(followJitter), true
	}
	p.failSource(now, err)
	if p.storeCalls == 0 && !p.storeFailed {
		p.storeAt = now
	}
	return 0, false
}

// failSource records that the source has failed.
func (p *poll) failSource(now time.Time, err error) {
	p.daemon.log.Info("source is not relied on for a while", "source", p.source.vm, "error", err.Error())
	p.daemon.sources.failCurrent(now)
	p.source = nil
}
