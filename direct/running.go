package direct

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/crash"
	"fescuelatch/endpoint"
)

// This file defines how a daemon notices that an endpoint has ended while the connection of
// an attempt stays open.

// runningAttempts holds the attempts that endpoint processes are running. It is not safe for
// concurrent use.
type runningAttempts map[fescuelatch.EndpointProcess]*processAttempts

// processAttempts holds the attempts that one process is running.
type processAttempts struct {
	key      string // in reports on crashes
	attempts map[*attempt]bool
	// asked holds the signs for which the process was asked if it still runs.
	asked endSigns
	// refused reports that the process has refused a connection. It is not asked again.
	refused bool
}

// endSigns is what suggests that a process has ended.
type endSigns struct{ unregistered, reported bool }

// exceeds reports whether s has a sign that o lacks.
func (s endSigns) exceeds(o endSigns) bool {
	return s.unregistered && !o.unregistered || s.reported && !o.reported
}

func (r runningAttempts) add(t *attempt) {
	at := r[t.process]
	if at == nil {
		at = &processAttempts{key: crash.ProcessKey(t.process), attempts: make(map[*attempt]bool)}
		r[t.process] = at
	}
	at.attempts[t] = true
}

func (r runningAttempts) remove(t *attempt) {
	at := r[t.process]
	if at == nil {
		return
	}
	if delete(at.attempts, t); len(at.attempts) == 0 {
		delete(r, t.process)
	}
}

// suspiciousProcessesLocked returns the processes with attempts that may have ended: they are
// no longer registered, or daemons have seen them end. Each is returned once for each such sign,
// and again when the sign returns: a process that still ran may end later.
func (d *Daemon) suspiciousProcessesLocked(now time.Time) []fescuelatch.EndpointProcess {
	var processes []fescuelatch.EndpointProcess
	ended := d.crashes.EndedLately(now)
	for p, at := range d.running {
		if at.refused {
			continue
		}
		registered, ok := d.storeView.registeredProcess(p.Endpoint)
		signs := endSigns{unregistered: !ok || registered != p, reported: ended[at.key]}
		if signs.exceeds(at.asked) {
			processes = append(processes, p)
		}
		at.asked = signs
	}
	return processes
}

// checkProcess examines the attempts at a process that refuses connections.
func (d *Daemon) checkProcess(ctx context.Context, p fescuelatch.EndpointProcess) {
	if !endpoint.Refused(d.endpoints.Runs(ctx, p.Address)) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processRefusesLocked(time.Now(), p)
}

// processRefusesLocked reports the requests that a process was running when it began to refuse
// connections, and from which nothing has come since. The attempts go on: a process that stops
// gracefully may still answer them, which clears their requests.
func (d *Daemon) processRefusesLocked(now time.Time, p fescuelatch.EndpointProcess) {
	at := d.running[p]
	if at == nil {
		return
	}
	at.refused = true
	for t := range at.attempts {
		if t.reported {
			continue
		}
		q := d.suspectLocked(now, t, true)
		if q == nil {
			continue
		}
		t.reported = true
		t.request.warn("endpoint refuses connections during an attempt", "attempt", t.start.Attempt, "endpoint", p.Endpoint, "fingerprint", q.Fingerprint)
		d.crashes.Crashed(now, p, q, false)
	}
	d.applyBlocksLocked(now)
}
