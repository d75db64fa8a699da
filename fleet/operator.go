package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the calls of a fleet to its daemons' operator addresses
// and to the control interfaces of its stand-ins.

const (
	author          = "fleet"
	maxBody         = 16 << 20 // bytes
	changeAttempts  = 20
	changePause     = 100 * time.Millisecond
	statusNoContent = http.StatusNoContent
)

// call sends in as JSON, when it is not nil, and decodes the answer into
// out, when it is not nil. Any status outside 200 to 299 is an error.
func (f *Fleet) call(ctx context.Context, method, url string, in, out any) error {
	op := method + " " + url
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &Error{op, KindRefused, errors.WithStack(err)}
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return &Error{op, KindRefused, errors.WithStack(err)}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return &Error{op, KindTimeout, errors.WithStack(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return &Error{op, KindTimeout, errors.WithStack(err)}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return &Error{op, KindRefused, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(b))}
	}
	if out == nil || resp.StatusCode == statusNoContent {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{op, KindRefused, errors.WithStack(err)}
	}
	return nil
}

// poll calls try until it succeeds or ctx ends.
func (f *Fleet) poll(ctx context.Context, op string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if cs := f.Crashed(); len(cs) > 0 {
			return &Error{op, KindProcess, errors.Errorf("ended unexpectedly: %v; last error: %v", cs, err)}
		}
		select {
		case <-ctx.Done():
			return &Error{op, KindTimeout, errors.Errorf("last error: %v", err)}
		case <-time.After(pollInterval):
		}
	}
}

// waitListening waits until every process accepts connections.
func (f *Fleet) waitListening(ctx context.Context) error {
	p := &f.places
	as := []netip.AddrPort{p.platform, p.platformLink, p.vms, p.rating, p.weights}
	for _, e := range f.Configuration.Inventory.Endpoints {
		as = append(as, e.Address)
	}
	for _, m := range f.Configuration.Inventory.VMs {
		as = append(as, m.Peer, m.Operator)
	}
	for _, a := range as {
		err := f.poll(ctx, "wait for "+a.String(), func() error { return dial(ctx, a) })
		if err != nil {
			return err
		}
	}
	return nil
}

func dial(ctx context.Context, a netip.AddrPort) error {
	d := net.Dialer{Timeout: callTimeout}
	c, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(c.Close())
}

// seed hands the configuration to the first daemon as the change from
// generation 0.
func (f *Fleet) seed(ctx context.Context) error {
	m := f.Configuration.Inventory.VMs[0]
	c := newChange(&fescuelatch.Configuration{}, f.Configuration)
	return f.poll(ctx, "seed configuration", func() error {
		var accepted Accepted
		return f.call(ctx, http.MethodPost, changesURL(m), &c, &accepted)
	})
}

func changesURL(m fescuelatch.VM) string { return "http://" + m.Operator.String() + "/v1/changes" }

// newChange returns the change from one configuration to another.
func newChange(from, to *fescuelatch.Configuration) fescuelatch.Change {
	c := fescuelatch.Diff(from, to)
	c.ID = fescuelatch.ChangeID(uuid.NewString())
	c.Author = author
	c.At = time.Now().UTC()
	return c
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Generation fescuelatch.Generation `json:"generation"`
	Change     fescuelatch.ChangeID   `json:"change"`
	Accepted   time.Time              `json:"-"` // when the answer arrived
}

// Generation returns the generation in force at the daemon of m.
func (f *Fleet) Generation(ctx context.Context, m fescuelatch.VMID) (fescuelatch.Generation, error) {
	c, err := f.InForce(ctx, m)
	if err != nil {
		return 0, err
	}
	return c.Generation, nil
}

// InForce returns the configuration in force at the daemon of m.
func (f *Fleet) InForce(ctx context.Context, m fescuelatch.VMID) (*fescuelatch.Configuration, error) {
	v, err := f.vm(m)
	if err != nil {
		return nil, err
	}
	c := new(fescuelatch.Configuration)
	if err := f.call(ctx, http.MethodGet, "http://"+v.Operator.String()+"/v1/configuration", nil, c); err != nil {
		return nil, err
	}
	return c, nil
}

// Change edits the configuration in force through the daemon of m. It tries
// again when another change came first or the platform is away; edit may
// then be called again.
func (f *Fleet) Change(ctx context.Context, m fescuelatch.VMID, edit func(*fescuelatch.Configuration)) (Accepted, error) {
	var last error
	for range changeAttempts {
		a, err := f.changeOnce(ctx, m, edit)
		if err == nil {
			return a, nil
		}
		last = err
		select {
		case <-ctx.Done():
			return Accepted{}, last
		case <-time.After(changePause):
		}
	}
	return Accepted{}, last
}

func (f *Fleet) changeOnce(ctx context.Context, m fescuelatch.VMID, edit func(*fescuelatch.Configuration)) (Accepted, error) {
	v, err := f.vm(m)
	if err != nil {
		return Accepted{}, err
	}
	from, err := f.InForce(ctx, m)
	if err != nil {
		return Accepted{}, err
	}
	to := *from
	to.Overrides = cloneOverrides(from.Overrides)
	to.Inventory.Versions = slices.Clone(from.Inventory.Versions)
	edit(&to)
	c := newChange(from, &to)
	if c.Empty() {
		return Accepted{Generation: from.Generation, Accepted: time.Now()}, nil
	}
	var a Accepted
	if err := f.call(ctx, http.MethodPost, changesURL(v), &c, &a); err != nil {
		return Accepted{}, err
	}
	a.Accepted = time.Now()
	return a, nil
}

func cloneOverrides(o fescuelatch.Overrides) fescuelatch.Overrides {
	return fescuelatch.Overrides{
		Withdrawn:    slices.Clone(o.Withdrawn),
		DomainsOut:   slices.Clone(o.DomainsOut),
		VMsOut:       slices.Clone(o.VMsOut),
		EndpointsOut: slices.Clone(o.EndpointsOut),
	}
}
