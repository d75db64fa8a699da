package load

import (
	"strings"
	"time"

	"fescuelatch"
)

// This file defines records: what became of a call.

// Record is a call and what its caller saw.
type Record struct {
	Call
	// Target is the caller address that took the connection.
	Target string    `json:"target,omitempty"`
	Sent   time.Time `json:"sent"`
	Ended  time.Time `json:"ended"`
	// Status is the HTTP status; zero means that no answer began.
	Status    int                   `json:"status"`
	Outcome   fescuelatch.Outcome   `json:"outcome,omitempty"`
	RequestID fescuelatch.RequestID `json:"request-id,omitempty"`
	Version   fescuelatch.VersionID `json:"version,omitempty"`
	// SessionSent is the session header of the request.
	SessionSent string `json:"session-sent,omitempty"`
	// Code is that of the error object, and Message its text or the
	// caller's own error.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// RetryAfter is the advice of a refusal.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	First      time.Duration `json:"first-token,omitempty"`
	Total      time.Duration `json:"total"`
	// Complete reports that the answer claimed to be complete, and Fault
	// what was wrong with it then.
	Complete bool        `json:"complete"`
	Fault    AnswerFault `json:"fault,omitempty"`
	Answer   string      `json:"-"`
	// Bad reports that the answer has the stand-in's mark of a bad one.
	Bad bool `json:"bad,omitempty"`
}

// AnswerFault is what is wrong with an answer that claims to be complete.
type AnswerFault string

// Faults of answers.
const (
	FaultNone AnswerFault = ""
	// FaultForeign means that the answer belongs to another request.
	FaultForeign AnswerFault = "foreign"
	// FaultPartial means that a part is missing.
	FaultPartial AnswerFault = "partial"
	// FaultSurplus means that there is more than one answer.
	FaultSurplus AnswerFault = "surplus"
)

// Prefixes of the first and last word of the stand-in's answers.
const (
	nonceWord = "nonce:"
	endWord   = "end:"
)

// badMark is the word that a stand-in puts into an answer of low quality.
const badMark = "marker:bad"

// judge takes in a whole answer.
func (r *Record) judge(text string) {
	r.Answer = text
	r.Bad = strings.Contains(text, badMark)
	if r.Complete {
		r.Fault = CheckAnswer(text, r.Nonce, r.Tokens)
	}
}

// CheckAnswer reports what is wrong with the text of a model's answer to the
// request with a nonce, which asked for a number of tokens.
func CheckAnswer(text, nonce string, tokens int) AnswerFault {
	ws := strings.Fields(text)
	for _, w := range ws {
		if foreign(w, nonceWord, nonce) || foreign(w, endWord, nonce) {
			return FaultForeign
		}
	}
	want := tokens + 2 // the nonce and the end
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

// foreign reports whether w is a marker of another request.
func foreign(w, prefix, nonce string) bool {
	s, ok := strings.CutPrefix(w, prefix)
	return ok && s != nonce
}
