// Package stall records when this process does not run, because it is stopped or gets no
// processor time. What others send meanwhile it cannot see. A time that it measures, or a timeout
// of its own, says something about them only as far as it ran.
package stall

import (
	"context"
	"sync"
	"time"

	"fescuelatch/internal/pause"
)

const (
	// interval is the time between two checks, which also bounds the error of a recorded
	// stall.
	interval = 20 * time.Millisecond
	// minStall is how late a check must be to count as a stall.
	minStall = 10 * time.Millisecond
	// maxStalls bounds the recorded stalls. A process with a part of a core has one in each
	// scheduling period of a tenth of a second.
	maxStalls = 1024
)

// Log records the stalls of this process. Its zero value and nil have none. It is safe for
// concurrent use.
type Log struct {
	mu     sync.Mutex
	stalls []period // in order of time
	// due is when the next check is due, or zero while there are none.
	due time.Time
}

type period struct{ from, to time.Time }

func (p period) length() time.Duration { return p.to.Sub(p.from) }

// overlap returns the time that two periods have in common.
func (p period) overlap(o period) time.Duration {
	from, to := p.from, p.to
	if o.from.After(from) {
		from = o.from
	}
	if o.to.Before(to) {
		to = o.to
	}
	return max(0, to.Sub(from))
}

// Watch records stalls until ctx ends.
func (l *Log) Watch(ctx context.Context) {
	l.check(time.Now())
	for pause.For(ctx, interval) {
		l.check(time.Now())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = time.Time{}
}

func (l *Log) check(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.overdueLocked(now); ok {
		l.addLocked(p)
	}
	l.due = now.Add(interval)
}

// overdueLocked returns the stall that the lack of a check shows, if there is one. Others
// may run again before the check does.
func (l *Log) overdueLocked(now time.Time) (period, bool) {
	return period{l.due, now}, !l.due.IsZero() && now.Sub(l.due) >= minStall
}

// Add records a stall that follows all others.
func (l *Log) Add(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(period{from, to})
}

func (l *Log) addLocked(p period) {
	if len(l.stalls) == maxStalls {
		l.stalls = append(l.stalls[:0], l.stalls[maxStalls/2:]...)
	}
	l.stalls = append(l.stalls, p)
}

// Ran returns for how long the process ran between two times. Stalls shorter than least
// count as if it ran: it sees between them what others send.
func (l *Log) Ran(from, to time.Time, least time.Duration) time.Duration {
	ran := to.Sub(from)
	if l == nil || ran <= 0 {
		return ran
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	all := period{from, to}
	if p, ok := l.overdueLocked(to); ok && p.length() >= least {
		ran -= p.overlap(all)
	}
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].to.After(from); i-- {
		if p := l.stalls[i]; p.length() >= least {
			ran -= p.overlap(all)
		}
	}
	return max(0, ran)
}

// WithTimeout returns a context that ends when the process has run for d, with
// context.DeadlineExceeded as its cause.
func (l *Log) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	began := time.Now()
	go func() {
		defer cancel(context.DeadlineExceeded)
		for left := d; left > 0 && pause.For(ctx, left); {
			left = d - l.Ran(began, time.Now(), 0)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
