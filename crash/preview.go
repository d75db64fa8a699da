package crash

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines what a ledger tells of a request without an effect.

var _ fescuelatch.CrashGuard = Preview{}

// Preview decides like a ledger, and does not count what it refuses.
type Preview struct{ ledger *Ledger }

// Preview returns a preview of l, which may only be used while l is not.
func (l *Ledger) Preview() Preview { return Preview{l} }

// Blocked implements fescuelatch.CrashGuard.
func (p Preview) Blocked(now time.Time, q *fescuelatch.Request) (time.Duration, bool) {
	return waitFor(now, q, p.ledger.blocksOf(now, q))
}

// MayRepeat implements fescuelatch.CrashGuard.
func (p Preview) MayRepeat(now time.Time, q *fescuelatch.Request) bool {
	return p.ledger.MayRepeat(now, q)
}

// Refusal is a trait of a request for which it is blocked.
type Refusal struct {
	// Part or Fingerprint is set.
	Part        string `json:"part,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	// Doubtful reports that others may be the cause, and With the traits without which a
	// request with the trait is not refused.
	Doubtful bool     `json:"doubtful,omitempty"`
	With     []string `json:"with,omitempty"`
	// Trial is the time until one request with the trait may be tried again, by one daemon.
	Trial time.Duration `json:"trial-in-ns"`
}

// Refusals returns the traits for which a request is blocked, in order.
func (p Preview) Refusals(now time.Time, q *fescuelatch.Request) []Refusal {
	var all []Refusal
	for trait, b := range p.ledger.blocksOf(now, q) {
		if !b.refuses(q) {
			continue
		}
		r := Refusal{Part: trait, Doubtful: b.doubtful, With: slices.Clone(b.with), Trial: max(0, b.trialAt.Sub(now))}
		if isRequest(trait) {
			r.Part, r.Fingerprint = "", trait[len(requestPrefix):]
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}
