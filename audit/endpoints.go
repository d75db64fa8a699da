package audit

import (
	"time"

	"fescuelatch/fleet"
)

// This file defines the checks of what endpoints have received.

// checkWithdrawn looks at every attempt that engines received for a version
// after it was withdrawn.
func checkWithdrawn(x *index, f *Finding) {
	out := x.spans(EventVersionWithdrawn, EventVersionRestored)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		for k := range l.Starts {
			s := &l.Starts[k]
			if within(out[string(s.Version)], s.At) {
				f.violate("%s received attempt %s for %s at %s", l.Endpoint.ID, s.Attempt, s.Version, clock(s.At))
			}
		}
	}
}

// checkDomainOut looks at everything that the endpoints of a failure domain
// received while it was out.
func checkDomainOut(x *index, f *Finding) {
	out := x.spans(EventDomainOut, EventDomainIn)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		received(l, out[string(l.Endpoint.Domain)], f)
	}
}

// checkLeaving looks at everything that an endpoint received while it was
// leaving.
func checkLeaving(x *index, f *Finding) {
	out := x.spans(EventEndpointLeaving, EventEndpointBack)
	f.Checked = countSpans(out)
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		received(l, out[string(l.Endpoint.ID)], f)
	}
}

// received counts what an endpoint received within spans as violations.
func received(l *fleet.EndpointLog, out []span, f *Finding) {
	for _, s := range l.Starts {
		if within(out, s.At) {
			f.violate("%s received attempt %s at %s", l.Endpoint.ID, s.Attempt, clock(s.At))
		}
	}
	for _, c := range l.Executions {
		if within(out, c.At) {
			f.violate("%s received attempt %s at %s", l.Endpoint.ID, c.Attempt, clock(c.At))
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

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// checkCold compares the most that an endpoint had at once in a cold start
// with what its pool says that it bears.
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
			f.violate("%s had %d requests at once while cold and bears %d", l.Endpoint.ID, l.Counts.MaxCold, l.Pool.ColdSlots)
		}
		if l.Counts.FallOvers > 0 {
			f.violate("%s fell over %d times", l.Endpoint.ID, l.Counts.FallOvers)
		}
	}
}
