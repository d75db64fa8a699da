package audit

import (
	"sort"
	"time"

	"fescuelatch"
	"fescuelatch/load"
)

// This file defines the checks of what became of single requests.

// checkAllowed looks at the version that callers were told, at every attempt
// that engines received, and at every execution of a service.
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

// session identifies a session of an account.
type session struct {
	account fescuelatch.AccountID
	id      string
}

// checkSession follows the version of each session in the order in which its
// answers ended. A session may leave a version that was withdrawn.
func checkSession(x *index, f *Finding) {
	version := make(map[session]fescuelatch.VersionID)
	for _, r := range x.byEnd() {
		if r.Session == "" || r.Version == "" || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		s := session{r.Account, r.Session}
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

// byEnd returns the records in the order of their ends.
func (x *index) byEnd() []*load.Record {
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

// checkWhole takes any answer that claims to be complete, and any request
// that is said to be answered.
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
			f.violate("request %s (%s): said to be answered, but the answer broke off", r.RequestID, r.Nonce)
		}
	}
}

// checkNotRun takes the requests of which every call was refused as not run:
// nothing may have executed. A repeat may be refused after the first call
// has run.
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
			if n := x.slots[r.RequestID]; r.RequestID != "" && n > 0 {
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
// whether its caller got an answer or not.
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

// checkBills asks for exactly one bill of each answered request, none of one
// that was not run and at most one of any other. The calls of one key count
// as one request.
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
		n := billsOf(rs, count, keyed)
		switch {
		case n == 0 && anyAnswered(rs):
			f.violate("request %s (%s): answered, but not billed", nonce, rs[0].RequestID)
		case n > 0 && allNotRun(rs):
			f.violate("request %s (%s): not run, but %d bills", nonce, rs[0].RequestID, n)
		}
	}
}

func billsOf(rs []*load.Record, count, keyed map[string]int) int {
	var n int
	for _, r := range rs {
		if r.RequestID != "" {
			n += count[string(r.RequestID)]
		}
	}
	if r := rs[0]; n == 0 && r.Key != "" {
		n = keyed[string(r.Account)+" "+r.Key] + keyed[string(r.Account)+" "+hash(r.Key)]
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
