package rating

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the rating service.

const (
	maxRequestBytes = 8 << 20 // bytes
	scoreGood       = 0.9
	scoreBad        = 0.1
)

// Settings configure the rating service.
type Settings struct {
	Listen netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Noise  float64        `arg:"--noise,env:STANDIN_NOISE" default:"0.1" help:"scores vary by up to this"`
	Flip   float64        `arg:"--flip,env:STANDIN_FLIP" default:"0" help:"probability that a good answer is scored as bad or the reverse"`
	Lag    time.Duration  `arg:"--lag,env:STANDIN_LAG" default:"100ms" help:"time of a rating"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	r := New(Faults{Noise: s.Noise, Flip: s.Flip, Lag: s.Lag})
	return server.Run(ctx, log, s.Listen, r.Handler())
}

// Faults are the faults of the rating service.
type Faults struct {
	// Noise is the maximum deviation of a score, Flip the probability of
	// confusing good and bad.
	Noise float64 `json:"noise"`
	Flip  float64 `json:"flip"`
	// Lag is the duration of a rating.
	Lag time.Duration `json:"lag"`
	// Outage closes all connections.
	Outage bool `json:"outage"`
}

type request struct {
	Version fescuelatch.VersionID `json:"version"`
	Prompt  string                `json:"prompt"`
	Answer  string                `json:"answer"`
}

type response struct {
	Score float64 `json:"score"`
}

// Rater serves ratings.
type Rater struct {
	faults server.Faults[Faults]
	rated  atomic.Int64
}

// New returns a rater with the given faults.
func New(f Faults) *Rater {
	r := new(Rater)
	r.faults.Set(f)
	return r
}

// Handler returns the HTTP handler.
func (t *Rater) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &t.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/ratings", t.rate).Methods(http.MethodPost)
	r.HandleFunc("/counts", t.counts).Methods(http.MethodGet)
	return r
}

func (t *Rater) rate(w http.ResponseWriter, r *http.Request) {
	var q request
	if !server.ReadJSON(w, r, maxRequestBytes, &q) {
		return
	}
	f := t.faults.Get()
	if f.Outage || !pause.For(r.Context(), f.Lag) {
		server.Abort()
	}
	t.rated.Add(1)
	server.WriteJSON(w, http.StatusOK, response{f.score(q.Answer)})
}

// score returns the score of an answer, from 0 to 1.
func (f *Faults) score(answer string) float64 {
	good := !strings.Contains(answer, Marker)
	if rand.Float64() < f.Flip {
		good = !good
	}
	s := scoreBad
	if good {
		s = scoreGood
	}
	s += f.Noise * (2*rand.Float64() - 1)
	return min(1, max(0, s))
}

func (t *Rater) counts(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, struct {
		Ratings int64 `json:"ratings"`
	}{t.rated.Load()})
}
