package direct_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests a whole daemon while its store comes back from a copy.

const (
	otherKey  = "key-of-musanze"
	recordKey = "fescuelatch/daemons/vm-1"
)

// TestStoreComesBack has the store come back, after a moment or twice in quick
// succession, from a copy that is older than a revoked key and than the
// daemon's record.
func TestStoreComesBack(t *testing.T) {
	tests := []struct {
		name   string
		drills int
		away   fakeplatform.Fault
	}{
		{"while it hangs", 1, fakeplatform.FaultSilent},
		{"after it was away", 1, fakeplatform.FaultReset},
		{"in the middle of a watch", 1, fakeplatform.FaultNone},
		{"twice", 2, fakeplatform.FaultNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, "desk", 2)
			before := s.store.Copy()
			s.awaitReady()
			s.eventually(func() bool { _, ok := s.store.Get(recordKey); return ok })
			s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(2, otherKey))
			s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })

			var lost []string
			for range test.drills {
				s.store.SetFault(test.away)
				time.Sleep(100 * time.Millisecond)
				lost = s.store.Restore(before)
				s.store.SetFault(fakeplatform.FaultNone)
				for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
					s.Check(s.lookup(callerKey), qt.Equals, http.StatusUnauthorized)
					s.Check(s.lookup(otherKey), qt.Equals, http.StatusOK)
				}
			}
			s.eventually(func() bool { _, ok := s.store.Get(recordKey); return ok })
			for _, key := range lost {
				s.store.Rewrite(key)
			}
			s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(3, callerKey))
			s.eventually(func() bool { return s.lookup(callerKey) == http.StatusOK })
		})
	}
}

// TestStartAfterStoreComesBack checks that a daemon which starts between the return
// of the store and the operators' writes learns from another one which key was
// revoked.
func TestStartAfterStoreComesBack(t *testing.T) {
	s := newSite(t, "desk", 1)
	s.awaitReady()
	before := s.store.Copy()
	s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(2, otherKey))
	s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })
	s.store.Restore(before)
	time.Sleep(time.Second) // The first daemon notices.
	s.startDaemon(t, "vm-2", s.control)
	s.awaitReady()
	s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })
	s.Check(s.lookup(otherKey), qt.Equals, http.StatusOK)
}

// lookup returns the status of a request with a key.
func (s *site) lookup(key string) int {
	return s.call(http.MethodGet, "desk.example", "/look/", "", "X-Api-Key", key).status
}
