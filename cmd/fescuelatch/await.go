package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"

	"fescuelatch"
	"fescuelatch/operator"
)

// This file defines the wait until a generation is in force and the report
// of which failure domains have confirmed it.

const pollInterval = 250 * time.Millisecond

// domainState says whether a failure domain has confirmed a generation.
type domainState string

const (
	domainConfirmed domainState = "confirmed"
	domainWaiting   domainState = "waiting"
	domainCutOff    domainState = "cut-off"
	// domainEmpty means that the failure domain has no entry VMs, so that
	// there is nothing to confirm.
	domainEmpty domainState = "no-daemons"
)

// domainResult is one failure domain in the report. Since is the time from
// which a failure domain has been cut off.
type domainResult struct {
	ID          fescuelatch.DomainID    `json:"id"`
	State       domainState             `json:"state"`
	Since       time.Time               `json:"since,omitzero"`
	Daemons     int                     `json:"daemons"`
	Unconfirmed []operator.DaemonStatus `json:"unconfirmed,omitempty"`
}

// await waits until want is in force everywhere, and reports.
func (s *session) await(ctx context.Context, cl *operator.Client, wait time.Duration, want *fescuelatch.Configuration, r *changeResult) error {
	p := s.newProgress(r.Generation)
	domains, err := cl.Await(ctx, want, operator.AwaitOptions{Wait: wait, Interval: pollInterval, Report: p.update})
	p.finish()
	if err != nil {
		return notInForce(r, errors.Wrap(err, "no daemon tells what is in force"))
	}
	r.InForce = operator.AllConfirmed(domains, r.Generation)
	r.Domains = domainResults(domains, r.Generation)
	if err := s.report(r); err != nil {
		return err
	}
	if !r.InForce {
		return notInForce(r, errors.New("not in force everywhere by the deadline"))
	}
	return nil
}

func notInForce(r *changeResult, err error) error {
	return &commandError{Op: fmt.Sprintf("bring generation %d into force", r.Generation), Kind: kindNotInForce, Err: err}
}

func domainResults(ds []operator.DomainStatus, g fescuelatch.Generation) []domainResult {
	var out []domainResult
	for n := range ds {
		d := &ds[n]
		r := domainResult{ID: d.ID, State: domainConfirmed, Daemons: len(d.Daemons), Unconfirmed: d.Unconfirmed(g)}
		switch {
		case len(d.Daemons) == 0:
			r.State = domainEmpty
		case len(r.Unconfirmed) > 0:
			r.State, r.Since = stateOf(r.Unconfirmed)
		}
		out = append(out, r)
	}
	return out
}

// stateOf returns the state of a failure domain with unconfirmed daemons. It
// is cut off when all of these are.
func stateOf(daemons []operator.DaemonStatus) (domainState, time.Time) {
	since := daemons[0].Since
	for _, m := range daemons {
		if m.State != operator.DaemonCutOff {
			return domainWaiting, time.Time{}
		}
		if m.Since.Before(since) {
			since = m.Since
		}
	}
	return domainCutOff, since
}

func (s *session) report(r *changeResult) error {
	if s.args.JSON {
		return s.writeJSON(r)
	}
	w := s.table()
	_, _ = fmt.Fprintln(w, "FAILURE-DOMAIN\tSTATE\tSINCE\tCONFIRMED\tUNCONFIRMED")
	for _, d := range r.Domains {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%s\n",
			d.ID, d.State, timeText(d.Since), d.Daemons-len(d.Unconfirmed), d.Daemons, daemonsText(d.Unconfirmed))
	}
	return errors.WithStack(w.Flush())
}

func daemonsText(daemons []operator.DaemonStatus) string {
	var parts []string
	for _, m := range daemons {
		text := fmt.Sprintf("%s %s at generation %d", m.VM, m.State, m.Generation)
		if !m.Since.IsZero() {
			text += " since " + timeText(m.Since)
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// progress shows on a terminal how many daemons have confirmed. The zero
// value shows nothing.
type progress struct {
	bar        *progressbar.ProgressBar
	generation fescuelatch.Generation
}

func (s *session) newProgress(g fescuelatch.Generation) *progress {
	p := &progress{generation: g}
	if s.terminal && !s.args.JSON {
		p.bar = progressbar.NewOptions(1,
			progressbar.OptionSetWriter(s.err),
			progressbar.OptionSetDescription(fmt.Sprintf("generation %d in force", g)),
			progressbar.OptionShowCount(),
			progressbar.OptionSetPredictTime(false),
			progressbar.OptionClearOnFinish())
	}
	return p
}

func (p *progress) update(ds []operator.DomainStatus) {
	if p.bar == nil {
		return
	}
	var daemons, confirmed int
	for n := range ds {
		daemons += len(ds[n].Daemons)
		confirmed += len(ds[n].Daemons) - len(ds[n].Unconfirmed(p.generation))
	}
	p.bar.ChangeMax(max(daemons, 1))
	// A terminal that cannot be written to is no reason to stop.
	_ = p.bar.Set(confirmed)
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
