package direct

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/crash"
	"fescuelatch/decision"
	"fescuelatch/endpoint"
)

// This file defines how a daemon tells from broken attempts that endpoints have crashed,
// and shares with the others what requests may have caused that.

const (
	// underWayAfter is how long after its first event an answer shows that the parts of its
	// prompt do not crash endpoints, and lastsAfter how long until it shows that of the
	// whole request: such requests do so when they begin to run.
	underWayAfter = 500 * time.Millisecond
	lastsAfter    = time.Second
	// underWayEvents is the number of events after which the parts are no longer
	// suspected, though the answer shows nothing yet.
	underWayEvents = 2
)

// answerStage is what an answer shows of its request by the time since its first event.
type answerStage int

const (
	answerBegins   answerStage = iota // nothing
	answerUnderWay                    // the parts of the prompt are sound
	answerLasts                       // the request is sound
)

// answerProgress is how much of an answer has arrived.
type answerProgress struct {
	begun bool // its head has arrived
	// mu guards what follows against the examination by other goroutines.
	mu          sync.Mutex
	events      int
	first, last time.Time // of events
	// shown is the stage that the answer was reported to be in.
	shown answerStage
}

// event records an event and reports whether the answer has reached another stage.
func (p *answerProgress) event(now time.Time) bool {
	p.mu.Lock()
	if p.events++; p.events == 1 {
		p.first = now
	}
	p.last = now
	p.mu.Unlock()
	stage := p.stage(now)
	if stage <= p.shown {
		return false
	}
	p.shown = stage
	return true
}

func (p *answerProgress) stage(now time.Time) answerStage {
	switch since := now.Sub(p.first); {
	case p.events > 0 && since >= lastsAfter:
		return answerLasts
	case p.events > 0 && since >= underWayAfter:
		return answerUnderWay
	}
	return answerBegins
}

// begins reports whether the answer has only just begun, or not yet.
func (p *answerProgress) begins(now time.Time) bool {
	return p.events < underWayEvents && p.stage(now) == answerBegins
}

// suspect returns the request as what may have crashed the endpoint: without the parts of the
// prompt if the answer was under way, and nil if it had lasted. That many answers with a part
// are under way at crashes is a coincidence; that the same request is at three is not. If the
// connection is still open, the endpoint may have ended right after the last event.
func (t *attempt) suspect(now time.Time, open bool) *fescuelatch.Request {
	t.progress.mu.Lock()
	defer t.progress.mu.Unlock()
	if open && t.progress.events > 0 {
		now = t.progress.last
	}
	switch {
	case t.progress.begins(now):
		return t.request.details
	case t.progress.stage(now) == answerLasts:
		return nil
	}
	q := *t.request.details
	q.Parts = nil
	return &q
}

// underWayCrashes holds the processes that ended last while the answer to a request was under
// way, by its fingerprint. It is not safe for concurrent use.
type underWayCrashes struct {
	last *simplelru.LRU[string, fescuelatch.EndpointProcess]
}

// maxUnderWayCrashes bounds the requests that are remembered.
const maxUnderWayCrashes = 4096

func newUnderWayCrashes() underWayCrashes {
	// The size is a positive constant, which is all that is checked.
	last, _ := simplelru.NewLRU[string, fescuelatch.EndpointProcess](maxUnderWayCrashes, nil)
	return underWayCrashes{last}
}

// add records the end of a process, and reports whether another one has ended before while
// the answer to the same request was under way.
func (u underWayCrashes) add(q *fescuelatch.Request, p fescuelatch.EndpointProcess) bool {
	before, ok := u.last.Get(queryless(q))
	u.last.Add(queryless(q), p)
	return ok && before != p
}

// answered forgets a request.
func (u underWayCrashes) answered(q *fescuelatch.Request) { u.last.Remove(queryless(q)) }

// queryless returns the fingerprint of a request, without the query if there is such a one.
func queryless(q *fescuelatch.Request) string { return cmp.Or(q.QuerylessFingerprint, q.Fingerprint) }

