package soak

import (
	"syscall"
	"time"
)

// This file defines how daemons are paused.

// pausedTime is a time in which a daemon was paused. It is under way while until is zero.
type pausedTime struct{ from, until time.Time }

// pause pauses the process, and reports whether it runs. A pulse does not pause a process
// that was told to stop, and only its paused time counts as a disruption.
func (d *daemon) pause(pulse bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || !d.process.Running() || pulse && d.stopping {
		return false
	}
	now := time.Now()
	if !pulse {
		d.disruptions = append(d.disruptions, now)
	}
	if n := len(d.pauses); n == 0 || !d.pauses[n-1].until.IsZero() {
		d.pauses = append(d.pauses, pausedTime{from: now})
	}
	// The process may have just ended; it needs no signal then.
	_ = d.process.Signal(syscall.SIGSTOP)
	return true
}

// resume resumes the process.
func (d *daemon) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		// The process may have just ended; it needs no signal then.
		_ = d.process.Signal(syscall.SIGCONT)
	}
	if n := len(d.pauses); n > 0 && d.pauses[n-1].until.IsZero() {
		d.pauses[n-1].until = time.Now()
	}
}

// disrupt records a disruption.
func (d *daemon) disrupt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disruptions = append(d.disruptions, time.Now())
}

// pausedBetween returns for how long the daemon was paused in a time.
func (d *daemon) pausedBetween(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total time.Duration
	for _, p := range d.pauses {
		begin, end := p.from, p.until
		if end.IsZero() || end.After(to) {
			end = to
		}
		if begin.Before(from) {
			begin = from
		}
		total += max(0, end.Sub(begin))
	}
	return total
}
