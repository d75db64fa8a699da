package audit

import (
	"fmt"
	"strings"
)

// This file defines the report of an audit.

// Promise is one of the promises of the router.
type Promise string

// The promises, in the order of the requirements.
const (
	PromiseAllowed    Promise = "a request runs only on a model and version that its account allows"
	PromiseWithdrawn  Promise = "a withdrawn version receives no new work"
	PromiseSession    Promise = "a session keeps its version"
	PromiseBill       Promise = "each request is billed once"
	PromiseCold       Promise = "an endpoint in a cold start receives no more than it can bear"
	PromiseDomainOut  Promise = "a failure domain taken out receives no new work after a few seconds"
	PromiseComplete   Promise = "a caller gets the whole answer to its own request"
	PromiseNotRun     Promise = "a refusal that says not run is true"
	PromiseAtMostOnce Promise = "a non-idempotent request runs at most once"
	PromiseLeaving    Promise = "a leaving endpoint receives no new work after a few seconds"
	PromiseGraceful   Promise = "every planned stop is a graceful shutdown"
	PromiseGeneration Promise = "an accepted configuration is in force everywhere within seconds and never reverts"
)

// maxExamples is the number of violations that a finding describes.
const maxExamples = 10

// Finding is the result for one promise. Checked counts the cases in the run;
// without any the promise was not exercised.
type Finding struct {
	Promise    Promise  `json:"promise"`
	Checked    int      `json:"checked"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// Exercised reports whether the run had a case of the promise.
func (f *Finding) Exercised() bool { return f.Checked > 0 || f.Violations > 0 }

// violate counts a violation.
func (f *Finding) violate(format string, args ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// Report holds a finding for each promise.
type Report struct {
	Findings []Finding `json:"findings"`
}

// Violations returns the number of violations of all promises.
func (r *Report) Violations() int {
	var n int
	for k := range r.Findings {
		n += r.Findings[k].Violations
	}
	return n
}

// Finding returns the finding on a promise.
func (r *Report) Finding(p Promise) *Finding {
	for k := range r.Findings {
		if r.Findings[k].Promise == p {
			return &r.Findings[k]
		}
	}
	return nil
}

// String formats the report with a line for each promise and example.
func (r *Report) String() string {
	var b strings.Builder
	for k := range r.Findings {
		f := &r.Findings[k]
		fmt.Fprintf(&b, "%2d. %-86s %s\n", k+1, f.Promise, f.verdict())
		for _, x := range f.Examples {
			fmt.Fprintf(&b, "      %s\n", x)
		}
	}
	return b.String()
}

func (f *Finding) verdict() string {
	if !f.Exercised() {
		return "not exercised"
	}
	return fmt.Sprintf("%d violations in %d cases", f.Violations, f.Checked)
}

// Check audits e.
func Check(e *Evidence) *Report {
	x := newIndex(e)
	checks := []struct {
		promise Promise
		check   func(*index, *Finding)
	}{
		{PromiseAllowed, checkAllowed},
		{PromiseWithdrawn, checkWithdrawn},
		{PromiseSession, checkSession},
		{PromiseBill, checkBills},
		{PromiseCold, checkCold},
		{PromiseDomainOut, checkDomainOut},
		{PromiseComplete, checkWhole},
		{PromiseNotRun, checkNotRun},
		{PromiseAtMostOnce, checkAtMostOnce},
		{PromiseLeaving, checkLeaving},
		{PromiseGraceful, checkGraceful},
		{PromiseGeneration, checkGeneration},
	}
	r := new(Report)
	for _, c := range checks {
		f := Finding{Promise: c.promise}
		c.check(x, &f)
		r.Findings = append(r.Findings, f)
	}
	return r
}
