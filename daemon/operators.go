package daemon

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/chart"
	"fescuelatch/claim"
	"fescuelatch/configstore"
	"fescuelatch/decision"
	"fescuelatch/gate"
	"fescuelatch/keyvalue"
	"fescuelatch/operator"
	"fescuelatch/ownership"
)

// This file defines the operator API of a daemon.

type operatorBackend Daemon

var _ operator.Backend = (*operatorBackend)(nil)

// Configuration implements operator.Backend. Before the first change, the
// configuration is empty and has generation zero.
func (o *operatorBackend) Configuration() *fescuelatch.Configuration {
	d := (*Daemon)(o)
	if v := d.holder.View(); v != nil {
		return v.Configuration
	}
	if d.learned.Load() {
		return new(fescuelatch.Configuration)
	}
	return nil
}

// Propose implements operator.Backend.
func (o *operatorBackend) Propose(ctx context.Context, c *fescuelatch.Change) (operator.ProposeResult, error) {
	d := (*Daemon)(o)
	next, err := d.store.Propose(ctx, c)
	if configstore.KindOf(err) == configstore.KindConflict {
		// Update the base of the operator's next change.
		d.catchUp(ctx)
	}
	if err != nil {
		return operator.ProposeResult{}, proposeError(err)
	}
	if _, err := d.holder.Activate(next); err != nil {
		d.log.Error("accepted configuration was not activated", "error", err.Error())
	}
	d.log.Info("change accepted", "change", c.ID, "author", c.Author, "generation", c.Generation())
	return operator.ProposeResult{Generation: c.Generation(), Change: c.ID, Accepted: true}, nil
}

func proposeError(err error) error {
	var e *configstore.Error
	if !errors.As(err, &e) {
		return err
	}
	kinds := map[configstore.ErrorKind]operator.ErrorKind{
		configstore.KindConflict:    operator.KindConflict,
		configstore.KindInvalid:     operator.KindFaults,
		configstore.KindUnavailable: operator.KindUnavailable,
	}
	kind, ok := kinds[e.Kind]
	if !ok {
		kind = operator.KindUnknown
	}
	if kind == operator.KindFaults && len(e.Faults) == 0 {
		kind = operator.KindInvalid
	}
	return &operator.Error{Op: e.Op, Kind: kind, Winner: e.Winner, Faults: e.Faults, RetryAfter: e.RetryAfter, Err: err}
}

// History implements operator.Backend.
func (o *operatorBackend) History(ctx context.Context, limit int) ([]fescuelatch.Change, error) {
	return (*Daemon)(o).store.History(ctx, limit)
}

// Ready implements operator.Backend.
func (o *operatorBackend) Ready() error {
	d := (*Daemon)(o)
	v := d.holder.View()
	switch state := d.life.State(); {
	case state != chart.DaemonReady && state != chart.DaemonCutOff:
		return errors.New(string(state))
	case v == nil:
		return errors.New("no configuration is in force")
	case v.VMOut(d.options.VM):
		return errors.New("this VM is out")
	case v.DomainOut(d.options.Domain):
		return errors.New("this failure domain is out")
	}
	return nil
}

// Metrics implements operator.Backend.
func (o *operatorBackend) Metrics() http.Handler { return (*Daemon)(o).options.MetricsHandler }

