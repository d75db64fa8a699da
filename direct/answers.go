package direct

import (
	"net/http"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines which answers show that their request does not crash endpoints.

const (
	// answerLifetime is how long an answer tells of the health of its endpoint.
	answerLifetime = 30 * time.Second
	// maxAnswered bounds the endpoint processes whose answers are remembered.
	maxAnswered = 4096
)

// finalAnswer is an answer of an endpoint process.
type finalAnswer struct {
	fingerprint string
	succeeded   bool
	at          time.Time
}

// answerHistory holds the last answers of endpoint processes to two requests each. It is not
// safe for concurrent use.
type answerHistory struct {
	last *simplelru.LRU[fescuelatch.EndpointProcess, [2]finalAnswer]
}

func newAnswerHistory() answerHistory {
	// The size is a positive constant, which is all that is checked.
	last, _ := simplelru.NewLRU[fescuelatch.EndpointProcess, [2]finalAnswer](maxAnswered, nil)
	return answerHistory{last}
}

// add records an answer, and reports whether it shows that its request is sound. One that
// blames the caller does only if the endpoint has answered another request with success
// just before: a faulty endpoint may answer everything so without running it.
func (h answerHistory) add(p fescuelatch.EndpointProcess, status int, fingerprint string, now time.Time) bool {
	if impliesNotRun(status) {
		return false
	}
	answers, _ := h.last.Get(p)
	if answers[0].fingerprint != fingerprint {
		answers[1] = answers[0]
	}
	other := answers[1]
	answers[0] = finalAnswer{fingerprint, status < http.StatusBadRequest, now}
	h.last.Add(p, answers)
	switch {
	case status < http.StatusBadRequest:
		return true
	case status < http.StatusInternalServerError:
		return other.succeeded && now.Sub(other.at) < answerLifetime
	}
	return false
}
