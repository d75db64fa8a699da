package audit

import (
	"sort"
	"time"

	"fescuelatch"
	"fescuelatch/load"
)

// This file defines the checks of single requests.

// checkAllowed checks the version reported to each caller, each attempt that
// engines received, and each execution at a service.
func checkAllowed(x *index, f *Finding) {
	for n := range x.Records {
		r := &x.Records[n]
		if r.Version == "" || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		f.Checked++
		if !x.allowed(r.Account, r.Version) {
			f.violate("%s: request %s was answered by %s", r.Account, r.RequestID, r.Version)
		}
	}
	for n := range x.Endpoints {
		l := &x.Endpoints[n]
		for k := range l.Starts {
			s := &l.Starts[k]
			r, ok := x.byRequest[s.Request()]
			if !ok {
				continue
			}
			f.Checked++
			if !x.allowed(r.Account, s.Version) {
				f.violate("%s: attempt %s reached %s for %s", r.Account, s.Attempt, l.Endpoint.ID, s.Version)
			}
		}
	}
	x.checkServices(f)
}

func (x *index) checkServices(f *Finding) {
	for n := range x.Records {
		r := &x.Records[n]
		if !r.IsService() || x.executions[executionKey(r)] == 0 {
			continue
		}
		f.Checked++
		if !x.allowedService(r.Account, r.Service) {
			f.violate("%s: request %s ran at service %s", r.Account, r.Nonce, r.Service)
		}
	}
}

// sessionKey identifies a session of an account.
type sessionKey struct {
	account fescuelatch.AccountID
	id      string
}

// checkSession compares the versions of the answers of each session, in the
// order of their ends. A session may leave a version that was withdrawn.
func checkSession(x *index, f *Finding) {
	version := make(map[sessionKey]fescuelatch.VersionID)
	for _, r := range x.recordsByEnd() {
		if r.Session == "" || r.Version == "" || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		s := sessionKey{r.Account, r.Session}
		v, ok := version[s]
		version[s] = r.Version
		if !ok {
			continue
		}
		f.Checked++
		if v != r.Version && !x.withdrawnBefore(v, r.Ended) {
			f.violate("%s: %s was answered by %s, then by %s", s.account, s.id, v, r.Version)
		}
	}
}

// recordsByEnd returns the records sorted by end time.
func (x *index) recordsByEnd() []*load.Record {
	rs := make([]*load.Record, len(x.Records))
	for n := range x.Records {
		rs[n] = &x.Records[n]
	}
	sort.SliceStable(rs, func(i, j int) bool { return rs[i].Ended.Before(rs[j].Ended) })
	return rs
}

func (x *index) withdrawnBefore(v fescuelatch.VersionID, t time.Time) bool {
	for _, e := range x.Events {
		if e.Kind == EventVersionWithdrawn && e.Name == string(v) && e.At.Before(t) {
			return true
		}
	}
	return false
}

// checkWhole requires that each answered request has a complete answer, and
// that no complete answer has a fault.
func checkWhole(x *index, f *Finding) {
	for n := range x.Records {
		r := &x.Records[n]
		answered := r.Outcome == fescuelatch.OutcomeAnswered
		if !answered && !r.Complete {
			continue
		}
		f.Checked++
		switch {
		case r.Fault != load.FaultNone:
			f.violate("request %s (%s): the answer is %s", r.RequestID, r.Nonce, r.Fault)
		case answered && !r.Complete:
			f.violate("request %s (%s): outcome is answered, but the answer broke off", r.RequestID, r.Nonce)
		}
	}
}

// checkNotRun requires that a request did not execute if all its calls were
// refused as not run. A repeat may be refused after the first call has run.
func checkNotRun(x *index, f *Finding) {
	for nonce, rs := range x.byNonce {
		if !allNotRun(rs) {
			continue
		}
		f.Checked++
		if n := x.executions[executionKey(rs[0])]; n > 0 {
			f.violate("request %s: not run, but executed %d times", nonce, n)
		}
		for _, r := range rs {
			if n := x.runs[r.RequestID]; r.RequestID != "" && n > 0 {
				f.violate("request %s: not run, but %d attempts ran at engines", r.RequestID, n)
			}
		}
	}
}

func allNotRun(rs []*load.Record) bool {
	for _, r := range rs {
		if r.Outcome != fescuelatch.OutcomeNotRun {
			return false
		}
	}
	return true
}

// checkAtMostOnce counts the executions of each non-idempotent request,
// with or without an answer.
func checkAtMostOnce(x *index, f *Finding) {
	for nonce, rs := range x.byNonce {
		r := rs[0]
		if !r.IsService() || r.Idempotent {
			continue
		}
		f.Checked++
		if n := x.executions[executionKey(r)]; n > 1 {
			f.violate("request %s: %s ran %d times", nonce, r.Operation, n)
		}
	}
}

// checkBills requires exactly one bill for an answered request, none for one
// that did not run and at most one for any other. Calls with the same key
// count as one request.
func checkBills(x *index, f *Finding) {
	count := make(map[string]int)
	keyed := make(map[string]int)
	for n := range x.Bills {
		b := &x.Bills[n]
		count[string(b.Request)]++
		if r, ok := x.byRequest[b.Request]; ok && r.Account != b.Account {
			f.violate("request %s of %s: billed to %s", b.Request, r.Account, b.Account)
		}
		if b.Key != "" {
			keyed[string(b.Account)+" "+b.Key]++
		}
	}
	for id, n := range count {
		if n > 1 {
			f.violate("request %s: %d bills", id, n)
		}
	}
	for key, n := range keyed {
		if n > 1 {
			f.violate("key %s: %d bills", key, n)
		}
	}
	for nonce, rs := range x.byNonce {
		f.Checked++
		n := billCount(rs, count, keyed)
		switch {
		case n == 0 && anyAnswered(rs):
			f.violate("request %s (%s): answered, but not billed", nonce, rs[0].RequestID)
		case n > 0 && allNotRun(rs):
			f.violate("request %s (%s): not run, but %d bills", nonce, rs[0].RequestID, n)
		}
	}
}

func billCount(rs []*load.Record, count, keyed map[string]int) int {
	var n int
	for _, r := range rs {
		if r.RequestID != "" {
			n += count[string(r.RequestID)]
		}
	}
	if r := rs[0]; n == 0 && r.Key != "" {
		n = keyed[string(r.Account)+" "+r.Key] + keyed[string(r.Account)+" "+hashKey(r.Key)]
	}
	return n
}

func anyAnswered(rs []*load.Record) bool {
	for _, r := range rs {
		if r.Outcome == fescuelatch.OutcomeAnswered {
			return true
		}
	}
	return false
}
