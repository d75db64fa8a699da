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

// This file defines the wait until a generation is active and the report of
// the failure domains that have confirmed it.

const pollInterval = 250 * time.Millisecond

// domainState says whether a failure domain has confirmed a generation.
type domainState string

const (
	domainConfirmed domainState = "confirmed"
	domainWaiting   domainState = "waiting"
	domainCutOff    domainState = "cut-off"
	// domainEmpty means that the failure domain has no entry VMs to confirm
	// the generation.
	domainEmpty domainState = "no-daemons"
)

// domainResult is one failure domain in the report. Since is the time at
// which a failure domain was cut off.
type domainResult struct {
	ID          fescuelatch.DomainID    `json:"id"`
	State       domainState             `json:"state"`
	Since       time.Time               `json:"since,omitzero"`
	Daemons     int                     `json:"daemons"`
	Unconfirmed []operator.DaemonStatus `json:"unconfirmed,omitempty"`
}

// await waits until want is active everywhere and writes the report.
func (s *session) await(ctx context.Context, cl *operator.Client, wait time.Duration, want *fescuelatch.Configuration, r *changeResult) error {
	p := s.newProgress(r.Generation)
	domains, err := cl.Await(ctx, want, operator.AwaitOptions{Wait: wait, Interval: pollInterval, OnRound: p.update})
	p.finish()
	if err != nil {
		return notActiveError(r, errors.Wrap(err, "no daemon reports the active configuration"))
	}
	r.InForce = operator.AllConfirmed(domains, r.Generation)
	r.Domains = domainResults(domains, r.Generation)
	if err := s.reportChange(r); err != nil {
		return err
	}
	if !r.InForce {
		return notActiveError(r, errors.New("not in force everywhere by the deadline"))
	}
	return nil
}

func notActiveError(r *changeResult, err error) error {
	return &commandError{Op: fmt.Sprintf("activate generation %d", r.Generation), Kind: kindNotActive, Err: err}
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
			r.State, r.Since = unconfirmedState(r.Unconfirmed)
		}
		out = append(out, r)
	}
	return out
}

// unconfirmedState returns the state of a failure domain with unconfirmed
// daemons. The domain is cut off when all of them are.
func unconfirmedState(daemons []operator.DaemonStatus) (domainState, time.Time) {
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

func (s *session) reportChange(r *changeResult) error {
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
			progressbar.OptionSetDescription(fmt.Sprintf("generation %d active", g)),
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
	// A failed write to the terminal does not stop the command.
	_ = p.bar.Set(confirmed)
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
