package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"fescuelatch/direct"
)

// This file defines the commands that show a daemon on the users' platform.

var controlClient = &direct.Client{HTTP: http.DefaultClient}

func (c *statusCommand) runControl(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	st, err := controlClient.Status(ctx, c.Control)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(st)
	}
	w := s.table()
	// Flush reports errors of the writes.
	_, _ = fmt.Fprintf(w, "generation %d at %s in %s, %s, ready: %s, last store contact %s ago\n%d daemons, %d endpoints, %d open requests\n",
		st.Generation, st.VM, st.Domain, st.Life, yesNo(st.Ready), st.StoreAge, st.Daemons, st.Endpoints, st.Open)
	if len(st.DomainsOut) > 0 {
		_, _ = fmt.Fprintf(w, "failure domains out: %s\n", joinSorted(st.DomainsOut))
	}
	if len(st.Rollouts) > 0 {
		_, _ = fmt.Fprintln(w, "\nSERVICE\tRELEASE\tROLL-OUT\tSHARE")
	}
	for _, id := range slices.Sorted(maps.Keys(st.Rollouts)) {
		r := st.Rollouts[id]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\n", id, r.Release, r.State, r.Share)
	}
	if c.Endpoints {
		state, err := controlClient.State(ctx, c.Control)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w, "\nENDPOINT\tFAILURE-DOMAIN\tSERVICE\tRELEASE\tADDRESS\tSLOTS\tLEAVING\tAGE")
		for _, e := range state.Endpoints {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
				e.Endpoint.ID, e.Endpoint.Domain, e.Service, e.Release, e.Endpoint.Address, e.Slots, yesNo(e.Leaving), e.Age)
		}
	}
	return errors.WithStack(w.Flush())
}

func (c *stateDump) runControl(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	st, err := controlClient.State(ctx, c.Control)
	if err != nil {
		return err
	}
	return s.writeJSON(st)
}

func joinSorted[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, v := range list {
		texts[i] = string(v)
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