// suspectLocked returns the suspect at the end of the attempt's process. A request whose answer
// was under way is one only if that has happened to it at this daemon before: at each crash
// there are many of which that is true once.
func (d *Daemon) suspectLocked(now time.Time, t *attempt, open bool) *fescuelatch.Request {
	q := t.suspect(now, open)
	if q == nil || q == t.request.details || d.underWay.add(q, t.process) {
		return q
	}
	return nil
}

// endpointEnd is what an attempt has found of its endpoint: gone reports that it cannot be
// reached, and ended that its process has ended.
type endpointEnd struct{ gone, ended bool }

// examineBreak completes the result of an attempt that is broken or unresponsive by what a
// new connection to the endpoint shows. If it stays open, the endpoint still runs. If it
// is refused, the endpoint's process has ended, which is reported once.
func (t *attempt) examineBreak(r *fescuelatch.AttemptResult, err error) {
	if t.endpointEnd.ended {
		r.EndpointGone, r.EndpointEnded, r.Unreachable = true, true, true
		return
	}
	d := t.request.daemon
	broken := time.Now()
	to, ok := d.active.Load().addresses[t.start.Endpoint]
	if !ok {
		to = t.process.Address // Its registration has ended.
	}
	var probe error
	if to.IsValid() {
		probe = d.endpoints.Runs(t.ctx, to)
		if probe == nil || t.ctx.Err() != nil && !endpoint.Refused(probe) {
			return
		}
	}
	r.EndpointGone, r.Unreachable = true, true
	r.EndpointEnded = endpoint.Refused(probe)
	t.endpointEnd = endpointEnd{gone: true, ended: r.EndpointEnded}
	r.Lasted = t.progress.shown == answerLasts
	kind := endpoint.KindOf(err)
	if !r.EndpointEnded || errors.Is(err, errCutInLeaving) || kind != endpoint.KindBroken && kind != endpoint.KindInactive {
		return
	}
	r.Crashed = t.progress.begins(broken)
	d.metrics.countCrash(t.progress.begun)
	t.request.warn("endpoint has crashed during an attempt", "attempt", t.start.Attempt, "endpoint", t.start.Endpoint,
		"begun", t.progress.begun, "events", t.progress.events, "parts", partIDs(t.request.details.Parts),
		"account", t.request.details.Account, "fingerprint", t.request.details.Fingerprint, "error", err.Error())
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.process.Endpoint == "" {
		return
	}
	q := d.suspectLocked(broken, t, kind == endpoint.KindInactive)
	t.reported = t.reported || q != nil
	d.crashes.Crashed(broken, t.process, q, q == nil)
	d.processRefusesLocked(broken, t.process)
}

// recordEnd records an attempt that was given up before its answer was under way, and an
// endpoint that refuses connections: other daemons may see that it has crashed.
func (t *attempt) recordEnd(r *fescuelatch.AttemptResult, err error) {
	if t.process.Endpoint == "" {
		return
	}
	d := t.request.daemon
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running.remove(t)
	switch r.Status {
	case fescuelatch.AttemptNotStarted:
		if endpoint.Refused(err) {
			d.crashes.Gone(now, t.process)
			d.processRefusesLocked(now, t.process)
		}
	case fescuelatch.AttemptBroken, fescuelatch.AttemptCancelled, fescuelatch.AttemptExpired:
		if t.progress.begins(now) && !t.reported {
			d.crashes.Ended(now, t.process, t.request.details)
		}
	}
}

// registeredProcess returns the registered process of an endpoint.
func (k *storeView) registeredProcess(id fescuelatch.EndpointID) (fescuelatch.EndpointProcess, bool) {
	e, ok := k.endpoints[id]
	if !ok {
		return fescuelatch.EndpointProcess{}, false
	}
	return fescuelatch.EndpointProcess{Endpoint: id, Started: e.ProcessStarted, Address: e.Endpoint.Address}, true
}

