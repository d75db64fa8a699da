package daemon

import (
	"time"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines which evidence two daemons tell each other: only what
// has changed since the last exchange, because most of it has not.

// fullEvidenceInterval is the time after which all evidence is told again,
// in case that the other daemon could not use some of it.
const fullEvidenceInterval = 30 * time.Second

// exchange is what was told in one direction to, or by, another daemon. The
// zero value is nothing.
type exchange struct {
	// incarnation is that of the other daemon.
	incarnation fescuelatch.Incarnation
	// generation is that of the configuration at both daemons: evidence of
	// versions that one of them did not know is lost.
	generation fescuelatch.Generation
	// through is the newest change that was told.
	through time.Time
	// full is when all evidence was told last.
	full time.Time
}

// since returns the time from which on changes have not been told yet, or
// zero when all evidence has to be told.
func (x exchange) since(now time.Time, i fescuelatch.Incarnation, g fescuelatch.Generation) time.Time {
	if x.incarnation != i || x.generation != g || now.Sub(x.full) >= fullEvidenceInterval {
		return time.Time{}
	}
	return x.through
}

// next returns the exchange after evidence changed since a time was told.
// It is nothing when the other daemon is not the one that the choice of
// evidence was made for.
func (x exchange) next(now, since time.Time, i fescuelatch.Incarnation, g fescuelatch.Generation, told []fescuelatch.Evidence) exchange {
	n := exchange{incarnation: i, generation: g, through: since, full: x.full}
	if since.IsZero() {
		n.full = now
	} else if x.incarnation != i || x.generation != g {
		return exchange{}
	}
	for _, e := range told {
		if e.Updated.After(n.through) {
			n.through = e.Updated
		}
	}
	return n
}

// inCommonTime returns evidence with its times as all daemons tell them.
func inCommonTime(k *keyvalue.Clock, es []fescuelatch.Evidence) []fescuelatch.Evidence {
	return redated(es, k.Common)
}

// inOwnTime returns another daemon's evidence with its times as this process
// tells them.
func inOwnTime(k *keyvalue.Clock, es []fescuelatch.Evidence) []fescuelatch.Evidence {
	return redated(es, k.Own)
}

func redated(es []fescuelatch.Evidence, convert func(time.Time) time.Time) []fescuelatch.Evidence {
	converted := make([]fescuelatch.Evidence, len(es))
	for i, e := range es {
		e.Since, e.Updated = convert(e.Since), convert(e.Updated)
		converted[i] = e
	}
	return converted
}

// changedSince returns the evidence that changed after t.
func changedSince(es []fescuelatch.Evidence, t time.Time) []fescuelatch.Evidence {
	if t.IsZero() {
		return es
	}
	var changed []fescuelatch.Evidence
	for _, e := range es {
		if e.Updated.After(t) {
			changed = append(changed, e)
		}
	}
	return changed
}
