package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/internal/pause"
	"fescuelatch/rollout"
)

// This file defines how the daemons carry out roll-outs together. Each follows
// the same order and judges by the evidence of all. Whoever is first in the
// order of the daemons records the outcome, and the others step in one after
// the other while it does not. Records are written under a condition, so that
// two who believe to be first do no harm.

const (
	// driveInterval is that at which roll-outs are looked at.
	driveInterval = 250 * time.Millisecond
	// tellInterval is the least time between two records of evidence.
	tellInterval = 700 * time.Millisecond
	// turnTime is how long each daemon leaves a record to those before it.
	turnTime = 1500 * time.Millisecond
	// removeInterval is the least time between two removals of records: what
	// was removed is known for some time after.
	removeInterval = 5 * time.Second
	// removeAtOnce is below the 32 entries that the users' store takes in a
	// transaction.
	removeAtOnce = 30
	// progressStep is the part of an order's time between two records of its
	// progress.
	progressStep = 0.1
	// progressLag is the part of a step by which each daemon leaves the record to
	// those before it.
	progressLag = 0.5
)

// rolling is a roll-out with what this daemon has written and waits for.
type rolling struct {
	*rollout.Rollout
	division  division // in the view
	told      rollout.Evidence
	toldAt    time.Time
	progress  float64   // part of the time that was recorded last
	removedAt time.Time // when records were last removed
	// wanted is the state to be recorded, and since when.
	wanted fescuelatch.RolloutState
	since  time.Time
}

// progress is the record of how long an order has been carried out.
type progress struct {
	Revision int64         `json:"revision"`
	Elapsed  time.Duration `json:"elapsed-ns"`
}

// divided returns how roll-outs divide the requests at a time.
func (d *Daemon) divided(now time.Time) divisions {
	return func(s fescuelatch.ServiceID) (division, bool) {
		r := d.rollouts[s]
		if r == nil {
			return division{}, false
		}
		r.division = r.divide(now)
		return r.division, true
	}
}

// divide returns how the roll-out divides the requests at a time.
func (r *rolling) divide(now time.Time) division {
	return division{target: r.Order().Target, share: r.Share(now), sessions: r.Sessions(now)}
}

// condemned returns the release of a service that was rolled back.
func (d *Daemon) condemned(s fescuelatch.ServiceID) (fescuelatch.ReleaseID, bool) {
	r := d.rollouts[s]
	if r == nil || r.State() != chart.RolloutRolledBack {
		return "", false
	}
	return r.Order().Target, true
}

// followRollouts begins and ends roll-outs as ordered, and takes in what the
// other daemons have recorded.
func (d *Daemon) followRollouts(now time.Time) {
	for s, r := range d.rollouts {
		o, ok := d.known.orders[s]
		switch {
		case ok && r.Order().Reissued(o):
			r.Reissue(o)
			r.recordAgain(now)
			d.log.Info("roll-out goes on under its order as the store has it now", "service", s, "release", o.Target, "state", r.State(), "revision", o.Revision, "era", o.Era)
		case !ok || o != r.Order():
			delete(d.rollouts, s)
		}
	}
	for s, o := range d.known.orders {
		if d.rollouts[s] == nil {
			d.rollouts[s] = &rolling{Rollout: rollout.New(d.bounds.Rollout, o, now)}
			d.log.Info("roll-out begins", "service", s, "release", o.Target, "within", o.Within.String(), "revision", o.Revision)
		}
	}
	for id, kv := range d.known.records {
		d.takeRecord(now, id, kv)
	}
	for s, st := range d.known.statuses {
		if r := d.rollouts[s]; r != nil && st.Answers(r.Order()) {
			r.Recorded(st.State)
		}
	}
}

// takeRecord takes in the evidence or progress of another daemon.
func (d *Daemon) takeRecord(now time.Time, id string, kv fescuelatch.KeyValue) {
	if s, ok := strings.CutPrefix(id, recordProgress); ok {
		var p progress
		if r := d.rollouts[fescuelatch.ServiceID(s)]; r != nil && d.decodeRecord(kv, &p) && p.Revision == r.Order().Revision {
			r.Began(now, p.Elapsed)
		}
		return
	}
	if name, ok := strings.CutPrefix(id, recordEvidence); ok {
		s, vm, _ := strings.Cut(name, "/")
		var e rollout.Evidence
		if r := d.rollouts[fescuelatch.ServiceID(s)]; r != nil && vm != string(d.options.VM) && d.decodeRecord(kv, &e) {
			r.Merge(fescuelatch.VMID(vm), e)
		}
	}
}

func (d *Daemon) decodeRecord(kv fescuelatch.KeyValue, to any) bool {
	if err := json.Unmarshal(kv.Value, to); err != nil {
		d.log.Warn("record cannot be used", "key", kv.Key, "error", err.Error())
		return false
	}
	return true
}

// recordAgain has everything that this daemon had written of the roll-out
// written once more, at times that differ among daemons.
func (r *rolling) recordAgain(now time.Time) {
	r.told, r.toldAt = rollout.Evidence{}, now.Add(-rand.N(tellInterval))
	r.progress = 0
}

// driveRollouts advances roll-outs until ctx ends.
func (d *Daemon) driveRollouts(ctx context.Context) {
	for pause.For(ctx, d.untilDrive(time.Now())) {
		for _, t := range d.advanceRollouts(time.Now()) {
			r, err := d.options.Store.Txn(ctx, t)
			if err != nil {
				d.log.Debug("record of a roll-out not written", "error", err.Error())
			} else if !r.Succeeded {
				d.log.Debug("another daemon has recorded the roll-out first")
			}
		}
	}
}

