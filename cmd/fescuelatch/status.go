package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"fescuelatch/operator"
)

// This file defines the commands that show the state of a fleet.

func (c *statusCommand) run(ctx context.Context, s *session) error {
	if c.Control.IsValid() {
		return c.runControl(ctx, s)
	}
	cl, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	st, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(st)
	}
	w := s.table()
	writeSummary(w, &st)
	writeDaemons(w, st.Domains)
	writeVersions(w, st.Versions)
	if c.Endpoints {
		writeEndpoints(w, st.Endpoints)
	}
	return errors.WithStack(w.Flush())
}

// Flush reports errors of the writes below.

func writeSummary(w io.Writer, st *operator.Status) {
	platform := "reachable"
	if !st.Platform.Reachable {
		platform = "unreachable since " + timeText(st.Platform.Since)
	}
	_, _ = fmt.Fprintf(w, "generation %d at %s in %s, platform %s, %s\n",
		st.Generation, st.VM, st.Domain, platform, timeText(st.At))
}

func writeDaemons(w io.Writer, ds []operator.DomainStatus) {
	_, _ = fmt.Fprintln(w, "\nFAILURE-DOMAIN\tVM\tWORK\tSTATE\tSINCE\tGENERATION\tINCARNATION")
	for _, d := range ds {
		if len(d.Daemons) == 0 {
			_, _ = fmt.Fprintf(w, "%s\t-\t%s\t-\t-\t-\t-\n", d.ID, workText(d.Out))
		}
		for _, m := range d.Daemons {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
				d.ID, m.VM, workText(d.Out || m.Out), m.State, timeText(m.Since), m.Generation, m.Incarnation)
		}
	}
}

func writeVersions(w io.Writer, vs []operator.VersionStatus) {
	_, _ = fmt.Fprintln(w, "\nVERSION\tHEALTH\tQUALITY\tLOW\tHIGH\tSAMPLES\tWITHDRAWN\tANSWERS\tSUSPECT\tQUARANTINED\tRATED-LOW")
	for _, v := range vs {
		e, x := v.Estimate, v.Exposure
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t%d\t%d\t%d\t%d/%d\n",
			v.ID, v.Health, e.Mean, e.Low, e.High, e.Samples, yesNo(v.Withdrawn),
			x.Answers, x.Suspect, x.Quarantined, x.RatedLow, x.Rated)
	}
}

func writeEndpoints(w io.Writer, es []operator.EndpointStatus) {
	_, _ = fmt.Fprintln(w, "\nENDPOINT\tFAILURE-DOMAIN\tWORK\tOWNER\tSTATE\tRUNNING\tLIMIT")
	for _, e := range es {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			e.ID, e.Domain, workText(e.Out), orDash(string(e.Owner)), orDash(string(e.State)), e.Running, e.Limit)
	}
}

func workText(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (c *stateDump) run(ctx context.Context, s *session) error {
	if c.Control.IsValid() {
		return c.runControl(ctx, s)
	}
	cl, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	d, err := cl.Dump(ctx)
	if err != nil {
		return err
	}
	return s.writeJSON(d)
}
