package load

import (
	"strings"
	"time"

	"fescuelatch"
)

// This file defines records, which hold the results of calls.

// Record is a call and its result as seen by the caller.
type Record struct {
	Call
	// Target is the caller address that accepted the connection.
	Target string    `json:"target,omitempty"`
	Sent   time.Time `json:"sent"`
	Ended  time.Time `json:"ended"`
	// Status is the HTTP status; zero means that no response arrived.
	Status    int                   `json:"status"`
	Outcome   fescuelatch.Outcome   `json:"outcome,omitempty"`
	RequestID fescuelatch.RequestID `json:"request-id,omitempty"`
	Version   fescuelatch.VersionID `json:"version,omitempty"`
	// SessionSent is the session header of the request.
	SessionSent string `json:"session-sent,omitempty"`
	// Code is the code of the error object. Message is the text of that
	// object or the caller's own error.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// RetryAfter is the retry delay that a refusal suggests.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	First      time.Duration `json:"first-token,omitempty"`
	Total      time.Duration `json:"total"`
	// Complete reports whether the answer claims to be complete. If so,
	// Fault says what is wrong with it.
	Complete bool        `json:"complete"`
	Fault    AnswerFault `json:"fault,omitempty"`
	Answer   string      `json:"-"`
	// LowQuality reports whether the answer carries the stand-in's low-quality marker.
	LowQuality bool `json:"bad,omitempty"`
}

// AnswerFault is what is wrong with an answer that claims to be complete.
type AnswerFault string

// Faults of answers.
const (
	FaultNone AnswerFault = ""
	// FaultForeign means that the answer belongs to another request.
	FaultForeign AnswerFault = "foreign"
	// FaultPartial means that a part of the answer is missing.
	FaultPartial AnswerFault = "partial"
	// FaultSurplus means that the answer is longer than requested.
	FaultSurplus AnswerFault = "surplus"
)

// Prefixes of the first and last word of the stand-in's answers.
const (
	nonceWord = "nonce:"
	endWord   = "end:"
)

// badMarker is the word by which a stand-in marks an answer of low quality.
const badMarker = "marker:bad"

// setAnswer stores the text of an answer and checks it if it is complete.
func (r *Record) setAnswer(text string) {
	r.Answer = text
	r.LowQuality = strings.Contains(text, badMarker)
	if r.Complete {
		r.Fault = CheckAnswer(text, r.Nonce, r.Tokens)
	}
}

// CheckAnswer returns the fault of text, a model's answer to the request with
// the given nonce and number of tokens.
func CheckAnswer(text, nonce string, tokens int) AnswerFault {
	ws := strings.Fields(text)
	for _, w := range ws {
		if isForeignMarker(w, nonceWord, nonce) || isForeignMarker(w, endWord, nonce) {
			return FaultForeign
		}
	}
	want := tokens + 2 // plus the nonce and end markers
	switch {
	case len(ws) < want || ws[0] != nonceWord+nonce:
		return FaultPartial
	case len(ws) > want:
		return FaultSurplus
	case ws[len(ws)-1] != endWord+nonce:
		return FaultPartial
	}
	return FaultNone
}

// isForeignMarker reports whether w is a marker of another request.
func isForeignMarker(w, prefix, nonce string) bool {
	s, ok := strings.CutPrefix(w, prefix)
	return ok && s != nonce
}