// Status implements operator.Backend.
func (o *operatorBackend) Status(context.Context) (operator.Status, error) {
	d := (*Daemon)(o)
	now := time.Now()
	s := operator.Status{
		VM: d.options.VM, Domain: d.options.Domain, Generation: d.holder.Generation(), Digest: d.holder.Digest(), At: now,
	}
	s.Platform.Reachable, s.Platform.Since = d.platformReachability.get()
	v := d.holder.View()
	if v == nil {
		return s, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range v.Domains() {
		s.Domains = append(s.Domains, d.domainStatus(now, v, id))
	}
	for _, m := range d.core.Versions(now) {
		s.Versions = append(s.Versions, operator.VersionStatus{
			ID: m.Version, Estimate: m.Estimate, Health: m.Health, Withdrawn: m.Withdrawn, Exposure: m.Exposure,
		})
	}
	s.Endpoints = d.endpointStatus(now, v)
	return s, nil
}

// domainStatus returns the known state of the daemons of a failure domain.
func (d *Daemon) domainStatus(now time.Time, v *fescuelatch.View, id fescuelatch.DomainID) operator.DomainStatus {
	s := operator.DomainStatus{ID: id, Out: v.DomainOut(id)}
	cut := true
	for _, m := range v.VMsIn(id) {
		q := d.daemonStatus(now, v, m)
		cut = cut && q.State == operator.DaemonUnresponsive
		s.Daemons = append(s.Daemons, q)
	}
	for i := range s.Daemons {
		if cut {
			s.Daemons[i].State = operator.DaemonCutOff
		}
	}
	return s
}

func (d *Daemon) daemonStatus(now time.Time, v *fescuelatch.View, m fescuelatch.VM) operator.DaemonStatus {
	q := operator.DaemonStatus{VM: m.ID, State: operator.DaemonUnresponsive, Out: v.VMOut(m.ID), Since: d.started}
	if m.ID == d.options.VM {
		q.State = operator.DaemonAlive
		q.Incarnation = d.incarnation
		q.Generation = v.Generation()
		return q
	}
	h, ok := d.hellos[m.ID]
	if !ok {
		return q
	}
	q.Incarnation = h.hello.Incarnation
	q.Generation = h.hello.Generation
	switch {
	case now.Sub(h.at) > inactivityTimeout:
		q.Since = h.at
	case h.hello.Leaving:
		q.State = operator.DaemonLeaving
		q.Since = h.at
	default:
		q.State = operator.DaemonAlive
		q.Since = h.first
	}
	return q
}

// inactivityTimeout is the age of a daemon's last message after which its
// status is unresponsive.
const inactivityTimeout = 5 * time.Second

func (d *Daemon) endpointStatus(now time.Time, v *fescuelatch.View) []operator.EndpointStatus {
	var es []operator.EndpointStatus
	for _, e := range v.Configuration.Inventory.Endpoints {
		q := operator.EndpointStatus{ID: e.ID, Domain: e.Domain, Out: v.EndpointOut(e)}
		if e.Domain == d.options.Domain {
			q.Owner, _ = d.table.OwnerOf(now, e.ID)
		}
		if r, ok := d.reports[e.ID]; ok && q.Owner == d.options.VM {
			q.State = r.report.State
			q.Running = r.report.Running
			q.Limit = r.report.Slots
		}
		es = append(es, q)
	}
	return es
}

// dump is the diagnostic state of a daemon.
type dump struct {
	VM          fescuelatch.VMID            `json:"vm"`
	Domain      fescuelatch.DomainID        `json:"failure-domain"`
	Incarnation fescuelatch.Incarnation     `json:"incarnation"`
	Started     time.Time                   `json:"started"`
	Generation  fescuelatch.Generation      `json:"generation"`
	Digest      string                      `json:"digest"`
	Life        chart.State                 `json:"state"`
	Open        int                         `json:"open-requests"`
	Members     []ownership.Member          `json:"members"`
	Owned       []fescuelatch.OwnedEndpoint `json:"owned"`
	Spares      []fescuelatch.Spare         `json:"spares"`
	Versions    []decision.VersionState     `json:"versions"`
	Domains     []decision.DomainState      `json:"failure-domains"`
	Evidence    []fescuelatch.Evidence      `json:"evidence"`
	Claims      claim.Stats                 `json:"claims"`
	Gate        any                         `json:"gate,omitempty"`
	Bills       billing.Stats               `json:"bills"`
	Copies      billing.CopyStoreStats      `json:"bill-copies"`
	Batches     keyvalue.BatcherStats       `json:"platform-batches"`
	Reports     []fescuelatch.LoadReport    `json:"reports"`
	Peers       []peerDump                  `json:"peers"`
}

type peerDump struct {
	VM         fescuelatch.VMID       `json:"vm"`
	Generation fescuelatch.Generation `json:"generation"`
	Heard      time.Time              `json:"heard"`
	Spares     []fescuelatch.Spare    `json:"spares"`
}

// dumper is a gate that can return the state of its endpoints.
type dumper interface {
	Dump(now time.Time) []gate.EndpointDump
}

var _ dumper = (*gate.Adaptive)(nil)

// Dump implements operator.Backend.
func (o *operatorBackend) Dump(context.Context) (any, error) {
	d := (*Daemon)(o)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := dump{
		VM: d.options.VM, Domain: d.options.Domain, Incarnation: d.incarnation, Started: d.started,
		Generation: d.holder.Generation(), Digest: d.holder.Digest(),
		Open: d.core.Open(), Members: d.table.Members(now), Owned: d.table.Owned(now), Versions: d.core.Versions(now),
		Domains: d.core.Domains(), Life: d.life.State(),
	}
	s.Spares, s.Evidence = d.core.Summary(now)
	if g, ok := d.options.Core.Gate.(dumper); ok {
		s.Gate = g.Dump(now)
	}
	s.Claims = d.claims.Stats()
	s.Bills = d.ledger.Stats()
	s.Copies = d.keeper.Stats()
	s.Batches = d.batcher.Stats()
	for _, r := range d.reports {
		s.Reports = append(s.Reports, r.report)
	}
	sort.Slice(s.Reports, func(i, j int) bool { return s.Reports[i].Endpoint < s.Reports[j].Endpoint })
	for vm, h := range d.hellos {
		s.Peers = append(s.Peers, peerDump{VM: vm, Generation: h.hello.Generation, Heard: h.at, Spares: h.hello.Spares})
	}
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].VM < s.Peers[j].VM })
	return s, nil
}
