package direct

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/rollout"
)

// This file defines findings: what rollouts have shown of releases. A finding outlives its
// order, as the endpoints of a release stay registered for seconds after it was rolled back
// and the next order may come at once. All findings of a service are one record in the
// store, which is written together with each status of a rollout.

const (
	// recordFindings is the prefix of the identifiers of these records.
	recordFindings = "releases/"
	// maxFindings bounds the findings on a service.
	maxFindings = 16
)

// finding is what the last rollout of a release has shown.
type finding struct {
	Release fescuelatch.ReleaseID `json:"release"`
	// State is that of the rollout. It is in progress if another order ended the trial.
	State fescuelatch.RolloutState `json:"state"`
	// Era and Revision are those of the order, or of the status if it was read.
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
}

// UnmarshalJSON implements json.Unmarshaler and checks the decoded finding.
func (f *finding) UnmarshalJSON(b []byte) error {
	const op = "decode finding"
	type plain finding
	if err := json.Unmarshal(b, (*plain)(f)); err != nil {
		return &Error{op, KindInvalid, err}
	}
	states := []fescuelatch.RolloutState{fescuelatch.RolloutInProgress, fescuelatch.RolloutCompleted, fescuelatch.RolloutRolledBack}
	if f.Release == "" || !slices.Contains(states, f.State) || min(f.Era, f.Revision) < 0 {
		return &Error{op, KindInvalid, errors.Errorf("release %.40q in state %.40q, era %d, revision %d", f.Release, f.State, f.Era, f.Revision)}
	}
	return nil
}

func (f finding) version() fescuelatch.StateVersion {
	return fescuelatch.StateVersion{Era: f.Era, Revision: f.Revision}
}

// supersedes reports whether f is known later than o, or says more of the same order.
func (f finding) supersedes(o finding) bool {
	if f.version() == o.version() {
		return o.State == fescuelatch.RolloutInProgress && f.State != o.State
	}
	return f.version().Covers(o.version())
}

// findings are those on the releases of a service.
type findings map[fescuelatch.ReleaseID]finding

// MarshalJSON implements json.Marshaler: a list in order of the releases.
func (fs findings) MarshalJSON() ([]byte, error) {
	var list []finding
	for _, r := range slices.Sorted(maps.Keys(fs)) {
		list = append(list, fs[r])
	}
	return json.Marshal(list) //nolint:wrapcheck // Implements json.Marshaler.
}

// UnmarshalJSON implements json.Unmarshaler.
func (fs *findings) UnmarshalJSON(b []byte) error {
	var list []finding
	if err := json.Unmarshal(b, &list); err != nil {
		return err //nolint:wrapcheck // That of a finding.
	}
	if len(list) > maxFindings {
		return &Error{"decode findings", KindInvalid, errors.Errorf("%d findings", len(list))}
	}
	*fs = make(findings, len(list))
	for _, f := range list {
		(*fs)[f.Release] = f
	}
	return nil
}

// missing reports whether other findings lack one of fs, or have another state for it.
func (fs findings) missing(other findings) bool {
	for r, f := range fs {
		if other[r].State != f.State {
			return true
		}
	}
	return false
}

// add adds a finding, for which the oldest one goes if there are too many.
func (fs findings) add(f finding) {
	fs[f.Release] = f
	if len(fs) <= maxFindings {
		return
	}
	oldest := f
	for _, o := range fs {
		if oldest.supersedes(o) {
			oldest = o
		}
	}
	delete(fs, oldest.Release)
}

// learn adds a finding unless a later one is known.
func (k *storeView) learn(s fescuelatch.ServiceID, f finding) {
	fs := k.findings[s]
	if fs == nil {
		fs = make(findings)
		k.findings[s] = fs
	}
	known, ok := fs[f.Release]
	if ok && !f.supersedes(known) {
		return
	}
	fs.add(f)
	if known.State != f.State {
		k.log.Info("release after its rollout", "service", s, "release", f.Release, "state", f.State, "revision", f.Revision, "era", f.Era)
	}
}

// learnStatus adds what the recorded outcome of a rollout shows.
func (k *storeView) learnStatus(st fescuelatch.RolloutStatus) {
	if st.State != fescuelatch.RolloutInProgress {
		k.learn(st.Service, finding{st.Target, st.State, st.Era, st.Revision})
	}
}

