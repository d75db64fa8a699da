package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/rollout"
)

// This file defines how the daemons carry out rollouts together. Each follows
// the same order and judges by the evidence of all. The first daemon, sorted by
// hash, records the outcome; if it fails to, the others take over one by one.
// Writes are conditional, so that two daemons that both act as the first do no
// harm.

const (
	// rolloutInterval is the interval at which rollouts are advanced.
	rolloutInterval = 250 * time.Millisecond
	// evidenceInterval is the minimum time between two writes of evidence.
	evidenceInterval = 400 * time.Millisecond
	// takeoverDelay is how long a daemon waits for each one before it in the order.
	takeoverDelay = 1500 * time.Millisecond
	// removeInterval is the minimum time between two removals of records: the
	// daemon sees a removal only after a delay.
	removeInterval = 5 * time.Second
	// maxTxnEntries is below the limit of 32 entries per transaction of the users'
	// store.
	maxTxnEntries = 30
	// progressStep is the fraction of an order's duration between two records of
	// its progress.
	progressStep = 0.1
	// progressLag is the fraction of a step that a daemon waits for each one
	// before it in the order.
	progressLag = 0.5
)

// trackedRollout is a rollout with this daemon's latest and pending writes.
type trackedRollout struct {
	*rollout.Rollout
	division    trafficSplit // in the current view
	published   rollout.Evidence
	publishedAt time.Time
	progress    float64   // last recorded fraction of the duration
	readySince  time.Time // since when the evidence suffices to widen
	removedAt   time.Time // last removal of records
	// applied holds the versions of the records that are merged, by their identifiers. To
	// decode those of all daemons at each change would delay decisions.
	applied map[string]recordVersion
	// pendingState is the state to record, since pendingSince.
	pendingState fescuelatch.RolloutState
	pendingSince time.Time
}

// progress is the stored record of how long an order has been in progress.
type progress struct {
	Revision int64         `json:"revision"`
	Elapsed  time.Duration `json:"elapsed-ns"`
	// Widening is the elapsed time at which all daemons start to widen, or zero while
	// that is undecided.
	Widening time.Duration `json:"widening-ns,omitempty"`
}

// maxElapsed bounds the times of a record, above any duration of an order.
const maxElapsed = 365 * 24 * time.Hour

// UnmarshalJSON implements json.Unmarshaler and checks the decoded record.
func (p *progress) UnmarshalJSON(b []byte) error {
	const op = "decode progress"
	type plain progress
	if err := json.Unmarshal(b, (*plain)(p)); err != nil {
		return &Error{op, KindInvalid, err}
	}
	if min(p.Elapsed, p.Widening) < 0 || max(p.Elapsed, p.Widening) > maxElapsed {
		return &Error{op, KindInvalid, errors.Errorf("elapsed %s, widening at %s, are out of range", p.Elapsed, p.Widening)}
	}
	return nil
}

// divisionsAt returns how rollouts divide the requests now.
func (d *Daemon) divisionsAt(now time.Time) trafficSplitFunc {
	return func(s fescuelatch.ServiceID) (trafficSplit, bool) {
		r := d.rollouts[s]
		if r == nil {
			return trafficSplit{}, false
		}
		r.division = r.divide(now)
		return r.division, true
	}
}

// divide returns how the rollout divides the requests now.
func (r *trackedRollout) divide(now time.Time) trafficSplit {
	return trafficSplit{target: r.Order().Target, share: r.Share(now), sessions: r.Sessions(now)}
}

// rolledBackRelease returns a service's release that was found bad, if any.
func (d *Daemon) rolledBackRelease(s fescuelatch.ServiceID) (fescuelatch.ReleaseID, bool) {
	r := d.rollouts[s]
	if r == nil || !r.Excluded() {
		return "", false
	}
	return r.Order().Target, true
}

