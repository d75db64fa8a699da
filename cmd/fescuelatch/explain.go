package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/direct"
	"fescuelatch/gate/shared"
)

// This file defines the command that explains where a request would go now.

// promptPart is a part of a prompt on the command line: ID:TOKENS.
type promptPart direct.QuestionPart

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *promptPart) UnmarshalText(text []byte) error {
	id, count, ok := strings.Cut(string(text), ":")
	tokens, err := strconv.Atoi(count)
	if !ok || id == "" || err != nil {
		return errors.Errorf("the part %q is not ID:TOKENS", text)
	}
	p.ID, p.Tokens = id, tokens
	return nil
}

func (c *explainCommand) question() direct.Question {
	q := direct.Question{
		Route: fescuelatch.RouteID(c.Route), Service: fescuelatch.ServiceID(c.Service), Host: c.Host, Path: c.Path,
		Account: fescuelatch.AccountID(c.Account), Model: fescuelatch.ModelID(c.Model), Session: c.Session,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, BodyBytes: c.BodyBytes, Fingerprint: c.Fingerprint,
	}
	for _, p := range c.Parts {
		q.Parts = append(q.Parts, direct.QuestionPart(p))
	}
	return q
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	const op = "explain"
	if !c.Control.IsValid() {
		return usageError(op, errors.New("--control is missing: only daemons on the users' platform explain"))
	}
	switch c.Output {
	case "json":
		s.args.JSON = true
	case "text", "":
	default:
		return usageError(op, errors.Errorf("--output is %q, not text or json", c.Output))
	}
	q := c.question()
	if err := q.Check(); err != nil {
		return usageError(op, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	if c.All {
		return explainAll(ctx, s, c.Control, q)
	}
	x, err := explainAt(ctx, c.Control, q)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(x)
	}
	w := s.table()
	// Flush reports errors of the writes.
	writeExplanation(w, &x)
	return errors.WithStack(w.Flush())
}

// busyWait is the wait before a daemon that answers another question is asked again.
const busyWait = 150 * time.Millisecond

// explainAt asks one daemon, again while it answers other questions.
func explainAt(ctx context.Context, to netip.AddrPort, q direct.Question) (direct.Explanation, error) {
	for {
		x, err := controlClient.Explain(ctx, to, q)
		var e *direct.Error
		if !errors.As(err, &e) || e.Kind != direct.KindBusy {
			return x, err //nolint:wrapcheck // The client names the call.
		}
		select {
		case <-time.After(busyWait):
		case <-ctx.Done():
			return x, err //nolint:wrapcheck // As above.
		}
	}
}

// maxAsked bounds the daemons that are asked at a time.
const maxAsked = 16

// daemonAnswer is what one of several daemons answers.
type daemonAnswer struct {
	direct.KnownDaemon
	Explanation *direct.Explanation `json:"explanation,omitempty"`
	Error       string              `json:"error,omitempty"`
}

// allAnswers are those of all daemons that the first one knows, with what differs between them.
type allAnswers struct {
	Daemons     []daemonAnswer `json:"daemons"`
	Differences []difference   `json:"differences"`
}

func explainAll(ctx context.Context, s *session, first netip.AddrPort, q direct.Question) error {
	known, err := controlClient.Daemons(ctx, first)
	if err != nil {
		return err //nolint:wrapcheck // The client names the call.
	}
	all := allAnswers{Daemons: make([]daemonAnswer, len(known))}
	failures := make([]error, len(known))
	var g sync.WaitGroup
	slots := make(chan struct{}, maxAsked)
	for i, k := range known {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			x, err := explainAt(ctx, k.Control, q)
			all.Daemons[i] = daemonAnswer{KnownDaemon: k, Explanation: &x}
			if err != nil {
				all.Daemons[i], failures[i] = daemonAnswer{KnownDaemon: k, Error: err.Error()}, err
			}
		})
	}
	g.Wait()
	if len(failures) > 0 && !slices.Contains(failures, nil) {
		return failures[0]
	}
	all.Differences = differences(all.Daemons)
	if s.args.JSON {
		return s.writeJSON(all)
	}
	w := s.table()
	writeAll(w, &all)
	return errors.WithStack(w.Flush())
}