// renewFindings has what is known at a restore of the store count as later than all that the
// backup holds, unless its record was written since.
func (k *storeView) renewFindings(c fescuelatch.Changes) {
	stored := make(map[string]findings)
	for _, i := range c.Items {
		id := k.notation.Subject(i.Key).ID
		if s, ok := strings.CutPrefix(id, recordFindings); ok {
			var fs findings
			if err := json.Unmarshal(i.Value, &fs); err != nil {
				continue // It is logged when it is applied.
			}
			stored[s] = fs
		}
	}
	for s, fs := range k.findings {
		for r, f := range fs {
			if stored[string(s)][r].Era != c.Era {
				f.Era, f.Revision = c.Era, c.Revision
				fs[r] = f
			}
		}
	}
}

// setAside returns the releases of a service that get no requests: those that were rolled
// back, and those that no rollout has judged, unless there is no other one. The release
// that an order in force names is judged by its rollout.
func (k *storeView) setAside(s fescuelatch.ServiceID, slots map[fescuelatch.ReleaseID]int) []fescuelatch.ReleaseID {
	var rolledBack, unjudged []fescuelatch.ReleaseID
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		switch {
		case r == k.orders[s].Target:
		case k.findings[s][r].State == fescuelatch.RolloutRolledBack:
			rolledBack = append(rolledBack, r)
		case k.findings[s][r].State == fescuelatch.RolloutInProgress:
			unjudged = append(unjudged, r)
		}
	}
	if len(rolledBack)+len(unjudged) == len(slots) {
		return rolledBack
	}
	return append(rolledBack, unjudged...)
}

// isBaseline reports whether another release may be compared with this one.
func (k *storeView) isBaseline(s fescuelatch.ServiceID, r fescuelatch.ReleaseID) bool {
	f, ok := k.findings[s][r]
	return !ok || f.State == fescuelatch.RolloutCompleted
}

// learnRecord merges the findings that a daemon has recorded.
func (k *storeView) learnRecord(s fescuelatch.ServiceID, value []byte) error {
	var stored findings
	delete(k.storedFindings, s)
	if err := json.Unmarshal(value, &stored); err != nil {
		return err //nolint:wrapcheck // The caller logs it with the key.
	}
	k.storedFindings[s] = stored
	for _, f := range stored {
		k.learn(s, f)
	}
	return nil
}

// recordFindings returns the write of the findings on a service that the store lacks, if neither
// the daemon that records the status nor those before this one have written them.
func (d *Daemon) recordFindings(now time.Time, s fescuelatch.ServiceID) []fescuelatch.KVTxn {
	k := d.storeView
	if !k.findings[s].missing(k.storedFindings[s]) {
		delete(d.findingsLack, s)
		return nil
	}
	since, ok := d.findingsLack[s]
	if !ok {
		since = now
		d.findingsLack[s] = now
	}
	if now.Sub(since) < time.Duration(d.writerPosition()+1)*takeoverDelay {
		return nil
	}
	d.findingsLack[s] = now // Retries a failed write after a delay.
	id := recordFindings + string(s)
	writes := d.record(id, k.findings[s])
	for i := range writes {
		writes[i].If = []fescuelatch.KVCompare{{Key: d.options.Notation.RecordKey(id), Revision: k.records[id].Revision}}
	}
	return writes
}

// withVerdict returns the findings on a service with the verdict on an order, if there is one.
func (k *storeView) withVerdict(o fescuelatch.RolloutOrder, verdict fescuelatch.RolloutState) findings {
	fs := maps.Clone(k.findings[o.Service])
	if f := (finding{o.Target, verdict, o.Era, o.Revision}); verdict != fescuelatch.RolloutInProgress {
		if fs == nil {
			fs = make(findings)
		}
		if known, ok := fs[o.Target]; !ok || f.supersedes(known) {
			fs.add(f)
		}
	}
	return fs
}

// endRollout adds what a rollout has shown that another order replaces, or none. Whether its
// trial has ended is known only if each change was read: a copy of the store may lack the
// outcome.
func (d *Daemon) endRollout(r *rollout.Rollout, next fescuelatch.RolloutOrder) {
	o := r.Order()
	f := finding{o.Target, fescuelatch.RolloutInProgress, o.Era, o.Revision}
	switch {
	case o.Target == next.Target:
		return
	case r.Excluded():
		f.State = fescuelatch.RolloutRolledBack
	case r.State() != chart.RolloutTrial || d.storeView.copied:
		return
	}
	d.storeView.learn(o.Service, f)
}