// updateRollouts begins and ends rollouts as ordered, and merges the records of
// the other daemons.
func (d *Daemon) updateRollouts(now time.Time) {
	for s, r := range d.rollouts {
		o, ok := d.storeView.orders[s]
		switch {
		case ok && r.Order().Reissued(o):
			r.Reissue(o)
			clear(r.applied) // Records on the reissued order may have come before it.
			r.republish(now)
			d.log.Info("rollout continues under its reissued order", "service", s, "release", o.Target, "state", r.State(), "revision", o.Revision, "era", o.Era)
		case !ok || o != r.Order():
			d.endRollout(r.Rollout, o)
			delete(d.rollouts, s)
		}
	}
	d.storeView.copied = false
	for s, o := range d.storeView.orders {
		if d.rollouts[s] == nil {
			d.rollouts[s] = d.beginRollout(now, o)
			d.log.Info("rollout begins", "service", s, "release", o.Target, "within", o.Duration.String(), "revision", o.Revision)
		}
	}
	for id, kv := range d.storeView.records {
		if !d.storeView.unusable[kv.Key] {
			d.applyRecord(now, id, kv)
		}
	}
	for s, st := range d.storeView.statuses {
		if r := d.rollouts[s]; r != nil && st.AppliesTo(r.Order()) && r.ApplyRecorded(st.State) {
			d.log.Info("rollout outcome recorded", "service", s, "release", r.Order().Target, "state", r.State())
		}
	}
}

// beginRollout returns the rollout of an order, which was judged before if this daemon has just
// started or the store returned to a copy of it.
func (d *Daemon) beginRollout(now time.Time, o fescuelatch.RolloutOrder) *trackedRollout {
	r := &trackedRollout{Rollout: rollout.New(d.bounds.Rollout, o, now), applied: make(map[string]recordVersion)}
	f := d.storeView.findings[o.Service][o.Target]
	if f.State == fescuelatch.RolloutRolledBack && f.version().Covers(fescuelatch.StateVersion{Era: o.Era, Revision: o.Revision}) {
		r.ApplyRecorded(f.State)
	}
	return r
}

// applyRecord merges the evidence or progress recorded by another daemon, unless it is
// merged already.
func (d *Daemon) applyRecord(now time.Time, id string, kv fescuelatch.KeyValue) {
	if s, ok := strings.CutPrefix(id, recordProgress); ok {
		r := d.rollouts[fescuelatch.ServiceID(s)]
		if r == nil || r.isApplied(id, kv) {
			return
		}
		var p progress
		if !d.decodeRecord(kv, &p) {
			return
		}
		r.applied[id] = versionOf(kv)
		if p.Revision != r.Order().Revision {
			return
		}
		r.AdoptElapsed(now, p.Elapsed)
		if p.Widening > 0 {
			r.AdoptWidening(p.Widening)
		}
		return
	}
	if name, ok := strings.CutPrefix(id, recordEvidence); ok {
		s, vm, _ := strings.Cut(name, "/")
		r := d.rollouts[fescuelatch.ServiceID(s)]
		if r == nil || vm == string(d.options.VM) || r.isApplied(id, kv) {
			return
		}
		var e rollout.Evidence
		if !d.decodeRecord(kv, &e) {
			return
		}
		r.applied[id] = versionOf(kv)
		r.Merge(fescuelatch.VMID(vm), e)
	}
}

// isApplied reports whether a record is merged as it is.
func (r *trackedRollout) isApplied(id string, kv fescuelatch.KeyValue) bool {
	v, ok := r.applied[id]
	return ok && v == versionOf(kv)
}

// recordVersion tells the values of a record apart. Revisions of different eras may be equal.
type recordVersion struct{ revision, era int64 }

func versionOf(kv fescuelatch.KeyValue) recordVersion { return recordVersion{kv.Revision, kv.Era} }

func (d *Daemon) decodeRecord(kv fescuelatch.KeyValue, to any) bool {
	if err := json.Unmarshal(kv.Value, to); err != nil {
		d.log.Warn("rollout record cannot be decoded", "key", kv.Key, "error", err.Error())
		return false
	}
	return true
}

// republish schedules this daemon's records of the rollout to be written again,
// at times that differ between daemons.
func (r *trackedRollout) republish(now time.Time) {
	r.published, r.publishedAt = rollout.Evidence{}, now.Add(-rand.N(evidenceInterval))
	r.progress = 0
}

// driveRollouts advances rollouts until ctx ends.
func (d *Daemon) driveRollouts(ctx context.Context) {
	for pause.For(ctx, d.nextAdvance(time.Now())) {
		for _, t := range d.advanceRollouts(time.Now()) {
			r, err := d.options.Store.Txn(ctx, t)
			if err != nil {
				d.log.Debug("writing a rollout record failed", "error", err.Error())
			} else if !r.Succeeded {
				d.log.Debug("another daemon recorded the rollout first")
			}
		}
	}
}

