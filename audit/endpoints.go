package audit

import (
	"time"

	"fescuelatch/fleet"
)

// This file defines the checks of the work that endpoints received.

// checkWithdrawn reports attempts that engines received for a version while
// it was withdrawn.
func checkWithdrawn(x *index, f *Finding) {
	out := x.spans(EventVersionWithdrawn, EventVersionRestored)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		for k := range l.Starts {
			s := &l.Starts[k]
			if anyContains(out[string(s.Version)], s.At) {
				f.violate("%s received attempt %s for %s at %s", l.Endpoint.ID, s.Attempt, s.Version, formatTime(s.At))
			}
		}
	}
}

// checkDomainOut reports work that the endpoints of a failure domain received
// while it was out.
func checkDomainOut(x *index, f *Finding) {
	out := x.spans(EventDomainOut, EventDomainIn)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		countReceived(l, out[string(l.Endpoint.Domain)], f)
	}
}

// checkLeaving reports work that an endpoint received while it was leaving.
func checkLeaving(x *index, f *Finding) {
	out := x.spans(EventEndpointLeaving, EventEndpointReturned)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		countReceived(l, out[string(l.Endpoint.ID)], f)
	}
}

// countReceived reports work that an endpoint received within the spans.
func countReceived(l *fleet.EndpointLog, out []span, f *Finding) {
	for _, s := range l.Starts {
		if anyContains(out, s.At) {
			f.violate("%s received attempt %s at %s", l.Endpoint.ID, s.Attempt, formatTime(s.At))
		}
	}
	for _, c := range l.Executions {
		if anyContains(out, c.At) {
			f.violate("%s received attempt %s at %s", l.Endpoint.ID, c.Attempt, formatTime(c.At))
		}
	}
}

func countSpans(m map[string][]span) int {
	var n int
	for _, ss := range m {
		n += len(ss)
	}
	return n
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }

// checkCold compares the highest concurrency of an endpoint in a cold start
// with the cold slots of its pool.
func checkCold(x *index, f *Finding) {
	cold := make(map[string]bool)
	for _, v := range x.Events {
		if v.Kind == EventEndpointCold {
			cold[v.Name] = true
		}
	}
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		if cold[string(l.Endpoint.ID)] || l.Counts.MaxCold > 0 {
			f.Checked++
		}
		if l.Counts.MaxCold > l.Pool.ColdSlots {
			f.violate("%s had %d concurrent requests while cold, with %d cold slots", l.Endpoint.ID, l.Counts.MaxCold, l.Pool.ColdSlots)
		}
		if l.Counts.OverloadFailures > 0 {
			f.violate("%s failed from overload %d times", l.Endpoint.ID, l.Counts.OverloadFailures)
		}
	}
}
