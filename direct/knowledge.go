package direct

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines what a daemon knows from the platform's store.

// lapseTime is how long removals are held after the store was away. Entries
// of endpoints and daemons lapse while it is, and live ones write theirs again
// within about two seconds.
const lapseTime = 2 * time.Second

// knowledge is what the store says, as far as it is known here. It is not safe
// for concurrent use.
type knowledge struct {
	notation fescuelatch.Notation
	log      *slog.Logger

	deployment *fescuelatch.Deployment
	endpoints  map[fescuelatch.EndpointID]registered
	out        map[fescuelatch.DomainID]bool
	orders     map[fescuelatch.ServiceID]fescuelatch.RolloutOrder
	statuses   map[fescuelatch.ServiceID]fescuelatch.RolloutStatus
	// members are the daemons that are known to live, by their records, and
	// records the other ones of the daemons' own.
	members map[fescuelatch.VMID]member
	records map[string]fescuelatch.KeyValue

	// items holds every key, for daemons that start while the store is away.
	items map[string]fescuelatch.KeyValue
	// revision is that up to which the store is known, in an era.
	revision int64
	era      int64
	// copied is the revision from which on everything was written in this era,
	// when the store came back from a copy. It is zero otherwise.
	copied int64
	// restoredAt is when the store was last seen to have come back from a copy.
	restoredAt time.Time
	// read reports that the store itself, or a daemon that follows it, has told
	// everything.
	read bool
	// writes is the usual progress of the revision.
	writes writeRate
	// passedOn reports that the changes being applied were read from the store by
	// another daemon.
	passedOn bool
	// heldUntil is the end of the time in which removals are held because
	// their writers may not have reached the store, and held the keys that
	// were removed with the ends of their own times.
	heldUntil time.Time
	held      map[string]time.Time
	// gone holds the last registrations of endpoints that are gone.
	gone *simplelru.LRU[fescuelatch.EndpointID, fescuelatch.Registration]
	// journal holds the changes in substance, for daemons that follow the
	// store through this one.
	journal journal
}

// registered is an endpoint's registration and when it was learned.
type registered struct {
	fescuelatch.Registration
	at time.Time
}

// same reports whether a registration says the same in substance: endpoints
// write theirs again and again, and a cold start goes on by itself.
func (r registered) same(o fescuelatch.Registration) bool {
	longer := o.ColdFor > 0 && (r.ColdFor == 0 || o.ColdFor > r.ColdFor)
	o.ColdFor, o.Sequence = r.ColdFor, r.Sequence
	return r.Registration == o && !longer
}

func newKnowledge(n fescuelatch.Notation, log *slog.Logger) *knowledge {
	// The size is a positive constant, which is all that is checked.
	gone, _ := simplelru.NewLRU[fescuelatch.EndpointID, fescuelatch.Registration](maxGone, nil)
	return &knowledge{
		notation: n, log: log, gone: gone,
		endpoints: make(map[fescuelatch.EndpointID]registered),
		out:       make(map[fescuelatch.DomainID]bool),
		orders:    make(map[fescuelatch.ServiceID]fescuelatch.RolloutOrder),
		statuses:  make(map[fescuelatch.ServiceID]fescuelatch.RolloutStatus),
		members:   make(map[fescuelatch.VMID]member),
		records:   make(map[string]fescuelatch.KeyValue),
		items:     make(map[string]fescuelatch.KeyValue),
		held:      make(map[string]time.Time),
		journal:   newJournal(),
	}
}