// nextAdvance returns the time until the rollouts must be advanced, at the latest
// until a division of the requests changes, so that all daemons change it
// together.
func (d *Daemon) nextAdvance(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := rolloutInterval
	for _, r := range d.rollouts {
		until = min(until, r.Next(now))
	}
	return until
}

// advanceRollouts advances the rollouts and returns the writes to the store.
func (d *Daemon) advanceRollouts(now time.Time) []fescuelatch.KVTxn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var writes []fescuelatch.KVTxn
	refresh := false
	for s, r := range d.rollouts {
		if r.Advance(now) {
			d.log.Info("rollout state changed", "service", s, "release", r.Order().Target, "state", r.State(),
				"elapsed", r.Elapsed(now).String(), "evidence", r.Evidence())
			refresh = true
		}
		if r.divide(now) != r.division {
			refresh = true
		}
		writes = append(writes, d.writesFor(now, s, r)...)
	}
	for s := range d.storeView.findings {
		writes = append(writes, d.recordFindings(now, s)...)
	}
	if refresh {
		d.refreshLocked(now)
	}
	return writes
}

// writesFor returns this daemon's writes for a rollout.
func (d *Daemon) writesFor(now time.Time, s fescuelatch.ServiceID, r *trackedRollout) []fescuelatch.KVTxn {
	status, recorded := d.storeView.statuses[s]
	recorded = recorded && status.AppliesTo(r.Order())
	if recorded && status.State != fescuelatch.RolloutInProgress {
		return d.removeRecords(now, s, r)
	}
	var writes []fescuelatch.KVTxn
	if now.Sub(r.publishedAt) >= evidenceInterval && r.Changed(r.published) {
		r.published, r.publishedAt = r.Evidence(), now
		writes = append(writes, d.record(recordEvidence+string(s)+"/"+string(d.options.VM), r.published)...)
	}
	writes = append(writes, d.writeProgress(now, s, r)...)
	return append(writes, d.recordStatus(now, r, status, recorded)...)
}

// writeProgress returns the write of the progress, if it is due or if this daemon decides
// to widen. It fails if another daemon has written the record meanwhile.
func (d *Daemon) writeProgress(now time.Time, s fescuelatch.ServiceID, r *trackedRollout) []fescuelatch.KVTxn {
	part := float64(r.Elapsed(now)) / float64(r.Order().Duration)
	recorded := max(r.progress, d.recordedProgress(s, r))
	due := part-recorded >= progressStep*(1+progressLag*float64(d.writerPosition()))
	widening := r.Widening()
	if widening == 0 && d.decidesToWiden(now, r) {
		widening, due = r.WideningStart(now), true
		r.readySince = now.Add(takeoverDelay) // Retries a failed write after a delay.
		d.log.Info("evidence on the release suffices", "service", s, "release", r.Order().Target, "widening-at", widening.String(), "evidence", r.Evidence())
	}
	if !due {
		return nil
	}
	r.progress = part
	id := recordProgress + string(s)
	writes := d.record(id, progress{r.Order().Revision, r.Elapsed(now), widening})
	for i := range writes {
		writes[i].If = []fescuelatch.KVCompare{{Key: d.options.Notation.RecordKey(id), Revision: d.storeView.records[id].Revision}}
	}
	return writes
}

// decidesToWiden reports whether the evidence suffices and the daemons before this one
// have not recorded that.
func (d *Daemon) decidesToWiden(now time.Time, r *trackedRollout) bool {
	if !r.Ready() {
		r.readySince = time.Time{}
		return false
	}
	if r.readySince.IsZero() {
		r.readySince = now
	}
	return now.Sub(r.readySince) >= time.Duration(d.writerPosition())*takeoverDelay
}

// recordedProgress returns the recorded fraction of the order's duration.
func (d *Daemon) recordedProgress(s fescuelatch.ServiceID, r *trackedRollout) float64 {
	kv, ok := d.storeView.records[recordProgress+string(s)]
	var p progress
	if !ok || d.storeView.unusable[kv.Key] || !d.decodeRecord(kv, &p) || p.Revision != r.Order().Revision {
		return 0
	}
	return float64(p.Elapsed) / float64(r.Order().Duration)
}

