package direct

import (
	"strings"
	"time"

	"fescuelatch"
)

// This file defines how a daemon treats its known state after the store was
// restored from a backup, while writers bring the store up to date again. Values in
// the backup may be older than the known ones, and keys may be missing only because
// they have not been written again yet.

const (
	// endpointRewriteWindow is how long an endpoint's entry may be missing:
	// endpoints write theirs again within about two seconds.
	endpointRewriteWindow = removalHoldWindow
	// recordRewriteWindow is the same for the records by which daemons count each
	// other. A daemon takes a new lease once it has detected the restore; if it
	// weren't counted until then, the others would also use its share of all
	// limits.
	recordRewriteWindow = 6 * time.Second
	// operatorRewriteWindow is the same for entries written by operators.
	operatorRewriteWindow = 10 * time.Second
	// maxRemovedEndpoints bounds the endpoints that are remembered after their
	// removal.
	maxRemovedEndpoints = 4096
)

// beforeEra reports whether the known state is of an era before the given one.
func (k *storeView) beforeEra(era int64) bool { return k.era != 0 && era > k.era }

// beginRestore begins the window in which lost entries are written again. Daemons
// that follow the store through this one get a full copy.
func (k *storeView) beginRestore(now time.Time, c fescuelatch.Changes) {
	k.log.Warn("store was restored from a backup; keeping missing entries until they can be written again",
		"era", c.Era, "era-before", k.era, "revision", c.Revision, "revision-before", k.revision)
	k.renewFindings(c)
	k.holding = hold{now, removalHoldWindow}
	k.restoredRevision, k.restoredAt = c.Revision, now
	k.writes = writeRate{perSecond: k.writes.perSecond}
	k.journal.restart()
}

// rewriteRecordsLocked has everything written again that this daemon had written to
// the store. Writes in progress when the store was lost may be lost as well.
func (d *Daemon) rewriteRecordsLocked(now time.Time) {
	d.requestRecordRewriteLocked()
	for _, r := range d.rollouts {
		r.republish(now)
	}
}

// rewriteWindow returns how long a key missing from the backup is kept. The status
// of a rollout and the records on it are not kept: the daemons hold its outcome,
// evidence and progress themselves, and write them again.
func (k *storeView) rewriteWindow(key string) time.Duration {
	s := k.notation.Subject(key)
	switch s.Kind {
	case fescuelatch.SubjectEndpoint:
		return endpointRewriteWindow
	case fescuelatch.SubjectRecord:
		if strings.HasPrefix(s.ID, recordDaemon) {
			return recordRewriteWindow
		}
		return 0
	case fescuelatch.SubjectDeployment, fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout:
		return operatorRewriteWindow
	default:
		return 0
	}
}

// outdated reports whether a value is older than the known one, despite its later revision or
// era. It compares by the sequence that the writer gives its values.
func (k *storeView) outdated(s fescuelatch.Subject, kv fescuelatch.KeyValue) bool {
	backup := kv.Era != 0 && kv.Era == k.era && kv.Revision <= k.restoredRevision
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		if !backup {
			return false
		}
		d, err := k.notation.Deployment(kv.Value)
		return err == nil && k.deployment != nil && d.Generation < k.deployment.Generation
	case fescuelatch.SubjectEndpoint:
		id := fescuelatch.EndpointID(s.ID)
		known, ok := k.lastRegistration(id)
		_, registered := k.endpoints[id]
		if !ok || !backup && registered && !known.Leaving {
			return false
		}
		r, err := k.notation.Registration(s.ID, kv.Value)
		if err != nil {
			return false
		}
		if backup {
			return known.Supersedes(r) || (known.Leaving && known.ProcessStarted == r.ProcessStarted)
		}
		return lateRegistration(known, r)
	default:
		return false
	}
}

// lateRegistration reports whether r was sent before the known registration of the same process,
// which is leaving or gone: a write may take effect after later ones. Processes without a start are
// not known to be the same.
func lateRegistration(known, r fescuelatch.Registration) bool {
	return r.ProcessStarted != 0 && r.ProcessStarted == known.ProcessStarted && r.Sequence <= known.Sequence && !r.Leaving
}

// lastRegistration returns the last registration of an endpoint, which may be gone.
func (k *storeView) lastRegistration(id fescuelatch.EndpointID) (fescuelatch.Registration, bool) {
	if e, ok := k.endpoints[id]; ok {
		return e.Registration, true
	}
	return k.removedEndpoints.Peek(id)
}
