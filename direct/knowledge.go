package direct

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
	"fescuelatch/internal/stall"
)

// This file defines a daemon's view of the platform's store.

// removalHoldWindow is how long removals are held after the store was unavailable.
// Entries of endpoints and daemons expire during the outage, and live writers write
// theirs again within about two seconds.
const removalHoldWindow = 2 * time.Second

// storeView is the last known state of the store. It is not safe for concurrent
// use.
type storeView struct {
	notation fescuelatch.StoreCodec
	log      *slog.Logger

	deployment *fescuelatch.Deployment
	endpoints  map[fescuelatch.EndpointID]registeredEndpoint
	domainsOut map[fescuelatch.DomainID]bool
	orders     map[fescuelatch.ServiceID]fescuelatch.RolloutOrder
	statuses   map[fescuelatch.ServiceID]fescuelatch.RolloutStatus
	// members holds the registered daemons, and records the other records written
	// by daemons.
	members map[fescuelatch.VMID]member
	records map[string]fescuelatch.KeyValue
	// findings is what is known of the releases that were ordered, and storedFindings what the
	// store has of it.
	findings, storedFindings map[fescuelatch.ServiceID]findings
	// formerMembers holds the last records of daemons whose records are gone.
	formerMembers *simplelru.LRU[fescuelatch.VMID, formerMember]
	// memberChanges counts the changes of members.
	memberChanges int

	// items holds every key, for daemons that start while the store is unavailable.
	items map[string]fescuelatch.KeyValue
	// unusable holds the keys whose latest values cannot be used.
	unusable map[string]bool
	// revision is the latest known revision of the store, and era the era in which
	// it counts.
	revision int64
	era      int64
	// decisive is the version since which nothing has changed that decides how requests are
	// handled: the deployment, failure domains taken out, rollouts and findings.
	decisive fescuelatch.StateVersion
	// restoredRevision is the revision at which the store was restored from a
	// backup: later ones were written in this era. It is zero if there was no
	// restore.
	restoredRevision int64
	// restoredAt is when the last restore of the store was detected.
	restoredAt time.Time
	// synced reports whether everything has been read, from the store itself or
	// from a daemon that follows it.
	synced bool
	// writes is the usual rate of growth of the revision.
	writes writeRate
	// copied reports that a copy has replaced the state since the rollouts were updated.
	copied bool
	// relayed reports whether the changes being applied come from another daemon
	// that has read them from the store.
	relayed bool
	// holding is the window in which removals are held because their writers may not
	// have reached the store. heldRemovals holds the removed keys with their own windows.
	holding      hold
	heldRemovals map[string]hold
	// stalls are the times in which this daemon did not run; nil if there are none.
	stalls *stall.Log
	// removedEndpoints holds the last registrations of endpoints that are gone.
	removedEndpoints *simplelru.LRU[fescuelatch.EndpointID, fescuelatch.Registration]
	// journal holds the changes that matter, for daemons that follow the store
	// through this one.
	journal journal
}

// minHeldStall is the shortest stall that prolongs the window of a hold. In a shorter one this
// daemon misses no call to the store.
const minHeldStall = followInterval

// hold is a window in which removals are held. Only the time in which this daemon runs
// counts, as it reads nothing of what is written again in the rest.
type hold struct {
	since  time.Time
	window time.Duration
}

// isHolding reports whether a window has not ended.
func (k *storeView) isHolding(now time.Time, h hold) bool {
	return h.window > 0 && k.stalls.Ran(h.since, now, minHeldStall) < h.window
}

// registeredEndpoint is an endpoint's registration and when it was received.
type registeredEndpoint struct {
	fescuelatch.Registration
	receivedAt time.Time
}

// equivalent reports whether a registration changes nothing that matters: endpoints
// rewrite theirs regularly, and a cold start counts down by itself.
func (r registeredEndpoint) equivalent(o fescuelatch.Registration) bool {
	longer := o.ColdFor > 0 && (r.ColdFor == 0 || o.ColdFor > r.ColdFor)
	o.ColdFor, o.Sequence = r.ColdFor, r.Sequence
	return r.Registration == o && !longer
}

