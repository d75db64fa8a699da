package operator_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/operator"
)

// exchange is the simulated fate of one request.
type exchange string

const (
	exchangeCompleted   exchange = "whole"
	exchangeRefused     exchange = "refused"       // no connection
	exchangeLost        exchange = "lost"          // the request never arrives
	exchangeAnswerLost  exchange = "answer-lost"   // it takes effect
	exchangeLate        exchange = "late"          // it takes effect some time later
	exchangeUnavailable exchange = "unavailable"   // the platform is unavailable
	exchangeUnknown     exchange = "unknown"       // 504, without effect
	exchangeUnknownDone exchange = "unknown-done"  // 504, with effect
	exchangeRivalFirst  exchange = "rival-first"   // another operator's change is stored before
	exchangeRivalAfter  exchange = "rival-after"   // and after
	exchangeFaults      exchange = "faults-claims" // a daemon answers 422
)

var exchanges = []exchange{
	exchangeCompleted, exchangeRefused, exchangeLost, exchangeAnswerLost, exchangeLate, exchangeUnavailable,
	exchangeUnknown, exchangeUnknownDone, exchangeRivalFirst, exchangeRivalAfter, exchangeFaults,
}

// storeFleet simulates daemons that share one store of changes. It is an
// http.RoundTripper, so that exchanges take no time.
type storeFleet struct {
	mu      sync.Mutex
	next    func() exchange
	changes []fescuelatch.Change // by generation
	pending []fescuelatch.Change
	mode    exchange
	// faulty is set once a daemon has rejected the change with faults; from
	// then on no daemon accepts it, as the faults are in its content.
	faulty bool
}

var _ http.RoundTripper = (*storeFleet)(nil)

// commit stores c if its base is the newest generation. It returns the change
// that has the generation of c.
func (f *storeFleet) commit(c fescuelatch.Change) fescuelatch.Change {
	if int(c.Base) == len(f.changes) && !f.faulty {
		f.changes = append(f.changes, c)
	}
	if int(c.Base) < len(f.changes) {
		return f.changes[c.Base]
	}
	return fescuelatch.Change{}
}

func (f *storeFleet) commitRival() {
	n := len(f.changes)
	f.changes = append(f.changes, fescuelatch.Change{ID: "rival", Base: fescuelatch.Generation(n)})
}

func (f *storeFleet) flush() {
	for _, c := range f.pending {
		f.commit(c)
	}
	f.pending = nil
}

