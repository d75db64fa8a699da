package fescuelatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// This file defines deployments: the routes of opaque requests, the services
// behind them and the limits on what callers send, as operators of a platform
// set them.

// RouteID names a route.
type RouteID string

// ReleaseID names a release of the software of a service's endpoints. The
// versions that an endpoint serves are those of its release.
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

// RequestKind says how often a request may run and how it is answered.
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
	// endpoint can go on with after the last one that was received.
	RequestResumable RequestKind = "resumable-stream"
)

// Repeatable reports whether a request of this kind may run again after an
// attempt that may have run.
func (k RequestKind) Repeatable() bool { return k == RequestRepeatable || k == RequestResumable }

// Streamed reports whether requests of this kind are answered by a stream.
func (k RequestKind) Streamed() bool { return k == RequestStream || k == RequestResumable }

// Route says how the requests of a host below a path are served.
type Route struct {
	ID         RouteID
	Host       string
	PathPrefix string
	Kind       RequestKind
	Targets    []RouteTarget
	// Timeout bounds the time to the end of the answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a
	// stream, that operators aim at; TargetGap is that between events.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Public requests need no key.
	Public bool
	// Sized routes leave the choice among the models of Target.Ladder to the
	// router; otherwise callers name the model.
	Sized bool
}

// RouteTarget is a service that a share of a route's requests goes to.
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
	// Models are those of a model engine, or the service itself for a plain
	// service.
	Models []DeployedModel
	// Connections bounds those to one endpoint from all daemons; zero means
	// no bound.
	Connections int
	// ColdRate is the number of requests a second that an endpoint tolerates
	// while it is cold; zero means no bound.
	ColdRate float64
	// CacheTokens is the size of an engine's prompt cache.
	CacheTokens int
}

// DeployedModel is a model of a service. Costs are in millionths of the
// billing currency for a thousand tokens.
type DeployedModel struct {
	ID         ModelID
	PromptCost int64
	OutputCost int64
}

// RequestLimits bound what callers may send.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is everything that operators of a platform have set, at one
// generation. It is frozen once it has been returned by NewDeployment.
type Deployment struct {
	Generation Generation
	Routes     []Route
	Services   []DeployedService
	Accounts   []Account
	// AccountRanks replace the ranks of routes for some accounts.
	AccountRanks map[AccountID]int
	Limits       RequestLimits

	byHost map[string][]*Route
}

// NewDeployment returns d with its routes indexed.
func NewDeployment(d Deployment) *Deployment {
	d.byHost = make(map[string][]*Route)
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return &d
}

// Match returns the route of a host with the longest prefix of path, or nil.
// A port in the host is ignored.
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

// Registration is what an endpoint says of itself when it registers.
type Registration struct {
	Endpoint Endpoint  `json:"endpoint"`
	Service  ServiceID `json:"service"`
	Release  ReleaseID `json:"release"`
	Slots    int       `json:"slots"`
	Leaving  bool      `json:"leaving,omitempty"`
	// ColdFor is how much longer the endpoint stays cold.
	ColdFor time.Duration `json:"cold-for-ns,omitempty"`
	// Born tells apart successive processes of the same identifier.
	Born int64 `json:"born"`
	// Sequence grows with what a process says of itself.
	Sequence int64 `json:"sequence"`
}

// Outdates reports whether o, of the same endpoint, was said before r or at the
// same time.
func (r Registration) Outdates(o Registration) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	return r.Sequence >= o.Sequence
}

// RolloutOrder asks to move a service's requests to a release.
type RolloutOrder struct {
	Service ServiceID
	Target  ReleaseID
	// Within is the time that the order gives.
	Within time.Duration
	// Revision identifies the order: a repeated order has another one.
	Revision int64
	// Era is that of the store in which the order was read.
	Era int64
}

// Reissued reports whether o is the same order as r, written again after the
// store has come back from a copy.
func (r RolloutOrder) Reissued(o RolloutOrder) bool {
	return o.Era > r.Era && o.Service == r.Service && o.Target == r.Target && o.Within == r.Within
}

// RolloutState is how far a roll-out has come, as all daemons agreed on.
type RolloutState string

// States of a roll-out.
const (
	RolloutInProgress RolloutState = "in-progress"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// RolloutStatus is the recorded state of a service's last roll-out.
type RolloutStatus struct {
	Service ServiceID
	Target  ReleaseID
	State   RolloutState
	// Revision is that of the record, for a conditional write, in an Era.
	Revision int64
	Era      int64
}

// Answers reports whether the status is about an order: it was recorded after
// the order and names the same target.
func (s RolloutStatus) Answers(o RolloutOrder) bool {
	return s.Target == o.Target && s.Era >= o.Era && (s.Era > o.Era || s.Revision > o.Revision)
}

// PromptPart is a leading part of a prompt. Engines cache parts in order, so
// that a part is only found together with all parts before it.
type PromptPart struct {
	ID     string
	Tokens int
}
