package asynclog_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/asynclog"
)

// blockedWriter blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// TestStoppedReader checks that a stopped reader does not block callers, that
// warnings take precedence over ordinary lines, and that dropped lines are
// reported.
func TestStoppedReader(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := asynclog.New(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	began := time.Now()
	for range 5000 {
		log.Info("ordinary")
	}
	for range 100 {
		log.Warn("important")
	}
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
	c.Check(w.Dropped() > 0, qt.IsTrue)
	close(out.unblock)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Check(strings.Count(out.text.String(), "important"), qt.Equals, 100)
	c.Check(strings.Contains(out.text.String(), "log lines were dropped"), qt.IsTrue)
}

func BenchmarkLine(b *testing.B) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	w := asynclog.New(out)
	defer w.Close()
	log := slog.New(slog.NewJSONHandler(w, nil))
	for b.Loop() {
		// The attributes are those of a request on the users' platform.
		log.Info("request ended", "request", "c1f0b1d0a7f2e9c4", "route", "thread-review", "outcome", "answered", "reason", "",
			"account", "kigali", "version", "lm:small@v1", "endpoint", "i-0123456789", "session", true, "attempts", 1,
			"took", "120.5ms", "generation", 7, "store-age", "35ms")
	}
}
