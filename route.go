package fescuelatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// This file defines deployments: the routes of opaque requests, the services
// behind them and the request limits, as set by operators of a platform.

// RouteID names a route.
type RouteID string

// ReleaseID names a software release of a service's endpoints. An endpoint
// serves the versions of its release.
type ReleaseID string

// NewVersionID returns the version of a model in a release.
func NewVersionID(m ModelID, r ReleaseID) VersionID { return VersionID(string(m) + "@" + string(r)) }

// Model returns the part of a version before its release.
func (v VersionID) Model() ModelID {
	m, _, _ := strings.Cut(string(v), "@")
	return ModelID(m)
}

// Release returns the part of a version after its model.
func (v VersionID) Release() ReleaseID {
	_, r, _ := strings.Cut(string(v), "@")
	return ReleaseID(r)
}

// RequestKind defines how often a request may run and how it is answered.
type RequestKind string

// Kinds of requests.
const (
	// RequestRepeatable may run any number of times.
	RequestRepeatable RequestKind = "repeatable"
	// RequestOnce runs at most once.
	RequestOnce RequestKind = "once"
	// RequestStream runs at most once and is answered by a stream of events.
	RequestStream RequestKind = "stream"
	// RequestResumable is answered by a stream of events that another
	// endpoint can continue after the last received event.
	RequestResumable RequestKind = "resumable-stream"
)

// Repeatable reports whether a request of this kind may run again after an
// attempt that may have run.
func (k RequestKind) Repeatable() bool { return k == RequestRepeatable || k == RequestResumable }

// Streamed reports whether requests of this kind are answered by a stream.
func (k RequestKind) Streamed() bool { return k == RequestStream || k == RequestResumable }

// Route defines how requests for a host and a path prefix are served.
type Route struct {
	ID         RouteID
	Host       string
	PathPrefix string
	Kind       RequestKind
	Targets    []RouteTarget
	// Timeout limits the time to the end of the answer.
	Timeout time.Duration
	// TargetLatency is the target time to the answer, or to the first event
	// of a stream; TargetGap is the target time between events.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// MaxAttempts limits the endpoints that one request is sent to.
	MaxAttempts int
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Public requests need no key.
	Public bool
	// Sized routes let the router choose among the models of
	// RouteTarget.Ladder; otherwise callers name the model.
	Sized bool
}

// RouteTarget is a service that receives a share of a route's requests.
type RouteTarget struct {
	Service ServiceID
	// Weight is the share relative to the other targets of the route.
	Weight float64
	// Ladder lists the models that may answer, cheapest first.
	Ladder []ModelID
}

// DeployedService is a service with interchangeable endpoints.
type DeployedService struct {
	ID ServiceID
	// Models lists the models of a model engine, or the service itself for a
	// plain service.
	Models []DeployedModel
	// Connections limits the connections to one endpoint from all daemons;
	// zero means unlimited.
	Connections int
	// ColdRate is the number of requests per second that a cold endpoint
	// tolerates; zero means unlimited.
	ColdRate float64
	// CacheTokens is the size of an engine's prompt cache.
	CacheTokens int
}

// DeployedModel is a model of a service. Costs are in millionths of the
// billing currency per thousand tokens.
type DeployedModel struct {
	ID         ModelID
	PromptCost int64
	OutputCost int64
}

// RequestLimits are the limits on callers' requests.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment holds all settings by operators of a platform, at one generation.
// It is immutable once returned by NewDeployment.
type Deployment struct {
	Generation Generation
	Routes     []Route
	Services   []DeployedService
	Accounts   []Account
	// AccountRanks overrides the ranks of routes for some accounts.
	AccountRanks map[AccountID]int
	Limits       RequestLimits
	// Unused lists the parts of the configuration that cannot be used and are left out.
	Unused []Fault

	byHost map[string][]*Route
}

// NewDeployment returns d with its routes indexed. If d is invalid, it reports KindInvalid
// with the first fault.
func NewDeployment(d Deployment) (*Deployment, error) {
	if fs := d.Validate(); len(fs) > 0 {
		return nil, &Error{"index deployment", KindInvalid, errors.Errorf("%d faults, first: %s", len(fs), fs[0])}
	}
	d.byHost = make(map[string][]*Route)
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return &d, nil
}

// Match returns the route of host whose prefix of path is longest, or nil. A
// port in host is ignored.
func (d *Deployment) Match(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service of the deployment.
func (d *Deployment) Service(id ServiceID) (DeployedService, bool) {
	i := slices.IndexFunc(d.Services, func(s DeployedService) bool { return s.ID == id })
	if i < 0 {
		return DeployedService{}, false
	}
	return d.Services[i], true
}

// Registration is the data with which an endpoint registers.
type Registration struct {
	Endpoint Endpoint  `json:"endpoint"`
	Service  ServiceID `json:"service"`
	Release  ReleaseID `json:"release"`
	Slots    int       `json:"slots"`
	Leaving  bool      `json:"leaving,omitempty"`
	// ColdFor is the remaining time of the endpoint's cold start.
	ColdFor time.Duration `json:"cold-for-ns,omitempty"`
	// ProcessStarted distinguishes successive processes with the same identifier.
	ProcessStarted int64 `json:"born"`
	// Sequence increases with each registration of a process.
	Sequence int64 `json:"sequence"`
}

// Supersedes reports whether r supersedes o, a registration of the same
// endpoint: o is older than or as old as r.
func (r Registration) Supersedes(o Registration) bool {
	if r.ProcessStarted != o.ProcessStarted {
		return r.ProcessStarted > o.ProcessStarted
	}
	return r.Sequence >= o.Sequence
}

// RolloutOrder is an operator's order to move a service's requests to a release.
type RolloutOrder struct {
	Service ServiceID
	Target  ReleaseID
	// Duration is the duration of the rollout.
	Duration time.Duration
	// Revision identifies the order: a repeated order has a new revision.
	Revision int64
	// Era is the store's era when the order was read.
	Era int64
}

// Reissued reports whether o is the order r, written again after the store was
// restored from a backup.
func (r RolloutOrder) Reissued(o RolloutOrder) bool {
	return o.Era > r.Era && o.Service == r.Service && o.Target == r.Target && o.Duration == r.Duration
}

// RolloutState is the state of a rollout that all daemons agreed on.
type RolloutState string

// States of a rollout.
const (
	RolloutInProgress RolloutState = "in-progress"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// RolloutStatus is the recorded state of a service's last rollout.
type RolloutStatus struct {
	Service ServiceID
	Target  ReleaseID
	State   RolloutState
	// Revision is the record's revision within Era, for a conditional write.
	Revision int64
	Era      int64
}

// AppliesTo reports whether the status belongs to an order: it was recorded after
// the order and has the same target.
func (s RolloutStatus) AppliesTo(o RolloutOrder) bool {
	return s.Target == o.Target && s.Era >= o.Era && (s.Era > o.Era || s.Revision > o.Revision)
}

// PromptPart is a leading part of a prompt. Engines cache parts in order: a
// part is a cache hit only if all parts before it are.
type PromptPart struct {
	ID     string
	Tokens int
}