// RoundTrip implements http.RoundTripper.
func (f *storeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = f.next()
	switch f.mode {
	case exchangeRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	case exchangeLost:
		return nil, errors.New("connection reset")
	case exchangeRivalFirst:
		f.commitRival()
	case exchangeCompleted:
		f.flush()
	}
	w := httptest.NewRecorder()
	operator.NewHandler(operator.Options{Key: testKey, Backend: (*storeBackend)(f)}).ServeHTTP(w, r)
	if f.mode == exchangeAnswerLost || f.mode == exchangeLate {
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

// storeBackend is a daemon of a storeFleet. Its methods run under the fleet's
// lock.
type storeBackend storeFleet

var _ operator.Backend = (*storeBackend)(nil)

func (b *storeBackend) Propose(_ context.Context, c *fescuelatch.Change) (operator.ProposeResult, error) {
	f := (*storeFleet)(b)
	fail := func(k operator.ErrorKind) (operator.ProposeResult, error) {
		return operator.ProposeResult{}, &operator.Error{Op: "propose", Kind: k}
	}
	switch f.mode {
	case exchangeUnavailable:
		return fail(operator.KindUnavailable)
	case exchangeUnknown:
		return fail(operator.KindUnknown)
	case exchangeUnknownDone:
		f.commit(*c)
		return fail(operator.KindUnknown)
	case exchangeLate:
		f.pending = append(f.pending, *c)
		return fail(operator.KindUnknown)
	case exchangeFaults:
		// A change that has been accepted before has no faults.
		if int(c.Base) >= len(f.changes) && len(f.pending) == 0 {
			f.faulty = true
			return fail(operator.KindFaults)
		}
	}
	winner := f.commit(*c)
	if f.mode == exchangeRivalAfter {
		f.commitRival()
	}
	if f.faulty && winner.ID == "" {
		return fail(operator.KindFaults)
	}
	if winner.ID != c.ID {
		return operator.ProposeResult{}, &operator.Error{Op: "propose", Kind: operator.KindConflict, Winner: &f.changes[len(f.changes)-1]}
	}
	return operator.ProposeResult{Generation: c.Generation(), Change: c.ID, Accepted: true}, nil
}

func (b *storeBackend) History(_ context.Context, limit int) ([]fescuelatch.Change, error) {
	var out []fescuelatch.Change
	for n := len(b.changes) - 1; n >= 0 && len(out) < limit; n-- {
		out = append(out, b.changes[n])
	}
	return out, nil
}

func (b *storeBackend) Configuration() *fescuelatch.Configuration { return nil }

func (b *storeBackend) Status(context.Context) (operator.Status, error) {
	return operator.Status{}, nil
}

func (b *storeBackend) Dump(context.Context) (any, error) { return nil, nil }

func (b *storeBackend) Ready() error { return nil }

func (b *storeBackend) Metrics() http.Handler { return http.NotFoundHandler() }

// proposeWithExchanges proposes a change while exchanges follow plan, whose
// last entry repeats. It returns the error kind that Propose reported, and an
// error if the report contradicts the store.
func proposeWithExchanges(plan []exchange) (operator.ErrorKind, error) {
	const limit = 150 * time.Millisecond
	n := 0
	f := &storeFleet{next: func() exchange {
		n++
		return plan[min(n, len(plan))-1]
	}}
	change := &fescuelatch.Change{ID: "mine", Base: 0, Digest: "d"}
	cl := &operator.Client{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
		Key:       testKey, HTTP: &http.Client{Transport: f},
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := cl.Propose(ctx, change)
	// Pending requests arrive after the command has ended.
	f.flush()
	stored := len(f.changes) > 0 && f.changes[0].ID == change.ID
	k := kindOf(err)
	switch {
	case err == nil && (!stored || r.Generation != 1):
		return k, errors.Errorf("reported as accepted as generation %d, store has %v", r.Generation, f.changes)
	case err != nil && k != operator.KindUnknown && stored:
		return k, errors.Errorf("reported as having no effect (%v), but is stored", err)
	}
	return k, nil
}

func TestProposeThroughExchanges(t *testing.T) {
	tests := []struct {
		plan []exchange
		want operator.ErrorKind
	}{
		{[]exchange{exchangeCompleted}, ""},
		{[]exchange{exchangeRefused}, operator.KindUnavailable},
		{[]exchange{exchangeUnavailable}, operator.KindUnavailable},
		{[]exchange{exchangeLost}, operator.KindUnknown},
		{[]exchange{exchangeLost, exchangeUnavailable}, operator.KindUnknown},
		{[]exchange{exchangeAnswerLost, exchangeCompleted}, ""},
		{[]exchange{exchangeAnswerLost}, operator.KindUnknown},
		{[]exchange{exchangeLate, exchangeUnavailable}, operator.KindUnknown},
		{[]exchange{exchangeLate, exchangeCompleted}, ""},
		{[]exchange{exchangeLate, exchangeRivalFirst}, operator.KindConflict},
		{[]exchange{exchangeUnknown}, operator.KindUnknown},
		{[]exchange{exchangeUnknownDone}, ""},
		{[]exchange{exchangeRivalFirst}, operator.KindConflict},
		{[]exchange{exchangeRivalAfter}, ""},
		{[]exchange{exchangeFaults}, operator.KindFaults},
		{[]exchange{exchangeLost, exchangeFaults}, operator.KindUnknown},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.plan), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			k, err := proposeWithExchanges(tt.plan)
			c.Assert(err, qt.IsNil)
			c.Assert(k, qt.Equals, tt.want)
		})
	}
}

// Propose must report the outcome correctly for any sequence of exchange
// failures: an accepted change is in the store, and a change reported as having
// no effect is never stored, not even by a pending request.
func TestProposeReportsOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(exchanges), 1, 8).Draw(t, "exchanges")
		if _, err := proposeWithExchanges(plan); err != nil {
			t.Fatal(err)
		}
	})
}
