package direct

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/endpoint"
	"fescuelatch/rollout"
	"fescuelatch/sse"
)

// This file defines which answers and events continue a stream of which the caller has
// received a part.

// errForeignEvent means that an event does not belong to the stream that it should continue.
var errForeignEvent = errors.New("the event does not continue the caller's stream")

// isStream reports whether an answer is a stream of events.
func isStream(a *endpoint.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status < http.StatusMultipleChoices
}

// continuable reports whether a further answer can continue what the caller has received.
func (r received) continuable() bool { return !r.started || r.stream && !r.unplaced }

// continues reports whether a further answer continues the one whose head the caller has
// received.
func (r received) continues(a *endpoint.Answer) bool {
	return r.continuable() && isStream(a) && a.Status == r.status
}

// continuesAt reports whether an event of a further attempt belongs to the stream: its place
// shows only from identifiers of the same kind. Any stream may start again while the caller
// has received no data.
func (r received) continuesAt(e sse.Event) bool {
	switch {
	case r.lastEvent == "":
		return true
	case e.ID == "":
		return !e.Data
	}
	return isNumber(e.ID) == isNumber(r.lastEvent)
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// failContinuation sets the result of an attempt whose answer does not continue the caller's
// stream. None of it is relayed.
func (t *attempt) failContinuation(a *endpoint.Answer, r *fescuelatch.AttemptResult, headers fescuelatch.AnswerHeaders) {
	t.observe(rollout.OutcomeFailed, t.decided, 0)
	r.Status = fescuelatch.AttemptFailed
	r.RetryAfter = retryAfter(a.Status, headers)
	t.failure = errors.Errorf("the answer of status %d and type %.40q does not continue the caller's stream", a.Status, a.Header.Get("Content-Type"))
}
