package direct_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests configurations whose names hold any characters.

var oddNames = []string{
	"University of Limerick", "a/b", "/", "organisation/model:7b@v2", "a:b", "a@b", "(public)", "(public", "100%", "%20", "%2F%",
	"Université d'été", "日本", "a,b;c=d&e", `"quoted" \ back`, "a+b", "a..b", "..", strings.Repeat("long name ", 9) + "x",
}

// renamed returns a version of the configuration in which services, models and the account have odd
// names, and the account has another key.
func renamed(version int, key, name string) string {
	quoted := func(s string) string {
		b, err := json.Marshal(s)
		if err != nil {
			panic(err)
		}
		return string(b)
	}
	return strings.NewReplacer(
		`"desk"`, quoted(name), `"lm"`, quoted("lm "+name), `"small"`, quoted(name), `"large"`, quoted("large "+name), `"kigali"`, quoted(name),
	).Replace(fakeplatform.Configuration(version, key))
}

// TestOddNamesKeepConfigurationOut guards against configurations that never come into force, and
// keep dropped keys and routes in force, as a name in them has spaces or other characters.
func TestOddNamesKeepConfigurationOut(t *testing.T) {
	const newKey = "key-of-limerick"
	for _, name := range oddNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, "desk", 1)
			s.awaitReady()
			s.Assert(s.call(http.MethodPost, "desk.example", "/ban/", "body").status, qt.Equals, http.StatusOK)
			engine := fakeplatform.NewEndpoint("engine " + name)
			t.Cleanup(engine.Close)
			engine.SetBehaviour(fakeplatform.Stream(3, 0, "90", 0))
			worker := fakeplatform.NewEndpoint(name)
			t.Cleanup(worker.Close)
			register := func(e *fakeplatform.Endpoint, service string) {
				b, err := json.Marshal(map[string]any{
					"service": service, "address": e.Address(), "zone": name, "version": name, "capacity": 8, "state": "ready",
					"cold_remaining_ms": 0, "sequence": 1,
				})
				s.Assert(err, qt.IsNil)
				s.store.Put(e.Key(), string(b))
			}
			register(worker, name)
			register(engine, "lm "+name)
			s.store.Put(fakeplatform.ConfigurationKey, renamed(2, newKey, name))
			s.eventually(func() bool {
				return s.call(http.MethodPost, "desk.example", "/ban/", "body").status == http.StatusUnauthorized
			})

			a := s.call(http.MethodPost, "desk.example", "/ban/", "body", "X-Api-Key", newKey)
			s.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%q", a.body))
			runs := worker.Requests()
			s.Assert(runs, qt.HasLen, 1)
			s.Check(runs[0].Header["Fescuelatch-Tenant"], qt.DeepEquals, []string{name})
			a = s.call(http.MethodPost, "desk.example", "/open/", "body", "X-Api-Key", "")
			s.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%q", a.body))
			runs = worker.Requests()
			s.Check(runs[len(runs)-1].Header["Fescuelatch-Tenant"], qt.IsNil)

			a = s.call(http.MethodPost, "lm.example", "/whole/", "body", "X-Api-Key", newKey, "Fescuelatch-Model", "*")
			s.Check(a.body, qt.Equals, events(3), qt.Commentf("status %d", a.status))
			runs = engine.Requests()
			s.Assert(runs, qt.HasLen, 1)
			s.Check(runs[0].Header["Fescuelatch-Model"], qt.DeepEquals, []string{name})

			s.store.Put("op/evacuate/"+name, "{}")
			s.eventually(func() bool {
				return s.call(http.MethodPost, "desk.example", "/ban/", "body", "X-Api-Key", newKey).status == http.StatusServiceUnavailable
			})
			s.store.Delete("op/evacuate/" + name)
			s.eventually(func() bool {
				return s.call(http.MethodPost, "desk.example", "/ban/", "body", "X-Api-Key", newKey).status == http.StatusOK
			})
		})
	}
}

// TestRolloutOfOddNames guards against rollouts whose status is written under another name than
// that of their service.
func TestRolloutOfOddNames(t *testing.T) {
	for _, name := range oddNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, "desk", 1)
			s.awaitReady()
			s.store.Put(fakeplatform.ConfigurationKey, renamed(2, callerKey, name))
			order, err := json.Marshal(map[string]any{"service": name, "target": "v " + name, "duration_s": 30})
			s.Assert(err, qt.IsNil)
			s.store.Put("op/rollout/"+name, string(order))
			s.eventually(func() bool {
				value, ok := s.store.Get("status/rollout/" + name)
				if !ok {
					return false
				}
				var status struct{ Service, Target, State string }
				s.Assert(json.Unmarshal([]byte(value), &status), qt.IsNil)
				s.Check(status.Service, qt.Equals, name)
				s.Check(status.Target, qt.Equals, "v "+name)
				return status.State == "in_progress"
			})
		})
	}
}

// TestUnusableRouteIsServedByAnother guards against requests that a route with a shorter prefix
// serves, of another service or without a key, as theirs cannot be used.
func TestUnusableRouteIsServedByAnother(t *testing.T) {
	s := newSite(t, "desk", 1)
	s.awaitReady()
	for n, unusable := range []string{`"kind":"perhaps","timeout_ms":2000`, `"kind":"non_idempotent","timeout_ms":"2000"`} {
		configuration := strings.Replace(fakeplatform.Configuration(10*n+2, callerKey), `"routes":[`, `"routes":[
  {"name":"all","host":"desk.example","path_prefix":"/","kind":"idempotent","timeout_ms":2000,"service":"desk","public":true},`, 1)
		configuration = strings.Replace(configuration, `"kind":"non_idempotent","timeout_ms":2000`, unusable, 1)
		s.store.Put(fakeplatform.ConfigurationKey, configuration)
		s.eventually(func() bool {
			return s.call(http.MethodPost, "desk.example", "/ban/", "body").status == http.StatusServiceUnavailable
		})
		s.Check(s.call(http.MethodPost, "desk.example", "/ban/", "body", "X-Api-Key", "").status, qt.Equals, http.StatusUnauthorized)
		s.Check(s.call(http.MethodPost, "desk.example", "/other", "body", "X-Api-Key", "").status, qt.Equals, http.StatusOK)
		s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(10*n+3, callerKey))
		s.eventually(func() bool { return s.call(http.MethodPost, "desk.example", "/ban/", "body").status == http.StatusOK })
	}
}