// returned begins the time after an outage in which removals are held, unless
// the changes show that the store was there all the while and only this daemon
// could not reach it: then endpoints have gone on writing and none has lapsed.
// Where the store has lost its history, only its revision tells.
func (k *knowledge) returned(now time.Time, missed fescuelatch.Changes) {
	before, present := k.writes.revision, k.writes.present(now, missed.Revision)
	k.writes.skip(now, missed.Revision)
	if present {
		k.log.Info("the store was there while this daemon could not reach it",
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
		if n >= regularWrites {
			regular++
		}
	}
	if 2*regular > len(k.endpoints) {
		k.log.Info("the store was there while this daemon could not reach it", "endpoints-writing", regular)
		return
	}
	k.heldUntil = now.Add(lapseTime)
}

// regularWrites is the number of writes that show that an endpoint has reached
// the store for longer than a store that has just returned is there.
const regularWrites = 2

// apply takes in changes in the order of their revisions. They are of the era
// that is known, or the first.
func (k *knowledge) apply(now time.Time, c fescuelatch.Changes) {
	k.era = max(k.era, c.Era)
	for _, i := range c.Items {
		if i.Removed {
			k.remove(now, i.KeyValue, k.lapsesUntil(i.Key))
		} else {
			k.put(now, i.KeyValue)
		}
	}
	k.revision = max(k.revision, c.Revision)
	k.writes.observe(now, k.revision)
}

// replace takes in everything that the store holds: what is missing has been
// removed, unless the store has come back from a copy that did not have it.
func (k *knowledge) replace(now time.Time, c fescuelatch.Changes) {
	restored := k.earlier(c.Era)
	if restored {
		k.restored(now, c)
	}
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
	}
	for key := range k.items {
		if _, held := k.held[key]; held || present[key] {
			continue
		}
		until := k.lapsesUntil(key)
		if restored {
			until = now.Add(k.rewriteTime(key))
		}
		k.remove(now, fescuelatch.KeyValue{Key: key, Revision: c.Revision, Era: c.Era}, until)
	}
	k.revision, k.era, k.read = 0, max(k.era, c.Era), true
	k.apply(now, c)
}

// settle carries out the removals that were held, once their time is over. It
// reports whether there were any.
func (k *knowledge) settle(now time.Time) bool {
	settled := false
	for key, until := range k.held {
		if now.Before(until) {
			continue
		}
		k.forget(key)
		delete(k.held, key)
		settled = true
	}
	return settled
}

func (k *knowledge) put(now time.Time, kv fescuelatch.KeyValue) {
	subject := k.notation.Subject(kv.Key)
	before, known := k.items[kv.Key]
	if k.outdated(subject, kv) {
		if known {
			delete(k.held, kv.Key)
			kv.Value = before.Value
			k.items[kv.Key] = kv
		}
		return
	}
	if known && !kv.After(before) {
		delete(k.held, kv.Key)
		return
	}
	k.items[kv.Key] = kv
	delete(k.held, kv.Key)
	endpoint, registered := k.endpoints[fescuelatch.EndpointID(subject.ID)]
	err := k.decode(now, subject, kv)
	if err != nil || subject.Kind != fescuelatch.SubjectEndpoint || !registered ||
		!endpoint.same(k.endpoints[fescuelatch.EndpointID(subject.ID)].Registration) {
		k.journal.add(fescuelatch.StoredItem{KeyValue: kv})
	}
	if err != nil {
		k.log.Warn("entry of the store cannot be used", "key", kv.Key, "revision", kv.Revision, "era", kv.Era, "error", err.Error())
	}
}

// decode takes in one entry. An entry that cannot be decoded takes the place
// of what its key said before: it names nothing.
func (k *knowledge) decode(now time.Time, s fescuelatch.Subject, kv fescuelatch.KeyValue) error {
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(kv.Value)
		if err != nil {
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		if k.deployment == nil || d.Generation > k.deployment.Generation {
			k.deployment = d
			k.log.Info("configuration in force", "generation", d.Generation, "revision", kv.Revision,
				"routes", len(d.Routes), "services", len(d.Services), "accounts", len(d.Accounts))
		}
	case fescuelatch.SubjectEndpoint:
		r, err := k.notation.Registration(s.ID, kv.Value)
		if err != nil {
			delete(k.endpoints, fescuelatch.EndpointID(s.ID))
			return err //nolint:wrapcheck // The caller logs it with the key.
		}
		k.register(now, r, kv.Revision)
	case fescuelatch.SubjectDomainOut:
		k.out[fescuelatch.DomainID(s.ID)] = true
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
	case fescuelatch.SubjectRecord:
		vm, ok := strings.CutPrefix(s.ID, recordDaemon)
		if !ok {
			k.records[s.ID] = kv
			return nil
		}
		// One whose record cannot be used lives, but is no source.
		var m member
		err := json.Unmarshal(kv.Value, &m)
		k.members[fescuelatch.VMID(vm)] = m
		return err //nolint:wrapcheck // The caller logs it with the key.
	}
	return nil
}