func newStoreView(n fescuelatch.StoreCodec, log *slog.Logger) *storeView {
	// The only error is that of a size which is not positive.
	removed, _ := simplelru.NewLRU[fescuelatch.EndpointID, fescuelatch.Registration](maxRemovedEndpoints, nil)
	former, _ := simplelru.NewLRU[fescuelatch.VMID, formerMember](maxFormerMembers, nil)
	return &storeView{
		notation: n, log: log, removedEndpoints: removed, formerMembers: former,
		endpoints:  make(map[fescuelatch.EndpointID]registeredEndpoint),
		domainsOut: make(map[fescuelatch.DomainID]bool),
		orders:     make(map[fescuelatch.ServiceID]fescuelatch.RolloutOrder),
		statuses:   make(map[fescuelatch.ServiceID]fescuelatch.RolloutStatus),
		members:    make(map[fescuelatch.VMID]member),
		records:    make(map[string]fescuelatch.KeyValue),
		findings:   make(map[fescuelatch.ServiceID]findings), storedFindings: make(map[fescuelatch.ServiceID]findings),
		items:        make(map[string]fescuelatch.KeyValue),
		unusable:     make(map[string]bool),
		heldRemovals: make(map[string]hold),
		journal:      newJournal(),
	}
}

// reconnected begins to hold removals after an outage, unless the missed changes
// show that the store was available and only this daemon could not reach it: then
// endpoints have kept writing and none has expired. When the store's history is
// gone, only its revision can show this.
func (k *storeView) reconnected(now time.Time, missed fescuelatch.Changes) {
	before, available := k.writes.revision, k.writes.wasAvailable(now, missed.Revision)
	k.writes.reset(now, missed.Revision)
	if available {
		k.log.Info("store was available while this daemon could not reach it",
			"revision", missed.Revision, "revision-before", before, "usual-writes-per-second", k.writes.perSecond)
		return
	}
	writes := make(map[string]int)
	for _, i := range missed.Items {
		if !i.Removed && k.notation.Subject(i.Key).Kind == fescuelatch.SubjectEndpoint {
			writes[i.Key]++
		}
	}
	regular := 0
	for _, n := range writes {
		if n >= minRegularWrites {
			regular++
		}
	}
	if 2*regular > len(k.endpoints) {
		k.log.Info("store was available while this daemon could not reach it", "endpoints-writing", regular)
		return
	}
	k.holding = hold{now, removalHoldWindow}
}

// minRegularWrites is the number of writes by an endpoint which shows that the
// store has not only just become available again.
const minRegularWrites = 2

// apply merges changes in the order of their revisions. They must be of the known
// era, or of the first one known.
func (k *storeView) apply(now time.Time, c fescuelatch.Changes) {
	k.era = max(k.era, c.Era)
	for _, i := range c.Items {
		if i.Removed {
			k.remove(now, i.KeyValue, k.removalHold(i.Key))
		} else {
			k.put(now, i.KeyValue)
		}
	}
	k.revision = max(k.revision, c.Revision)
	k.writes.observe(now, k.revision)
}

// replace merges a full copy of the store. Keys missing from it have been removed,
// unless the store was restored from a backup that lacks them.
func (k *storeView) replace(now time.Time, c fescuelatch.Changes) {
	restored := k.beforeEra(c.Era)
	if restored {
		k.beginRestore(now, c)
	}
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
	}
	for key := range k.items {
		if _, held := k.heldRemovals[key]; held || present[key] {
			continue
		}
		h := k.removalHold(key)
		if restored {
			h = hold{now, k.rewriteWindow(key)}
		}
		k.remove(now, fescuelatch.KeyValue{Key: key, Revision: c.Revision, Era: c.Era}, h)
	}
	k.revision, k.era, k.synced, k.copied = 0, max(k.era, c.Era), true, true
	k.apply(now, c)
}

// expireHeldRemovals removes the held keys whose windows have ended, and reports whether there
// were any.
func (k *storeView) expireHeldRemovals(now time.Time) bool {
	settled := false
	for key, h := range k.heldRemovals {
		if k.isHolding(now, h) {
			continue
		}
		k.deleteKey(now, key)
		delete(k.heldRemovals, key)
		settled = true
	}
	return settled
}

func (k *storeView) put(now time.Time, kv fescuelatch.KeyValue) {
	subject := k.notation.Subject(kv.Key)
	before, known := k.items[kv.Key]
	if k.outdated(subject, kv) {
		if known {
			delete(k.heldRemovals, kv.Key)
			kv.Value = before.Value
			k.items[kv.Key] = kv
		}
		return
	}
	if known && !kv.After(before) {
		delete(k.heldRemovals, kv.Key)
		return
	}
	k.items[kv.Key] = kv
	delete(k.heldRemovals, kv.Key)
	k.recordDecisive(subject, kv)
	endpoint, registered := k.endpoints[fescuelatch.EndpointID(subject.ID)]
	err := k.decode(now, subject, kv)
	after, stillRegistered := k.endpoints[fescuelatch.EndpointID(subject.ID)]
	if subject.Kind != fescuelatch.SubjectEndpoint || registered != stillRegistered ||
		registered && !endpoint.equivalent(after.Registration) {
		k.journal.add(fescuelatch.StoredItem{KeyValue: kv})
	}
	k.recordUsable(kv, err)
}

