package direct

import (
	"strings"
	"time"

	"fescuelatch"
)

// This file defines what a daemon believes while the store, which has come back
// from a copy, is brought up to date again by those who write to it. What the
// copy holds may be older than what is known here, and what it lacks may be
// missing only because nobody has written it again.

const (
	// endpointRewriteTime is for how long the entry of an endpoint may be missing:
	// endpoints write theirs again within about two seconds.
	endpointRewriteTime = lapseTime
	// recordRewriteTime is that of the records by which daemons count each other. They
	// take new leases once they have noticed; a daemon that is not counted until then
	// would have its part of all limits used by the others as well.
	recordRewriteTime = 6 * time.Second
	// operatorRewriteTime is that of what operators have written.
	operatorRewriteTime = 10 * time.Second
	// maxGone bounds the endpoints that are remembered after they have gone.
	maxGone = 4096
)

// earlier reports whether what is known is of an earlier era than the given one.
func (k *knowledge) earlier(era int64) bool { return k.era != 0 && era > k.era }

// restored begins the time in which what the store has lost is written again.
// Other daemons that follow the store through this one read everything anew.
func (k *knowledge) restored(now time.Time, c fescuelatch.Changes) {
	k.log.Warn("store has come back from a copy; what is missing there holds for a while",
		"era", c.Era, "era-before", k.era, "revision", c.Revision, "revision-before", k.revision)
	k.heldUntil = now.Add(lapseTime)
	k.copied, k.restoredAt = c.Revision, now
	k.writes = writeRate{perSecond: k.writes.perSecond}
	k.journal.restart()
}

// recordAgainLocked has everything that this daemon had written to the store
// written again: a write under way when the store was lost may be lost too.
func (d *Daemon) recordAgainLocked(now time.Time) {
	d.loseRecord()
	for _, r := range d.rollouts {
		r.recordAgain(now)
	}
}

// rewriteTime returns for how long a key that the copy lacks is believed. The
// state of a roll-out and what was recorded of it are not: the daemons know their
// judgement, evidence and progress, and record them again.
func (k *knowledge) rewriteTime(key string) time.Duration {
	s := k.notation.Subject(key)
	switch s.Kind {
	case fescuelatch.SubjectEndpoint:
		return endpointRewriteTime
	case fescuelatch.SubjectRecord:
		if strings.HasPrefix(s.ID, recordDaemon) {
			return recordRewriteTime
		}
		return 0
	case fescuelatch.SubjectDeployment, fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout:
		return operatorRewriteTime
	default:
		return 0
	}
}

// outdated reports whether the value of a key is older than what is known,
// though its era is later: by the order that its writer gives its values, since
// the store's revisions do not tell. Only what the copy held can be.
func (k *knowledge) outdated(s fescuelatch.Subject, kv fescuelatch.KeyValue) bool {
	if kv.Era == 0 || kv.Era != k.era || kv.Revision > k.copied {
		return false
	}
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(kv.Value)
		return err == nil && k.deployment != nil && d.Generation < k.deployment.Generation
	case fescuelatch.SubjectEndpoint:
		known, ok := k.lastSaid(fescuelatch.EndpointID(s.ID))
		if !ok {
			return false
		}
		r, err := k.notation.Registration(s.ID, kv.Value)
		return err == nil && (known.Outdates(r) || (known.Leaving && known.Born == r.Born))
	default:
		return false
	}
}

// lastSaid returns what an endpoint has last said, which may be gone.
func (k *knowledge) lastSaid(id fescuelatch.EndpointID) (fescuelatch.Registration, bool) {
	if e, ok := k.endpoints[id]; ok {
		return e.Registration, true
	}
	return k.gone.Peek(id)
}