func (k *knowledge) register(now time.Time, r fescuelatch.Registration, revision int64) {
	id := r.Endpoint.ID
	before, known := k.endpoints[id]
	k.endpoints[id] = registered{r, now}
	if !known || before.Born != r.Born || before.Leaving != r.Leaving {
		k.logEndpoint("endpoint registered", "endpoint", id, "address", r.Endpoint.Address.String(), "service", r.Service, "release", r.Release,
			"failure-domain", r.Endpoint.Domain, "leaving", r.Leaving, "cold-for", r.ColdFor.String(), "revision", revision)
	}
}

// logEndpoint logs what is learned of an endpoint: in full where the store has
// said it, and for debugging only where another daemon has, whose log has it.
func (k *knowledge) logEndpoint(message string, args ...any) {
	level := slog.LevelInfo
	if k.passedOn {
		level = slog.LevelDebug
	}
	k.log.Log(context.Background(), level, message, args...)
}

// remove takes in that a key is gone, at once or at the end of the time in which
// it may be written again.
func (k *knowledge) remove(now time.Time, kv fescuelatch.KeyValue, until time.Time) {
	before, known := k.items[kv.Key]
	if !known || before.After(kv) {
		return
	}
	if now.Before(until) {
		k.held[kv.Key] = until
		return
	}
	delete(k.held, kv.Key)
	k.forget(kv.Key)
}

// lapsesUntil returns until when the removal of a key is held because its writer
// may not have reached the store.
func (k *knowledge) lapsesUntil(key string) time.Time {
	s := k.notation.Subject(key)
	if s.Kind == fescuelatch.SubjectEndpoint || s.Kind == fescuelatch.SubjectRecord {
		return k.heldUntil
	}
	return time.Time{}
}

func (k *knowledge) forget(key string) {
	removal := fescuelatch.KeyValue{Key: key, Revision: k.revision, Era: k.era}
	if k.items[key].After(removal) {
		removal.Revision = k.items[key].Revision
	}
	k.journal.add(fescuelatch.StoredItem{KeyValue: removal, Removed: true})
	delete(k.items, key)
	s := k.notation.Subject(key)
	switch s.Kind {
	case fescuelatch.SubjectEndpoint:
		if e, ok := k.endpoints[fescuelatch.EndpointID(s.ID)]; ok {
			k.gone.Add(e.Endpoint.ID, e.Registration)
		}
		delete(k.endpoints, fescuelatch.EndpointID(s.ID))
		k.logEndpoint("endpoint gone", "endpoint", s.ID)
	case fescuelatch.SubjectDomainOut:
		delete(k.out, fescuelatch.DomainID(s.ID))
		k.log.Info("failure domain back", "failure-domain", s.ID)
	case fescuelatch.SubjectRollout:
		delete(k.orders, fescuelatch.ServiceID(s.ID))
	case fescuelatch.SubjectStatus:
		delete(k.statuses, fescuelatch.ServiceID(s.ID))
	case fescuelatch.SubjectRecord:
		if vm, ok := strings.CutPrefix(s.ID, recordDaemon); ok {
			delete(k.members, fescuelatch.VMID(vm))
		} else {
			delete(k.records, s.ID)
		}
	}
}

// everything returns all keys.
func (k *knowledge) everything() []fescuelatch.StoredItem {
	all := make([]fescuelatch.StoredItem, 0, len(k.items))
	for _, kv := range k.items {
		all = append(all, fescuelatch.StoredItem{KeyValue: kv})
	}
	return all
}

// usable reports whether requests can be served by what is known.
func (k *knowledge) usable() bool { return k.deployment != nil && len(k.endpoints) > 0 }

// Records of the daemons' own, by the beginning of their identifiers.
const (
	recordDaemon   = "daemons/"
	recordProgress = "progress/"
	recordEvidence = "evidence/"
)