func writeAll(w io.Writer, all *allAnswers) {
	_, _ = fmt.Fprintln(w, "VM\tFAILURE-DOMAIN\tGENERATION\tVERDICT\tVERSION\tENDPOINT\tREASON")
	for _, a := range all.Daemons {
		x := a.Explanation
		if x == nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t%s\n", a.VM, a.Domain, a.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", a.VM, a.Domain, x.Generation, x.Verdict,
			orDash(string(x.Version)), orDash(string(x.Endpoint)), orDash(refusalText(x)))
	}
	if len(all.Differences) == 0 {
		_, _ = fmt.Fprintln(w, "\nthe daemons agree")
		return
	}
	_, _ = fmt.Fprintln(w, "\nDIFFERENCE\tVALUE\tDAEMONS")
	for _, d := range all.Differences {
		for _, v := range d.Values {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", d.Subject, orDash(v.Value), joinSorted(v.Daemons))
		}
	}
}

// Lines of an explanation.

func writeExplanation(w io.Writer, x *direct.Explanation) {
	_, _ = fmt.Fprintf(w, "%s\n", verdictText(x))
	_, _ = fmt.Fprintf(w, "asked of %s in %s at generation %d, ready: %s, last store contact %s ago\n", x.VM, x.Domain, x.Generation, yesNo(x.Ready), x.StoreAge)
	_, _ = fmt.Fprintf(w, "route %s (%s), account %s, rank %d\n", x.Route, x.Kind, x.Account, x.Rank)
	for _, t := range x.Targets {
		note := ""
		if t.Chosen {
			note = ", explained here"
		}
		_, _ = fmt.Fprintf(w, "target %s, share %.2f%s\n", t.Service, t.Share, note)
	}
	if x.Bound != "" {
		_, _ = fmt.Fprintf(w, "the session is bound to release %s here\n", x.Bound)
	}
	for _, id := range slices.Sorted(maps.Keys(x.Rollouts)) {
		r := x.Rollouts[id]
		_, _ = fmt.Fprintf(w, "roll-out of %s to %s: %s, share %.2f\n", id, r.Release, r.State, r.Share)
	}
	for _, b := range x.Blocks {
		what := "prompt part " + b.Part
		if b.Part == "" {
			what = "request " + b.Fingerprint
		}
		_, _ = fmt.Fprintf(w, "%s crashes endpoints and is blocked; one trial is due in %s\n", what, shortTime(b.Trial))
	}
	writeVersionsConsidered(w, x)
	for _, p := range x.Placements {
		if !p.Own {
			_, _ = fmt.Fprintf(w, "%s in %s could make the attempt on %s for this daemon, spare %d\n", p.VM, p.Domain, p.Version, p.Spare)
		}
	}
	for i := range x.Choices {
		writeChoice(w, &x.Choices[i])
	}
}

func verdictText(x *direct.Explanation) string {
	switch x.Verdict {
	case direct.VerdictStart:
		return fmt.Sprintf("it would start at endpoint %s on %s", x.Endpoint, x.Version)
	case direct.VerdictPassedOn:
		return fmt.Sprintf("it would be passed on to %s for %s: no endpoint of it is reached from here", x.Peer, x.Version)
	case direct.VerdictWait:
		return "it would wait for an endpoint"
	}
	return fmt.Sprintf("it would be %s: %s", x.Verdict, refusalText(x))
}

func refusalText(x *direct.Explanation) string {
	text := x.Reason
	if x.Cause != "" {
		text += ", " + string(x.Cause)
	}
	if x.RetryAfter > 0 {
		text += ", come back in " + shortTime(x.RetryAfter)
	}
	return text
}

