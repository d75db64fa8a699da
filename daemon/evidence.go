package daemon

import (
	"time"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines which evidence two daemons send each other: only what has
// changed since the last exchange, because most of it has not.

// fullEvidenceInterval is the interval at which all evidence is sent again, in
// case the other daemon could not use some of it.
const fullEvidenceInterval = 30 * time.Second

// evidenceCursor tracks the evidence sent to, or received from, another daemon.
// The zero value means that none was exchanged.
type evidenceCursor struct {
	// incarnation is that of the other daemon.
	incarnation fescuelatch.Incarnation
	// generation is the configuration generation of both daemons: evidence of
	// versions that one of them did not have is lost.
	generation fescuelatch.Generation
	// through is the time of the newest change exchanged.
	through time.Time
	// full is when all evidence was last exchanged.
	full time.Time
}

// since returns the time after which changes have not been exchanged yet, or
// zero if all evidence must be sent.
func (x evidenceCursor) since(now time.Time, i fescuelatch.Incarnation, g fescuelatch.Generation) time.Time {
	if x.incarnation != i || x.generation != g || now.Sub(x.full) >= fullEvidenceInterval {
		return time.Time{}
	}
	return x.through
}

// advance returns the cursor after the evidence changed since a time was
// exchanged. The result is the zero value if the evidence was selected for
// another incarnation or generation.
func (x evidenceCursor) advance(now, since time.Time, i fescuelatch.Incarnation, g fescuelatch.Generation, sent []fescuelatch.Evidence) evidenceCursor {
	n := evidenceCursor{incarnation: i, generation: g, through: since, full: x.full}
	if since.IsZero() {
		n.full = now
	} else if x.incarnation != i || x.generation != g {
		return evidenceCursor{}
	}
	for _, e := range sent {
		if e.Updated.After(n.through) {
			n.through = e.Updated
		}
	}
	return n
}

// toCommonTime returns evidence with its times converted to the time that
// daemons share.
func toCommonTime(k *keyvalue.Clock, es []fescuelatch.Evidence) []fescuelatch.Evidence {
	return convertTimes(es, k.ToCommon)
}

// toOwnTime returns another daemon's evidence with its times converted to the
// clock of this process.
func toOwnTime(k *keyvalue.Clock, es []fescuelatch.Evidence) []fescuelatch.Evidence {
	return convertTimes(es, k.ToLocal)
}

func convertTimes(es []fescuelatch.Evidence, convert func(time.Time) time.Time) []fescuelatch.Evidence {
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
