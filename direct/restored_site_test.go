package direct_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests a whole daemon while its store is restored from a backup.

const (
	otherKey  = "key-of-musanze"
	recordKey = "fescuelatch/daemons/vm-1"
)

// TestStoreRestored restores the store, once or twice in quick succession, from a
// backup made before a key was revoked and before the daemon wrote its record.
func TestStoreRestored(t *testing.T) {
	tests := []struct {
		name     string
		restores int
		fault    fakeplatform.Fault
	}{
		{"while it is unresponsive", 1, fakeplatform.FaultUnresponsive},
		{"after an outage", 1, fakeplatform.FaultReset},
		{"during a watch", 1, fakeplatform.FaultNone},
		{"twice", 2, fakeplatform.FaultNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, "desk", 2)
			before := s.store.Backup()
			s.awaitReady()
			s.eventually(func() bool { _, ok := s.store.Get(recordKey); return ok })
			s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(2, otherKey))
			s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })

			var lost []string
			for range test.restores {
				s.store.SetFault(test.fault)
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
				s.store.RestoreKey(key)
			}
			s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(3, callerKey))
			s.eventually(func() bool { return s.lookup(callerKey) == http.StatusOK })
		})
	}
}

// TestStartAfterStoreRestored checks that a daemon which starts after a restore,
// but before operators have written their configuration again, gets the revocation
// of a key from another daemon.
func TestStartAfterStoreRestored(t *testing.T) {
	s := newSite(t, "desk", 1)
	s.awaitReady()
	before := s.store.Backup()
	s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(2, otherKey))
	s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })
	s.store.Restore(before)
	time.Sleep(time.Second) // The first daemon detects the restore.
	s.startDaemon(t, "vm-2", s.control)
	s.awaitReady()
	s.eventually(func() bool { return s.lookup(callerKey) == http.StatusUnauthorized })
	s.Check(s.lookup(otherKey), qt.Equals, http.StatusOK)
}

// lookup returns the status of a request with a key.
func (s *site) lookup(key string) int {
	return s.call(http.MethodGet, "desk.example", "/look/", "", "X-Api-Key", key).status
}