// recordUsable records whether the value of a key can be used. It is logged once that it
// cannot, since writers repeat their entries.
func (k *storeView) recordUsable(kv fescuelatch.KeyValue, err error) {
	if err == nil {
		delete(k.unusable, kv.Key)
		return
	}
	if !k.unusable[kv.Key] {
		k.log.Warn("entry of the store cannot be used", "key", kv.Key, "revision", kv.Revision, "era", kv.Era, "error", err.Error())
	}
	k.unusable[kv.Key] = true
}

// decode merges one entry. An endpoint whose entry cannot be decoded is
// unregistered.
func (k *storeView) decode(now time.Time, s fescuelatch.Subject, kv fescuelatch.KeyValue) error {
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(kv.Value)
		if err != nil {
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		if err := checkAccounts(d); err != nil {
			return err
		}
		if k.deployment == nil || d.Generation > k.deployment.Generation {
			k.deployment = d
			k.log.Info("configuration in force", "generation", d.Generation, "revision", kv.Revision,
				"routes", len(d.Routes), "services", len(d.Services), "accounts", len(d.Accounts))
			k.logUnused(d)
		}
	case fescuelatch.SubjectEndpoint:
		r, err := k.notation.Registration(s.ID, kv.Value)
		if err != nil {
			delete(k.endpoints, fescuelatch.EndpointID(s.ID))
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		k.register(now, r, kv.Revision)
	case fescuelatch.SubjectDomainOut:
		k.domainsOut[fescuelatch.DomainID(s.ID)] = true
		k.log.Info("failure domain taken out", "failure-domain", s.ID, "revision", kv.Revision)
	case fescuelatch.SubjectRollout:
		o, err := k.notation.RolloutOrder(kv)
		if err != nil {
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		k.orders[o.Service] = o
	case fescuelatch.SubjectStatus:
		st, err := k.notation.RolloutStatus(kv)
		if err != nil {
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		k.statuses[st.Service] = st
		k.learnStatus(st)
	case fescuelatch.SubjectRecord:
		vm, ok := strings.CutPrefix(s.ID, recordDaemon)
		if !ok {
			k.records[s.ID] = kv
			if service, ok := strings.CutPrefix(s.ID, recordFindings); ok {
				return k.learnRecord(fescuelatch.ServiceID(service), kv.Value)
			}
			return checkRecord(s.ID, kv.Value)
		}
		// A daemon whose record cannot be decoded counts, but is no source.
		var m member
		err := json.Unmarshal(kv.Value, &m)
		k.members[fescuelatch.VMID(vm)] = m
		k.memberChanges++
		return err //nolint:wrapcheck // The caller logs it with the key.
	}
	return nil
}

// maxLoggedParts bounds the parts of a configuration that are logged as unused.
const maxLoggedParts = 16

// logUnused logs the parts of a configuration that cannot be used.
func (k *storeView) logUnused(d *fescuelatch.Deployment) {
	for _, f := range d.Unused[:min(len(d.Unused), maxLoggedParts)] {
		k.log.Warn("part of the configuration cannot be used", "generation", d.Generation, "part", f.Path, "error", f.Message, "parts", len(d.Unused))
	}
}

func (k *storeView) register(now time.Time, r fescuelatch.Registration, revision int64) {
	id := r.Endpoint.ID
	before, known := k.endpoints[id]
	k.endpoints[id] = registeredEndpoint{r, now}
	if !known || before.ProcessStarted != r.ProcessStarted || before.Leaving != r.Leaving {
		k.logEndpoint("endpoint registered", "endpoint", id, "address", r.Endpoint.Address.String(), "service", r.Service, "release", r.Release,
			"failure-domain", r.Endpoint.Domain, "leaving", r.Leaving, "cold-for", r.ColdFor.String(), "revision", revision)
	}
}

// logEndpoint logs a change of an endpoint: at level info when it was read from the
// store, and at level debug when another daemon relayed it, which has logged it
// itself.
func (k *storeView) logEndpoint(message string, args ...any) {
	level := slog.LevelInfo
	if k.relayed {
		level = slog.LevelDebug
	}
	k.log.Log(context.Background(), level, message, args...)
}

// remove handles the removal of a key, at once or at the end of the window in which
// the key may be written again.
func (k *storeView) remove(now time.Time, kv fescuelatch.KeyValue, h hold) {
	before, known := k.items[kv.Key]
	if !known || before.After(kv) {
		return
	}
	if k.isHolding(now, h) {
		k.heldRemovals[kv.Key] = h
		return
	}
	delete(k.heldRemovals, kv.Key)
	k.recordDecisive(k.notation.Subject(kv.Key), kv)
	k.deleteKey(now, kv.Key)
}

// recordDecisive records a change of an entry.
func (k *storeView) recordDecisive(s fescuelatch.Subject, kv fescuelatch.KeyValue) {
	switch s.Kind {
	case fescuelatch.SubjectRecord:
		if !strings.HasPrefix(s.ID, recordFindings) {
			return
		}
	case fescuelatch.SubjectDeployment, fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout, fescuelatch.SubjectStatus:
	default:
		return
	}
	k.decisive = k.decisive.Join(fescuelatch.StateVersion{Era: kv.Era, Revision: kv.Revision})
}

// version returns the version of the known state.
func (k *storeView) version() fescuelatch.StateVersion {
	return fescuelatch.StateVersion{Era: k.era, Revision: k.revision, Generation: k.generation()}
}

// decisiveVersion returns the version that a daemon must know to handle requests as this one does.
func (k *storeView) decisiveVersion() fescuelatch.StateVersion {
	v := k.decisive
	v.Generation = k.generation()
	return v
}

// generation returns the generation of the deployment in force, or zero.
func (k *storeView) generation() fescuelatch.Generation {
	if k.deployment == nil {
		return 0
	}
	return k.deployment.Generation
}

// removalHold returns the window in which the removal of a key is held because its writer
// may not have reached the store. Daemons write their records again later than endpoints.
func (k *storeView) removalHold(key string) hold {
	s := k.notation.Subject(key)
	switch {
	case s.Kind == fescuelatch.SubjectRecord && strings.HasPrefix(s.ID, recordDaemon) && k.holding.window > 0:
		return hold{k.holding.since, recordRewriteWindow}
	case s.Kind == fescuelatch.SubjectEndpoint || s.Kind == fescuelatch.SubjectRecord:
		return k.holding
	}
	return hold{}
}

func (k *storeView) deleteKey(now time.Time, key string) {
	removal := fescuelatch.KeyValue{Key: key, Revision: k.revision, Era: k.era}
	if k.items[key].After(removal) {
		removal.Revision = k.items[key].Revision
	}
	k.journal.add(fescuelatch.StoredItem{KeyValue: removal, Removed: true})
	delete(k.items, key)
	delete(k.unusable, key)
	s := k.notation.Subject(key)
	switch s.Kind {
	case fescuelatch.SubjectEndpoint:
		if e, ok := k.endpoints[fescuelatch.EndpointID(s.ID)]; ok {
			k.removedEndpoints.Add(e.Endpoint.ID, e.Registration)
		}
		delete(k.endpoints, fescuelatch.EndpointID(s.ID))
		k.logEndpoint("endpoint gone", "endpoint", s.ID)
	case fescuelatch.SubjectDomainOut:
		delete(k.domainsOut, fescuelatch.DomainID(s.ID))
		k.log.Info("failure domain back", "failure-domain", s.ID)
	case fescuelatch.SubjectRollout:
		delete(k.orders, fescuelatch.ServiceID(s.ID))
	case fescuelatch.SubjectStatus:
		delete(k.statuses, fescuelatch.ServiceID(s.ID))
	case fescuelatch.SubjectRecord:
		if vm, ok := strings.CutPrefix(s.ID, recordDaemon); ok {
			k.removeMember(now, fescuelatch.VMID(vm))
		} else {
			delete(k.records, s.ID)
			if service, ok := strings.CutPrefix(s.ID, recordFindings); ok {
				delete(k.storedFindings, fescuelatch.ServiceID(service))
			}
		}
	}
}

// allItems returns all keys with their values.
func (k *storeView) allItems() []fescuelatch.StoredItem {
	all := make([]fescuelatch.StoredItem, 0, len(k.items))
	for _, kv := range k.items {
		all = append(all, fescuelatch.StoredItem{KeyValue: kv})
	}
	return all
}

// usable reports whether the known state suffices to serve requests.
func (k *storeView) usable() bool { return k.deployment != nil && len(k.endpoints) > 0 }

// Prefixes of the identifiers of records that daemons write.
const (
	recordDaemon   = "daemons/"
	recordProgress = "progress/"
	recordEvidence = "evidence/"
)