// answered records that the answer is under way, has lasted, or is complete.
func (t *attempt) answered() {
	d := t.request.daemon
	q := *t.request.details
	if t.progress.shown < answerLasts {
		q.Fingerprint, q.QuerylessFingerprint = "", ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	process := t.process
	process.Endpoint = t.start.Endpoint // Its registration may have been unknown.
	if !d.answers.add(process, t.status, t.request.details.Fingerprint, now) {
		return
	}
	if q.Fingerprint != "" {
		d.underWay.answered(&q)
	}
	d.crashes.Answered(now, &q)
	d.applyBlocksLocked(now)
}

func partIDs(parts []fescuelatch.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// applyBlocksLocked carries out changes of what is blocked.
func (d *Daemon) applyBlocksLocked(now time.Time) {
	changes := d.crashes.Changes()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		switch {
		case c.Blocked && c.Fingerprint != "":
			d.log.Warn("request crashes endpoints; it is refused", "fingerprint", c.Fingerprint, "outages", c.Outages, "doubtful", c.Doubtful, "alone", c.Alone)
		case c.Blocked:
			d.log.Warn("prompt part crashes endpoints; requests with it are refused", "part", c.Part, "outages", c.Outages, "doubtful", c.Doubtful, "alone", c.Alone)
		case c.Fingerprint != "":
			d.log.Info("request is no longer blocked", "fingerprint", c.Fingerprint)
		default:
			d.log.Info("prompt part is no longer blocked", "part", c.Part)
		}
	}
	d.metrics.blockedParts.Update(float64(d.crashes.BlockedParts()))
	d.metrics.blockedRequests.Update(float64(d.crashes.BlockedRequests()))
	d.decideLocked(now, decision.BlocksChanged{})
}

// crashRecordKinds are the kinds of records of the crash ledger.
var crashRecordKinds = []crash.RecordKind{crash.RecordReport, crash.RecordSound, crash.RecordBlock, crash.RecordTrial}

func crashRecordID(k crash.RecordKind, name string) string { return string(k) + "/" + name }

// syncCrashesLocked passes the records of all daemons to the crash ledger.
func (d *Daemon) syncCrashesLocked(now time.Time) {
	var records []crash.Record
	for id, kv := range d.storeView.records {
		if d.storeView.unusable[kv.Key] {
			continue
		}
		for _, k := range crashRecordKinds {
			if name, ok := strings.CutPrefix(id, crashRecordID(k, "")); ok {
				records = append(records, crash.Record{Kind: k, Name: name, Stored: kv})
			}
		}
	}
	for _, err := range d.crashes.Sync(now, records) {
		d.log.Warn("record on crashes cannot be used", "error", err.Error())
	}
	d.applyBlocksLocked(now)
}

// tickCrashesLocked updates the crash ledger and hands over the records to be written.
func (d *Daemon) tickCrashesLocked(now time.Time) {
	d.crashes.Tick(now)
	d.applyBlocksLocked(now)
	if len(d.crashWrites) == cap(d.crashWrites) {
		return // Earlier records are still being written.
	}
	if writes := d.crashes.Writes(now); len(writes) > 0 {
		d.crashWrites <- writes
	}
}

// leaseReuse is how long a lease is used for further records.
const leaseReuse = 20 * time.Second

// recordLeases holds leases by their time. It is used only by writeCrashRecords.
type recordLeases map[time.Duration]grantedLease

type grantedLease struct {
	id int64
	at time.Time
}

func (l recordLeases) get(ctx context.Context, s fescuelatch.Store, lifetime time.Duration) (int64, error) {
	if g, ok := l[lifetime]; ok && time.Since(g.at) < leaseReuse {
		return g.id, nil
	}
	id, err := s.Grant(ctx, lifetime)
	if err != nil {
		return 0, err //nolint:wrapcheck // The caller logs it.
	}
	l[lifetime] = grantedLease{id, time.Now()}
	return id, nil
}

// writeCrashRecords writes the records of the crash ledger until ctx ends.
func (d *Daemon) writeCrashRecords(ctx context.Context) {
	leases := make(recordLeases)
	for {
		var writes []crash.Write
		select {
		case writes = <-d.crashWrites:
		case t := <-d.crashTrials:
			d.claimTrial(ctx, leases, t)
			continue
		case <-ctx.Done():
			return
		}
		for _, batch := range batches(writes) {
			succeeded, err := d.writeBatch(ctx, leases, batch)
			for _, w := range batch {
				if err != nil {
					d.log.Info("writing a record on crashes failed", "kind", w.Kind, "name", w.Name, "error", err.Error())
				} else {
					d.log.Info("record on crashes written", "kind", w.Kind, "name", w.Name, "value", w.Value, "first", succeeded)
				}
			}
			d.mu.Lock()
			for _, w := range batch {
				d.crashes.Written(time.Now(), w, succeeded)
			}
			d.mu.Unlock()
		}
	}
}

// trial is a request that waits for the claim of its trial.
type trial struct {
	claims  []crash.Write
	request fescuelatch.RequestID
	done    chan struct{}
}

// claimTimeout bounds how long a blocked request waits for the claim of its trial.
const claimTimeout = 500 * time.Millisecond

// awaitTrial waits for the claim of a request's trial if the request is blocked and may be
// tried again. It is refused unless the claim succeeds. A daemon that stops claims none, as no
// later request may come that is the trial if this one reaches no endpoint.
func (s *activeRequest) awaitTrial(ctx context.Context) {
	d := s.daemon
	if d.stopping.Load() {
		return
	}
	d.mu.Lock()
	claims := d.crashes.Trial(time.Now(), s.details)
	d.mu.Unlock()
	if len(claims) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t := trial{claims, s.details.ID, make(chan struct{})}
	select {
	case d.crashTrials <- t:
	case <-ctx.Done():
		return
	}
	select {
	case <-t.done:
	case <-ctx.Done():
	}
}

// claimTrial writes the claim of a trial.
func (d *Daemon) claimTrial(ctx context.Context, leases recordLeases, t trial) {
	defer close(t.done)
	claimed := 0
	for _, w := range t.claims {
		succeeded, err := d.writeBatch(ctx, leases, []crash.Write{w})
		d.log.Info("trial of a blocked request", "request", t.request, "kind", w.Kind, "name", w.Name, "claimed", succeeded, "error", errorText(err))
		if !succeeded {
			break
		}
		claimed++
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes.Claimed(t.claims[:claimed], t.request) // A later request is the trial if this one was refused.
}

// batches divides writes into transactions: those of the same lifetime without a condition
// are written together.
func batches(writes []crash.Write) [][]crash.Write {
	var all [][]crash.Write
	open := make(map[time.Duration]int) // index of the last batch
	for _, w := range writes {
		i, ok := open[w.Lifetime]
		if w.Conditional || !ok || len(all[i]) == maxTxnEntries {
			i = len(all)
			all = append(all, nil)
			if !w.Conditional {
				open[w.Lifetime] = i
			}
		}
		all[i] = append(all[i], w)
	}
	return all
}

// writeBatch writes records of one lifetime in a transaction and reports whether their
// condition held.
func (d *Daemon) writeBatch(ctx context.Context, leases recordLeases, batch []crash.Write) (bool, error) {
	const op = "write record"
	lifetime := batch[0].Lifetime
	lease, err := leases.get(ctx, d.options.Store, lifetime)
	if err != nil {
		return false, &Error{op, KindStore, err}
	}
	var t fescuelatch.KVTxn
	for _, w := range batch {
		value, err := json.Marshal(w.Value)
		if err != nil {
			return false, &Error{op, KindInvalid, err}
		}
		key := d.options.Notation.RecordKey(crashRecordID(w.Kind, w.Name))
		t.Then = append(t.Then, fescuelatch.KVOp{Put: &fescuelatch.KVPut{Key: key, Value: value, Lease: lease}})
		if w.Conditional {
			t.If = append(t.If, fescuelatch.KVCompare{Key: key, Revision: w.Revision})
		}
	}
	r, err := d.options.Store.Txn(ctx, t)
	if err != nil {
		delete(leases, lifetime) // The store may no longer know it.
		return false, &Error{op, KindStore, err}
	}
	return r.Succeeded, nil
}
