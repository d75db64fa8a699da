package direct

import (
	"fescuelatch"
	"fescuelatch/endpoint"
)

// This file defines how a daemon tells from a broken attempt that its endpoint has
// crashed.

// answerProgress is how much of an answer has arrived.
type answerProgress struct {
	begun  bool // its head has arrived
	events int
}

// examineBreak completes the result of a broken attempt by what a new connection to the
// endpoint shows. If it is accepted, the answer was lost but the endpoint still runs. If
// it is refused right after the old one was closed, the endpoint's process has ended.
func (t *attempt) examineBreak(r *fescuelatch.AttemptResult, err error) {
	d := t.request.daemon
	to, ok := d.active.Load().addresses[t.start.Endpoint]
	var probe error
	if ok {
		if probe = d.endpoints.Probe(t.ctx, to); probe == nil {
			return
		}
	}
	r.EndpointGone, r.Unreachable = true, true
	if endpoint.KindOf(err) == endpoint.KindBroken && endpoint.Refused(probe) {
		d.metrics.countCrash(t.progress.begun)
		t.request.warn("endpoint has crashed during an attempt", "attempt", t.start.Attempt, "endpoint", t.start.Endpoint,
			"begun", t.progress.begun, "events", t.progress.events, "parts", partIDs(t.request.details.Parts), "error", err.Error())
	}
}

func partIDs(parts []fescuelatch.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}