// untilDrive returns the time until the roll-outs are to be looked at. It ends
// at the moments at which they divide the requests anew, so that all daemons
// do so together.
func (d *Daemon) untilDrive(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := driveInterval
	for _, r := range d.rollouts {
		until = min(until, r.Next(now))
	}
	return until
}

// advanceRollouts moves roll-outs on and returns what is to be recorded.
func (d *Daemon) advanceRollouts(now time.Time) []fescuelatch.KVTxn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var writes []fescuelatch.KVTxn
	refresh := false
	for s, r := range d.rollouts {
		if r.Advance(now) {
			d.log.Info("roll-out", "service", s, "release", r.Order().Target, "state", r.State(),
				"elapsed", r.Elapsed(now).String(), "evidence", r.Evidence())
			refresh = true
		}
		if r.divide(now) != r.division {
			refresh = true
		}
		writes = append(writes, d.recordsOf(now, s, r)...)
	}
	if refresh {
		d.refreshLocked(now)
	}
	return writes
}

// recordsOf returns what this daemon should record of a roll-out.
func (d *Daemon) recordsOf(now time.Time, s fescuelatch.ServiceID, r *rolling) []fescuelatch.KVTxn {
	status, recorded := d.known.statuses[s]
	recorded = recorded && status.Answers(r.Order())
	if recorded && status.State != fescuelatch.RolloutInProgress {
		return d.removeRecords(now, s, r)
	}
	var writes []fescuelatch.KVTxn
	if now.Sub(r.toldAt) >= tellInterval && r.News(r.told) {
		r.told, r.toldAt = r.Evidence(), now
		writes = append(writes, d.record(recordEvidence+string(s)+"/"+string(d.options.VM), r.told)...)
	}
	part := float64(r.Elapsed(now)) / float64(r.Order().Within)
	if recorded := max(r.progress, d.recordedProgress(s, r)); part-recorded >= progressStep*(1+progressLag*float64(d.turn())) {
		r.progress = part
		writes = append(writes, d.record(recordProgress+string(s), progress{r.Order().Revision, r.Elapsed(now)})...)
	}
	return append(writes, d.recordStatus(now, r, status, recorded)...)
}

// recordedProgress returns the part of the order's time that is recorded.
func (d *Daemon) recordedProgress(s fescuelatch.ServiceID, r *rolling) float64 {
	kv, ok := d.known.records[recordProgress+string(s)]
	var p progress
	if !ok || !d.decodeRecord(kv, &p) || p.Revision != r.Order().Revision {
		return 0
	}
	return float64(p.Elapsed) / float64(r.Order().Within)
}

// recordStatus returns the write of the state for operators, once it is this
// daemon's turn.
func (d *Daemon) recordStatus(now time.Time, r *rolling, status fescuelatch.RolloutStatus, recorded bool) []fescuelatch.KVTxn {
	verdict := r.Verdict(now)
	if recorded && status.State == verdict {
		return nil
	}
	if r.wanted != verdict {
		r.wanted, r.since = verdict, now
	}
	if now.Sub(r.since) < time.Duration(d.turn())*turnTime {
		return nil
	}
	r.since = now.Add(turnTime) // A lost write is repeated after a while.
	o := r.Order()
	key, value, err := d.options.Notation.EncodeStatus(fescuelatch.RolloutStatus{Service: o.Service, Target: o.Target, State: verdict})
	if err != nil {
		d.log.Error("state of a roll-out cannot be recorded", "error", err.Error())
		return nil
	}
	d.log.Info("roll-out is recorded", "service", o.Service, "release", o.Target, "state", verdict, "expected-revision", status.Revision)
	return []fescuelatch.KVTxn{{
		If:   []fescuelatch.KVCompare{{Key: key, Revision: status.Revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: key, Value: value}}},
	}}
}

// record returns the write of a record of the daemons' own.
func (d *Daemon) record(id string, v any) []fescuelatch.KVTxn {
	b, err := json.Marshal(v)
	if err != nil {
		d.log.Error("record cannot be written", "record", id, "error", err.Error())
		return nil
	}
	put := fescuelatch.KVPut{Key: d.options.Notation.RecordKey(id), Value: b}
	return []fescuelatch.KVTxn{{Then: []fescuelatch.KVOp{{Put: &put}}}}
}

// removeRecords returns the removal of what all daemons have written of a
// roll-out whose outcome is recorded, by the first daemon.
func (d *Daemon) removeRecords(now time.Time, s fescuelatch.ServiceID, r *rolling) []fescuelatch.KVTxn {
	if d.turn() != 0 || now.Sub(r.removedAt) < removeInterval {
		return nil
	}
	var removals []fescuelatch.KVOp
	for id := range d.known.records {
		if len(removals) == removeAtOnce {
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

// turn returns the place of this daemon in the order of all that are known to
// live.
func (d *Daemon) turn() int { return turnOf(d.options.VM, d.known.members) }

// turnOf returns the place of a daemon among others. The order is that of
// hashes: the daemons of one failure domain, which may be lost together and
// count for as long as their records last, do not all come first.
func turnOf[V any](self fescuelatch.VMID, all map[fescuelatch.VMID]V) int {
	before := 0
	for vm := range all {
		if rank(vm) < rank(self) {
			before++
		}
	}
	return before
}

// observe counts the answer of an attempt for the roll-out of its service.
func (d *Daemon) observe(v fescuelatch.VersionID, a rollout.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, _, _ := strings.Cut(string(v.Model()), ":")
	if r := d.rollouts[fescuelatch.ServiceID(service)]; r != nil {
		a.Release = v.Release()
		r.Observe(a)
	}
}
