package direct

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/endpoint"
)

// This file defines what an attempt does while its endpoint is unresponsive. The core may
// make another attempt beside it, a hedge, which replaces it once its endpoint answers.

// errReplaced means that a hedge of the attempt has answered first.
var errReplaced = errors.New("another attempt has answered first")

// unresponsive reports to the core that the endpoint is unresponsive. The attempt goes on.
func (t *attempt) unresponsive() {
	from := t.received()
	if !from.continuable() {
		return
	}
	d := t.request.daemon
	id := t.request.details.ID
	d.mu.Lock()
	may := d.core.MayHedge(time.Now(), id, t.start.Attempt)
	d.mu.Unlock()
	r := fescuelatch.AttemptResult{Attempt: t.start.Attempt, Endpoint: t.start.Endpoint, Version: t.start.Version}
	switch {
	case !may:
		t.request.log("endpoint is silent, but no other one may go on", "attempt", t.start.Attempt, "endpoint", t.start.Endpoint)
	case t.delegate == "":
		t.examineBreak(&r, &endpoint.Error{Op: "read answer", Kind: endpoint.KindInactive})
	}
	t.request.hedgeFrom.Store(&from)
	t.contested = true
	d.decide(decision.Unresponsive{Request: id, Result: r})
}

// resume reports whether the attempt may pass on what it has just received: after it was
// unresponsive, only if no hedge has answered meanwhile.
func (t *attempt) resume() bool {
	if !t.contested {
		return true
	}
	t.contested = false
	d := t.request.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.core.IsCurrent(t.request.details.ID, t.start.Attempt) {
		return false
	}
	d.decideLocked(time.Now(), decision.Resumed{Request: t.request.details.ID, Attempt: t.start.Attempt})
	return true
}

// received returns what the caller has received, as far as the attempt may continue it.
func (t *attempt) received() received {
	if t.relays {
		return t.request.output.received
	}
	return t.from
}