// recordStatus returns the write of the state for operators, once the daemons
// before this one have failed to write it.
func (d *Daemon) recordStatus(now time.Time, r *trackedRollout, status fescuelatch.RolloutStatus, recorded bool) []fescuelatch.KVTxn {
	verdict := r.Verdict(now)
	if recorded && status.State == verdict {
		return nil
	}
	if r.pendingState != verdict {
		r.pendingState, r.pendingSince = verdict, now
	}
	if now.Sub(r.pendingSince) < time.Duration(d.writerPosition())*takeoverDelay {
		return nil
	}
	r.pendingSince = now.Add(takeoverDelay) // Retries a failed write after a delay.
	o := r.Order()
	key, value, err := d.options.Notation.EncodeStatus(fescuelatch.RolloutStatus{Service: o.Service, Target: o.Target, State: verdict})
	if err != nil {
		d.log.Error("rollout state cannot be encoded", "error", err.Error())
		return nil
	}
	d.log.Info("recording the rollout state", "service", o.Service, "release", o.Target, "state", verdict, "expected-revision", status.Revision)
	writes := []fescuelatch.KVTxn{{
		If:   []fescuelatch.KVCompare{{Key: key, Revision: status.Revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: key, Value: value}}},
	}}
	// The status replaces that of the order before, on which no other key may say anything.
	if fs := d.storeView.withVerdict(o, verdict); fs.missing(d.storeView.storedFindings[o.Service]) {
		for _, w := range d.record(recordFindings+string(o.Service), fs) {
			writes[0].Then = append(writes[0].Then, w.Then...)
		}
	}
	return writes
}

// record returns the write of a daemon record.
func (d *Daemon) record(id string, v any) []fescuelatch.KVTxn {
	b, err := json.Marshal(v)
	if err != nil {
		d.log.Error("record cannot be encoded", "record", id, "error", err.Error())
		return nil
	}
	put := fescuelatch.KVPut{Key: d.options.Notation.RecordKey(id), Value: b}
	return []fescuelatch.KVTxn{{Then: []fescuelatch.KVOp{{Put: &put}}}}
}

// removeRecords returns the first daemon's removal of all records of a rollout
// whose outcome is recorded.
func (d *Daemon) removeRecords(now time.Time, s fescuelatch.ServiceID, r *trackedRollout) []fescuelatch.KVTxn {
	if d.writerPosition() != 0 || now.Sub(r.removedAt) < removeInterval {
		return nil
	}
	var removals []fescuelatch.KVOp
	for id := range d.storeView.records {
		if len(removals) == maxTxnEntries {
			break
		}
		if id == recordProgress+string(s) || strings.HasPrefix(id, recordEvidence+string(s)+"/") {
			removals = append(removals, fescuelatch.KVOp{Delete: d.options.Notation.RecordKey(id)})
		}
	}
	if len(removals) == 0 {
		return nil
	}
	r.removedAt = now
	return []fescuelatch.KVTxn{{Then: removals}}
}

// writerPosition returns the position of this daemon in the order of all live
// daemons.
func (d *Daemon) writerPosition() int { return positionOf(d.options.VM, d.storeView.members) }

// positionOf returns the position of a daemon in the order of all. Sorting by
// hash mixes the failure domains: the daemons of one may be lost together and
// count until their records expire, so they must not all come first.
func positionOf[V any](self fescuelatch.VMID, all map[fescuelatch.VMID]V) int {
	before := 0
	for vm := range all {
		if rank(vm) < rank(self) {
			before++
		}
	}
	return before
}

// observe adds what an attempt shows of its version to the rollout of the service.
func (d *Daemon) observe(v fescuelatch.VersionID, a rollout.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.rolloutOf(v); r != nil && d.compares(r, v) {
		a.Model, a.Release = v.Model(), v.Release()
		r.Observe(a)
	}
}

// observePace adds the mean time between the events of a stream to the rollout of the
// service.
func (d *Daemon) observePace(v fescuelatch.VersionID, pace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.rolloutOf(v); r != nil && d.compares(r, v) {
		r.ObservePace(v.Model(), v.Release(), pace)
	}
}

// compares reports whether a version tells of a rollout's target or of the releases that it is
// compared with. The last answers of a release that was rolled back do not.
func (d *Daemon) compares(r *trackedRollout, v fescuelatch.VersionID) bool {
	o := r.Order()
	return v.Release() == o.Target || d.storeView.isBaseline(o.Service, v.Release())
}

// rolloutOf returns the rollout of a version's service, or nil.
func (d *Daemon) rolloutOf(v fescuelatch.VersionID) *trackedRollout {
	service, _, _ := strings.Cut(string(v.Model()), ":")
	return d.rollouts[fescuelatch.ServiceID(service)]
}
