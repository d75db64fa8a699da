package server

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type testFaults struct {
	Name  string         `json:"name"`
	Drop  Chance         `json:"drop"`
	Parts map[string]int `json:"parts"`
}

func post(f http.Handler, body string) int {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body)))
	return w.Code
}

func TestFaultsMerge(t *testing.T) {
	c := qt.New(t)
	var f Faults[testFaults]
	f.Set(testFaults{Name: "a", Parts: map[string]int{"x": 1}})
	before := f.Get()
	changed := f.Changed()
	c.Assert(post(&f, `{"parts":{"y":2},"drop":{"next":2}}`), qt.Equals, http.StatusOK)
	<-changed
	c.Assert(f.Get(), qt.DeepEquals, testFaults{
		Name: "a", Drop: Chance{Next: 2}, Parts: map[string]int{"x": 1, "y": 2},
	})
	c.Assert(before.Parts, qt.DeepEquals, map[string]int{"x": 1})
	c.Assert(post(&f, `{"unknown":1}`), qt.Equals, http.StatusBadRequest)
	c.Assert(f.Get().Name, qt.Equals, "a")
}

func TestChance(t *testing.T) {
	c := qt.New(t)
	var f Faults[testFaults]
	drop := func() bool { return f.Fires(func(v *testFaults) *Chance { return &v.Drop }) }
	c.Assert(drop(), qt.IsFalse)
	f.Set(testFaults{Drop: Chance{Next: 1}})
	c.Assert(drop(), qt.IsTrue)
	c.Assert(drop(), qt.IsFalse)
	f.Set(testFaults{Drop: Chance{Probability: 1}})
	c.Assert(drop(), qt.IsTrue)
	c.Assert(drop(), qt.IsTrue)
}

func TestLag(t *testing.T) {
	c := qt.New(t)
	var l LaggingValue[int]
	begin := time.Now()
	c.Assert(l.At(begin), qt.Equals, 0)
	for i := 1; i <= 3; i++ {
		l.Add(begin.Add(time.Duration(i)*time.Second), i)
	}
	c.Assert(l.At(begin), qt.Equals, 1)
	c.Assert(l.At(begin.Add(2500*time.Millisecond)), qt.Equals, 2)
	c.Assert(l.At(begin.Add(time.Hour)), qt.Equals, 3)
}

func TestLimiter(t *testing.T) {
	c := qt.New(t)
	var l Limiter
	c.Assert(l.Allow(0.01), qt.IsTrue)
	c.Assert(l.Allow(0.01), qt.IsFalse)
	c.Assert(l.Allow(0), qt.IsTrue)
}

// logBuffer is a writer that extracts the address that Run logs.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.Write(b)
}

func (l *logBuffer) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var line struct {
		Address string `json:"address"`
	}
	_ = json.Unmarshal(l.bytes.Bytes(), &line)
	return line.Address
}

func TestRunStopsGracefully(t *testing.T) {
	c := qt.New(t)
	entered := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(100 * time.Millisecond)
		WriteJSON(w, http.StatusOK, "whole")
	})
	ctx, stop := context.WithCancel(context.Background())
	var out logBuffer
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, slog.New(slog.NewJSONHandler(&out, nil)), netip.MustParseAddrPort("127.0.0.1:0"), h)
	}()
	for out.address() == "" {
		time.Sleep(time.Millisecond)
	}
	status := make(chan int, 1)
	go func() {
		r, err := http.Get("http://" + out.address())
		if err != nil {
			status <- 0
			return
		}
		defer r.Body.Close()
		status <- r.StatusCode
	}()
	<-entered
	stop()
	c.Assert(<-status, qt.Equals, http.StatusOK)
	c.Assert(<-done, qt.IsNil)
}

func TestRunReportsAddressInUse(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	err := Run(context.Background(), slog.New(slog.DiscardHandler), a, http.NotFoundHandler())
	var e *Error
	c.Assert(err, qt.ErrorAs, &e)
	c.Assert(e.Op, qt.Equals, "listen")
}
