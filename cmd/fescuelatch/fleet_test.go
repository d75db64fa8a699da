package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/inventory"
	"fescuelatch/operator"
)

const testKey = "operator-key"

// cutOffSince is when a failure domain is cut off in tests.
var cutOffSince = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// fakeFleet is an in-memory fleet behind one operator address. The zero value
// of each failure mode is a healthy fleet.
type fakeFleet struct {
	mu            sync.Mutex
	configuration *fescuelatch.Configuration
	changes       []fescuelatch.Change
	// failure, when set, is returned for every change.
	failure error
	// competing, when set, is accepted before the next change.
	competing func(c *fescuelatch.Configuration)
	// cutOff names a failure domain that stays at generation 1.
	cutOff fescuelatch.DomainID
	// lag is the number of statuses that still show the previous generation.
	lag int
	// statusFails makes every status request fail.
	statusFails bool
	// loseAnswers breaks the connection of each change after the change took
	// effect, loseRequests before.
	loseAnswers  bool
	loseRequests bool
}

var _ operator.Backend = (*fakeFleet)(nil)

// newFakeFleet returns a fleet with an example active at generation 1.
func newFakeFleet(c *qt.C, example string) *fakeFleet {
	c.Helper()
	conf, err := inventory.Read("../../examples/" + example)
	c.Assert(err, qt.IsNil)
	f := &fakeFleet{configuration: new(fescuelatch.Configuration)}
	f.replace(conf, "c1", "amahoro")
	return f
}

// replace makes the content of next active.
func (f *fakeFleet) replace(next *fescuelatch.Configuration, id fescuelatch.ChangeID, author string) {
	change := fescuelatch.Diff(f.configuration, next)
	change.ID, change.Author, change.At = id, author, cutOffSince
	f.accept(&change)
}

func (f *fakeFleet) accept(change *fescuelatch.Change) error {
	next, err := f.configuration.Apply(change)
	if err != nil {
		return err
	}
	f.configuration = next
	f.changes = append([]fescuelatch.Change{*change}, f.changes...)
	return nil
}

func (f *fakeFleet) Configuration() *fescuelatch.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuration
}

func (f *fakeFleet) Propose(_ context.Context, change *fescuelatch.Change) (operator.ProposeResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return operator.ProposeResult{}, f.failure
	}
	if f.competing != nil {
		next := *f.configuration
		f.competing(&next)
		f.replace(&next, "rival", "uwase")
		f.competing = nil
	}
	for n := range f.changes {
		if c := &f.changes[n]; c.Base == change.Base && c.ID != change.ID {
			return operator.ProposeResult{}, &operator.Error{Op: "propose", Kind: operator.KindConflict, Winner: c}
		} else if c.ID == change.ID {
			return operator.ProposeResult{Generation: c.Generation(), Change: c.ID, Accepted: true}, nil
		}
	}
	if err := f.accept(change); err != nil {
		return operator.ProposeResult{}, err
	}
	return operator.ProposeResult{Generation: change.Generation(), Change: change.ID, Accepted: true}, nil
}

func (f *fakeFleet) History(_ context.Context, limit int) ([]fescuelatch.Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes[:min(limit, len(f.changes))], nil
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.statusFails {
		return operator.Status{}, errors.New("no status")
	}
	conf := f.configuration
	s := operator.Status{
		VM: conf.Inventory.VMs[0].ID, Domain: conf.Inventory.VMs[0].Domain,
		Generation: conf.Generation, Platform: operator.PlatformStatus{Reachable: true},
	}
	for _, d := range conf.Inventory.Domains {
		ds := operator.DomainStatus{ID: d.ID}
		for _, v := range conf.Inventory.VMs {
			if v.Domain == d.ID {
				ds.Daemons = append(ds.Daemons, f.daemonStatus(v))
			}
		}
		s.Domains = append(s.Domains, ds)
	}
	for _, v := range conf.Inventory.Versions {
		s.Versions = append(s.Versions, operator.VersionStatus{ID: v.ID, Health: fescuelatch.HealthGood})
	}
	for _, e := range conf.Inventory.Endpoints {
		s.Endpoints = append(s.Endpoints, operator.EndpointStatus{ID: e.ID, Domain: e.Domain, State: fescuelatch.EndpointWarm, Limit: 4})
	}
	f.lag = max(f.lag-1, 0)
	return s, nil
}

func (f *fakeFleet) daemonStatus(v fescuelatch.VM) operator.DaemonStatus {
	m := operator.DaemonStatus{VM: v.ID, State: operator.DaemonAlive, Generation: f.configuration.Generation}
	if f.lag > 0 {
		m.Generation--
	}
	if v.Domain == f.cutOff {
		m.State, m.Since, m.Generation = operator.DaemonCutOff, cutOffSince, 1
	}
	return m
}

func (f *fakeFleet) Dump(context.Context) (any, error) { return map[string]int{"queue": 3}, nil }

func (f *fakeFleet) Ready() error { return nil }

func (f *fakeFleet) Metrics() http.Handler { return http.NotFoundHandler() }

// serve serves the fleet at a loopback address until the test ends.
func (f *fakeFleet) serve(t *testing.T) string {
	t.Helper()
	h := operator.NewHandler(operator.Options{Key: testKey, Backend: f})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		post := r.Method == http.MethodPost
		if post && f.loseAnswers {
			h.ServeHTTP(httptest.NewRecorder(), r)
		}
		if post && (f.loseAnswers || f.loseRequests) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// result is the outcome of a run of the command line.
type result struct {
	code exitCode
	out  string
	err  string
}

// invoke runs the command line as the operator "test" with a key.
func invoke(ctx context.Context, stdin string, argv ...string) result {
	var out, errs bytes.Buffer
	code := run(ctx, argv, streams{in: io.Reader(strings.NewReader(stdin)), out: &out, err: &errs})
	return result{code: code, out: out.String(), err: errs.String()}
}
