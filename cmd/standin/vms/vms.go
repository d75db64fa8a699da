// Package vms simulates the platform's list of VMs, which lags.
package vms

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
)

// This file defines the list of VMs.

const maxRequestBytes = 1 << 20 // bytes

// Settings configure the list.
type Settings struct {
	Listen netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Lag    time.Duration  `arg:"--lag,env:STANDIN_LAG" default:"2s" help:"lag of the list"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	return server.Run(ctx, log, s.Listen, New(Faults{Lag: s.Lag}).Handler())
}

// Faults are the faults of the list.
type Faults struct {
	// Lag is the age of the list in a response.
	Lag time.Duration `json:"lag"`
	// Outage closes all connections.
	Outage bool `json:"outage"`
}

// list is the body of GET and POST /vms.
type list struct {
	VMs []fescuelatch.ListedVM `json:"vms"`
}

// List serves the list of VMs.
type List struct {
	faults server.Faults[Faults]
	states server.LaggingValue[list]
}

// New returns an empty list.
func New(f Faults) *List {
	l := new(List)
	l.faults.Set(f)
	l.states.Add(time.Now(), list{VMs: []fescuelatch.ListedVM{}})
	return l
}

// Handler returns the HTTP handler.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &l.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/vms", l.get).Methods(http.MethodGet)
	r.HandleFunc("/vms", l.set).Methods(http.MethodPost)
	return r
}

// get responds with the list as it was one lag ago.
func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	f := l.faults.Get()
	if f.Outage {
		server.Abort()
	}
	server.WriteJSON(w, http.StatusOK, l.states.At(time.Now().Add(-f.Lag)))
}

// set replaces the current list.
func (l *List) set(w http.ResponseWriter, r *http.Request) {
	var v list
	if !server.ReadJSON(w, r, maxRequestBytes, &v) {
		return
	}
	l.states.Add(time.Now(), v)
	server.WriteJSON(w, http.StatusOK, v)
}
