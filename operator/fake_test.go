package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/operator"
)

const testKey = "operator-key"

// fakeBackend is a backend that returns the values of its fields. It accepts
// changes unless failure is set.
type fakeBackend struct {
	mu            sync.Mutex
	configuration *fescuelatch.Configuration
	failure       error
	changes       []fescuelatch.Change
	status        operator.Status
	notReady      error
}

var _ operator.Backend = (*fakeBackend)(nil)

func (b *fakeBackend) Configuration() *fescuelatch.Configuration { return b.configuration }

func (b *fakeBackend) Propose(ctx context.Context, c *fescuelatch.Change) (operator.ProposeResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil {
		return operator.ProposeResult{}, b.failure
	}
	if err := ctx.Err(); err != nil {
		return operator.ProposeResult{}, err
	}
	b.changes = append([]fescuelatch.Change{*c}, b.changes...)
	return operator.ProposeResult{Generation: c.Generation(), Change: c.ID, Accepted: true}, nil
}

func (b *fakeBackend) History(_ context.Context, limit int) ([]fescuelatch.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes[:min(limit, len(b.changes))], nil
}

func (b *fakeBackend) Status(context.Context) (operator.Status, error) { return b.status, nil }

func (b *fakeBackend) Dump(context.Context) (any, error) { return map[string]int{"queue": 3}, nil }

func (b *fakeBackend) Ready() error { return b.notReady }

func (b *fakeBackend) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "requests 1\n") })
}

// serve serves h on a loopback address until the test ends.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func serveBackend(t *testing.T, b operator.Backend) netip.AddrPort {
	t.Helper()
	return serve(t, operator.NewHandler(operator.Options{Key: testKey, Backend: b}))
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	s.Close()
	return a
}

// dropAnswers passes requests to h and breaks the connection of each POST after
// h has handled it, so that the answer is lost.
func dropAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// errBroken is a failure after which the outcome is unknown.
var errBroken = errors.New("broken")
