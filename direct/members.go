package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
	"fescuelatch/crash"
	"fescuelatch/internal/pause"
	"fescuelatch/rollout"
)

// This file defines the records by which the daemons find and count each other.

// member is a daemon's record.
type member struct {
	Domain  fescuelatch.DomainID `json:"failure-domain"`
	Control netip.AddrPort       `json:"control-address"`
	// Callers is the address for callers' requests, also those that other daemons
	// pass on.
	Callers netip.AddrPort `json:"callers-address"`
}

// formerMember is the last record of a daemon whose record is gone. The daemon may have stopped,
// or its lease may have expired because it did not reach the store.
type formerMember struct {
	member
	gone time.Time
}

const (
	// maxFormerMembers bounds the former members that are remembered.
	maxFormerMembers = 256
	// formerMemberWindow is how long a former member may be running without the store.
	formerMemberWindow = time.Minute
)

// removeMember records that a daemon's record is gone.
func (k *storeView) removeMember(now time.Time, vm fescuelatch.VMID) {
	if m, ok := k.members[vm]; ok {
		k.formerMembers.Add(vm, formerMember{m, now})
	}
	delete(k.members, vm)
	k.memberChanges++
}

// lastMember returns the last record of a daemon, which may be gone.
func (k *storeView) lastMember(vm fescuelatch.VMID) (member, bool) {
	if m, ok := k.members[vm]; ok {
		return m, true
	}
	f, ok := k.formerMembers.Peek(vm)
	return f.member, ok
}

// lastMembers returns the last records of the daemons that may be running.
func (k *storeView) lastMembers(now time.Time) map[fescuelatch.VMID]member {
	all := maps.Clone(k.members)
	for _, vm := range k.formerMembers.Keys() {
		if f, _ := k.formerMembers.Peek(vm); now.Sub(f.gone) < formerMemberWindow {
			if _, ok := all[vm]; !ok {
				all[vm] = f.member
			}
		}
	}
	return all
}

// rank orders daemons by a hash, independently of their names and failure domains.
// All daemons compute the same order.
func rank(vm fescuelatch.VMID) uint64 { return xxhash.Sum64String(string(vm)) }

// renewalsPerLease is the number of renewals within the time of a lease.
const renewalsPerLease = 3

// recordRewriteJitter spreads out the writes of daemons that have all lost their
// records.
const recordRewriteJitter = time.Second

// minRecordRetry is the shortest wait after a failed write of the record. It doubles with each
// failure, up to the time between two renewals.
const minRecordRetry = 500 * time.Millisecond

// keepRecord keeps this daemon's record in the store until ctx ends.
func (d *Daemon) keepRecord(ctx context.Context) {
	var lease int64
	interval := d.options.LeaseTime / renewalsPerLease
	retry := minRecordRetry
	for ctx.Err() == nil {
		wait := interval
		if lease == 0 {
			if lease = d.writeRecord(ctx); lease == 0 {
				wait = min(retry, interval)
				retry *= 2
			} else {
				retry = minRecordRetry
			}
		} else if left, err := d.options.Store.KeepAlive(ctx, lease); err == nil && left == 0 {
			d.log.Info("lease of this daemon's record has expired", "lease", lease)
			lease = 0
			continue
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
			continue
		case <-d.recordLost:
			// The lease may since have been granted to another daemon.
			lease = 0
		case <-d.recordDoubtful:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, rand.N(recordRewriteJitter)) {
			return
		}
	}
}

// requestRecordRenewal has the lease of the record renewed soon, as it may have expired.
func (d *Daemon) requestRecordRenewal() {
	select {
	case d.recordDoubtful <- struct{}{}:
	default: // A renewal is already due.
	}
}

// requestRecordRewriteLocked has the record written again under a new lease.
func (d *Daemon) requestRecordRewriteLocked() {
	d.ownRecord = writtenRecord{}
	select {
	case d.recordLost <- struct{}{}:
	default: // A rewrite is already pending.
	}
}

// writtenRecord is the record of this daemon as it has last written it; its revision is zero if
// none is known to be in the store.
type writtenRecord struct {
	value    []byte
	revision int64
}

// watchRecordLocked has the record written again when the store no longer holds it as last written.
// A write or removal whose outcome is unknown may take effect after a later one. Then the record is
// gone, or goes with a lease that is no longer kept alive. A record that another process of this
// VM has written is left to it.
func (d *Daemon) watchRecordLocked() {
	k, w := d.storeView, d.ownRecord
	if w.revision == 0 || k.revision < w.revision || d.stopping.Load() {
		return
	}
	kv, known := k.items[d.recordKey()]
	if known && (kv.Revision <= w.revision || !bytes.Equal(kv.Value, w.value)) {
		return
	}
	d.log.Info("record of this daemon is not as it was last written; writing it again", "known", known,
		"revision", kv.Revision, "written", w.revision, "store-revision", k.revision)
	d.requestRecordRewriteLocked()
}

// writeRecord writes the record under a new lease and returns the lease, or 0 when
// the write failed.
func (d *Daemon) writeRecord(ctx context.Context) int64 {
	lease, err := d.options.Store.Grant(ctx, d.options.LeaseTime)
	if err != nil {
		d.log.Debug("store granted no lease for this daemon's record", "error", err.Error())
		return 0
	}
	value, err := json.Marshal(member{d.options.Domain, d.options.Control, d.options.Callers})
	if err != nil {
		d.log.Error("record of this daemon cannot be encoded", "error", err.Error())
		return 0
	}
	put := fescuelatch.KVPut{Key: d.recordKey(), Value: value, Lease: lease}
	result, err := d.options.Store.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Put: &put}}})
	if err != nil {
		d.log.Debug("writing the record of this daemon failed", "error", err.Error())
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownRecord = writtenRecord{value, result.Revision}
	return lease
}

func (d *Daemon) recordKey() string {
	return d.options.Notation.RecordKey(recordDaemon + string(d.options.VM))
}

// removeTimeout bounds the removal of the record at shutdown.
const removeTimeout = 300 * time.Millisecond

// removeRecord removes the record, so that the other daemons notice the shutdown at
// once.
func (d *Daemon) removeRecord(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := d.options.Store.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Delete: d.recordKey()}}})
	if err != nil {
		d.log.Info("removing the record of this daemon failed; it will expire", "error", err.Error())
	}
}

// checkRecord reports whether a daemon's record, other than a member's, can be used. Records
// of other kinds may be those of another build.
func checkRecord(id string, value []byte) error {
	switch {
	case strings.HasPrefix(id, recordProgress):
		return json.Unmarshal(value, new(progress)) //nolint:wrapcheck // The caller logs it with the key.
	case strings.HasPrefix(id, recordEvidence):
		return json.Unmarshal(value, new(rollout.Evidence)) //nolint:wrapcheck // As above.
	}
	for _, k := range crashRecordKinds {
		if name, ok := strings.CutPrefix(id, crashRecordID(k, "")); ok {
			return crash.Check(k, name, value) //nolint:wrapcheck // As above.
		}
	}
	return nil
}
