package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// This file defines calls to stand-ins and waiting for processes.

const maxBody = 64 << 20 // bytes

// call sends in as JSON unless it is nil and decodes the response into out
// unless that is nil. Any status outside 200 to 299 is an error.
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
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{op, KindRefused, errors.WithStack(err)}
	}
	return nil
}

// poll calls try until it succeeds, a process crashes or ctx ends.
func (f *Fleet) poll(ctx context.Context, op string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if cs := f.Crashed(); len(cs) > 0 {
			return &Error{op, KindProcess, errors.Errorf("processes ended unexpectedly: %v; last error: %v", cs, err)}
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
	p := &f.addresses
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
