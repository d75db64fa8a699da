package direct

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/rpc"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/rollout"
)

// This file defines the control server for operators and other daemons.

// Paths of the control server.
const (
	pathPeers   = "/peer"
	pathMetrics = "/metrics"
	pathStatus  = "/status"
	pathState   = "/state"
	pathExplain = "/explain"
	pathDaemons = "/daemons"
)

func (d *Daemon) controlHandler() http.Handler {
	m := mux.NewRouter()
	peers := rpc.NewServer()
	if err := peers.RegisterName(peerService, &peerServer{d}); err != nil {
		d.log.Error("peer service cannot be registered", "error", err.Error())
	}
	m.Path(pathPeers).HandlerFunc(d.servePeer(peers))
	if d.options.Scrape != nil {
		m.Methods(http.MethodGet).Path(pathMetrics).Handler(d.options.Scrape)
	}
	m.Methods(http.MethodGet).Path(pathStatus).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.Status()) })
	m.Methods(http.MethodGet).Path(pathState).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.State()) })
	m.Methods(http.MethodGet).Path(pathDaemons).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { d.writeJSON(w, d.KnownDaemons()) })
	m.Methods(http.MethodPost).Path(pathExplain).HandlerFunc(d.serveExplain)
	return m
}

// linksPerMember is how many connections each other daemon may open: as a follower, for permits and
// slots, and to pass requests on.
const linksPerMember = 3

// minLinks returns how many connections of other daemons there may be at least.
func (d *Daemon) minLinks() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return linksPerMember * d.members
}

func (d *Daemon) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		d.log.Debug("writing an answer to an operator failed", "error", err.Error())
	}
}

// Status is a summary of a daemon's state.
type Status struct {
	VM         fescuelatch.VMID                       `json:"vm"`
	Domain     fescuelatch.DomainID                   `json:"failure-domain"`
	Life       chart.State                            `json:"state"`
	Ready      bool                                   `json:"ready"`
	Isolated   bool                                   `json:"isolated"`
	Generation fescuelatch.Generation                 `json:"generation"`
	StoreAge   string                                 `json:"store-age"`
	Daemons    int                                    `json:"daemons"`
	Endpoints  int                                    `json:"endpoints"`
	Open       int                                    `json:"open-requests"`
	Rollouts   map[fescuelatch.ServiceID]RolloutState `json:"roll-outs"`
	DomainsOut []fescuelatch.DomainID                 `json:"failure-domains-out"`
}

// RolloutState is the state of a rollout.
type RolloutState struct {
	Release  fescuelatch.ReleaseID `json:"release"`
	State    chart.State           `json:"state"`
	Share    float64               `json:"share"`
	Evidence rollout.Evidence      `json:"evidence"`
}

// Status returns a summary of the daemon's state.
func (d *Daemon) Status() Status {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{
		VM: d.options.VM, Domain: d.options.Domain, Life: d.life.State(), Ready: d.ready(), Isolated: d.isolated.Load(),
		StoreAge: d.store.age(now).Round(time.Millisecond).String(), Daemons: d.members,
		Endpoints: len(d.storeView.endpoints), Open: len(d.requests),
		Rollouts: make(map[fescuelatch.ServiceID]RolloutState),
	}
	if d.storeView.deployment != nil {
		s.Generation = d.storeView.deployment.Generation
	}
	for id, r := range d.rollouts {
		s.Rollouts[id] = RolloutState{r.Order().Target, r.State(), r.Share(now), r.Evidence()}
	}
	for id := range d.storeView.domainsOut {
		s.DomainsOut = append(s.DomainsOut, id)
	}
	return s
}

// State is a dump of a daemon's known state, for operators.
type State struct {
	Status
	Endpoints []EndpointState `json:"endpoints"`
}

// EndpointState is a daemon's current view of an endpoint.
type EndpointState struct {
	fescuelatch.Registration
	Age string `json:"age"`
	// Limit is the rate limit that the endpoint names, if any.
	Limit *fescuelatch.RateLimit `json:"rate-limit,omitempty"`
	// ServiceTime is the estimated service time relative to the other endpoints of its
	// versions, if it is known to differ.
	ServiceTime float64 `json:"service-time,omitempty"`
}

// State returns a dump of the daemon's known state.
func (d *Daemon) State() State {
	s := State{Status: d.Status()}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(d.storeView.endpoints)) {
		e := d.storeView.endpoints[id]
		state := EndpointState{Registration: e.Registration, Age: time.Since(e.receivedAt).Round(time.Millisecond).String()}
		if l := d.gate.Limit(id); l.Limited {
			state.Limit = &l
		}
		if t := rounded(d.gate.ServiceTime(time.Now(), id)); t != 1 {
			state.ServiceTime = t
		}
		s.Endpoints = append(s.Endpoints, state)
	}
	return s
}