func writeVersionsConsidered(w io.Writer, x *direct.Explanation) {
	if len(x.Versions) > 0 {
		_, _ = fmt.Fprintln(w, "\nVERSION\tWEIGHT\tSPARE\tSESSIONS\tEXCLUDED\tSTEP")
	}
	if len(x.Versions) == 0 && x.Reason == string(decision.ReasonNoVersion) {
		_, _ = fmt.Fprintln(w, "no endpoint of the target is registered")
	}
	for _, v := range x.Versions {
		step := ""
		if i := slices.Index(x.Plan, v.Version); i >= 0 {
			step = strconv.Itoa(i + 1)
		}
		_, _ = fmt.Fprintf(w, "%s\t%.3g\t%d\t%s\t%s\t%s\n", v.Version, v.Weight, v.Spare, orDash(string(v.Sessions)), orDash(string(v.Excluded)), orDash(step))
	}
}

func writeChoice(w io.Writer, c *shared.Choice) {
	_, _ = fmt.Fprintf(w, "\nendpoints of %s: %s, mean time to the first output %s, to the end %s, %d wait here\n",
		c.Version, c.Verdict, shortTime(c.First), shortTime(c.Total), c.Waiting)
	if s := c.Shortage; s != nil {
		_, _ = fmt.Fprintf(w, "room: %d wait, %d go before it, %.3g places a second, %.3g left for its rank and account, its turn in %s, account's share %.2f, growth %.2f\n",
			s.Waiting, s.Ahead, s.Rate, s.RateLeft, shortTime(s.Turn), s.Share, s.Growth)
	}
	if c.NoMore {
		_, _ = fmt.Fprintln(w, "this daemon has started its part of what there is room for, until endpoints report again")
	}
	if d := c.Departure; d != nil {
		_, _ = fmt.Fprintf(w, "leaving: %s, %.3g requests on %.3g slots at home", d.Reason, d.Home.Busy, d.Home.Slots)
		for _, p := range d.Parts {
			_, _ = fmt.Fprintf(w, ", surplus for %s %.2f", p.Domain, p.Share)
		}
		if c.Meant != "" {
			_, _ = fmt.Fprintf(w, ", this request for %s", c.Meant)
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintln(w, "ENDPOINT\tFAILURE-DOMAIN\tBUSY\tSLOTS\tREASON")
	for _, o := range inOrder(c.Candidates) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%s\n", o.Endpoint, o.Domain, float64(o.Running)+o.Others, o.Slots, reasonText(&o))
	}
}

// inOrder returns candidates by cost, those that may not get the request last.
func inOrder(cs []shared.Candidate) []shared.Candidate {
	return slices.SortedStableFunc(slices.Values(cs), func(a, b shared.Candidate) int {
		if (a.Excluded == "") != (b.Excluded == "") {
			return cmp.Compare(a.Excluded, b.Excluded)
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// reasonText returns what counted for and against an endpoint.
func reasonText(o *shared.Candidate) string {
	var parts []string
	add := func(holds bool, format string, args ...any) {
		if holds {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(o.Chosen, "chosen")
	add(o.Share > 0, "share %.2f", o.Share)
	add(o.Excluded != "" && o.Left > 0, "no: %s for %s", o.Excluded, shortTime(o.Left))
	add(o.Excluded != "" && o.Left <= 0, "no: %s", o.Excluded)
	add(o.Cost > 0, "cost %s", shortTime(o.Cost))
	add(o.Crossing > 0, "of it for leaving the failure domain %s", shortTime(o.Crossing))
	add(o.Cached > 0, "%d prompt tokens cached", o.Cached)
	add(o.ServiceTime != 1, "service time %.2f", o.ServiceTime)
	add(o.Slowdown >= minToldSlowdown, "slowdown %.1f", o.Slowdown)
	add(o.Failing >= minToldFailing, "failing %.2f", o.Failing)
	add(o.Cold && o.Excluded != shared.ExcludedCold, "cold")
	add(o.Ejections > 0 && o.Excluded != shared.ExcludedEjected, "ejected before")
	add(o.Limited && o.Excluded != shared.ExcludedPermits, "limited")
	return strings.Join(parts, ", ")
}

// Values below these are usual.
const (
	minToldSlowdown = 1.5
	minToldFailing  = 0.05
)

// shortTime returns a time with three figures or so.
func shortTime(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return d.Round(100 * time.Millisecond).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}
