package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/operator"
)

// This file defines changes to a fleet's configuration.

const (
	author         = "fleet"
	changeAttempts = 20
	changeTimeout  = 30 * time.Second
)

// Operator returns a client of the operator addresses of vms, or of all VMs
// with running daemons if none is given.
func (f *Fleet) Operator(vms ...fescuelatch.VMID) *operator.Client {
	c := &operator.Client{Key: f.OperatorKey, HTTP: f.client, AttemptTimeout: callTimeout}
	for _, m := range f.Configuration.Inventory.VMs {
		if slices.Contains(vms, m.ID) || len(vms) == 0 && f.Running(m.ID) {
			c.Addresses = append(c.Addresses, m.Operator)
		}
	}
	return c
}

// seed proposes the configuration to the first daemon as the change from
// generation 0.
func (f *Fleet) seed(ctx context.Context) error {
	c := newChange(&fescuelatch.Configuration{}, f.Configuration)
	_, err := f.Operator(f.Configuration.Inventory.VMs[0].ID).Propose(ctx, &c)
	if err != nil {
		return &Error{"seed configuration", KindRefused, err}
	}
	return nil
}

// newChange returns the change from one configuration to another.
func newChange(from, to *fescuelatch.Configuration) fescuelatch.Change {
	c := fescuelatch.Diff(from, to)
	c.ID = fescuelatch.ChangeID(uuid.NewString())
	c.Author = author
	c.At = time.Now().UTC()
	return c
}

// Accepted describes an accepted change.
type Accepted struct {
	Generation fescuelatch.Generation
	// At is when the response arrived.
	At time.Time
}

// Generation returns the active generation at the daemon of m.
func (f *Fleet) Generation(ctx context.Context, m fescuelatch.VMID) (fescuelatch.Generation, error) {
	c, err := f.ActiveConfiguration(ctx, m)
	if err != nil {
		return 0, err
	}
	return c.Generation, nil
}

// ActiveConfiguration returns the active configuration at the daemon of m.
func (f *Fleet) ActiveConfiguration(ctx context.Context, m fescuelatch.VMID) (*fescuelatch.Configuration, error) {
	c, err := f.Operator(m).Configuration(ctx)
	if err != nil {
		return nil, &Error{"get configuration", KindRefused, err}
	}
	return c, nil
}

// Change edits the active configuration through the daemons of vms, or
// through all running daemons if none is given. It retries the edit after a
// conflict with another change.
func (f *Fleet) Change(ctx context.Context, edit func(*fescuelatch.Configuration), vms ...fescuelatch.VMID) (Accepted, error) {
	const op = "change configuration"
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := f.Operator(vms...)
	var err error
	for range changeAttempts {
		var a Accepted
		a, err = changeOnce(ctx, client, edit)
		if err == nil {
			return a, nil
		}
		var e *operator.Error
		if !errors.As(err, &e) || e.Kind != operator.KindConflict {
			break
		}
	}
	return Accepted{}, &Error{op, KindRefused, err}
}

func changeOnce(ctx context.Context, client *operator.Client, edit func(*fescuelatch.Configuration)) (Accepted, error) {
	from, err := client.Configuration(ctx)
	if err != nil {
		return Accepted{}, err
	}
	to := *from
	to.Overrides = cloneOverrides(from.Overrides)
	to.Inventory.Versions = slices.Clone(from.Inventory.Versions)
	to.Rules.Accounts = slices.Clone(from.Rules.Accounts)
	edit(&to)
	c := newChange(from, &to)
	if c.Empty() {
		return Accepted{Generation: from.Generation, At: time.Now()}, nil
	}
	r, err := client.Propose(ctx, &c)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Generation: r.Generation, At: time.Now()}, nil
}

func cloneOverrides(o fescuelatch.Overrides) fescuelatch.Overrides {
	return fescuelatch.Overrides{
		Withdrawn:    slices.Clone(o.Withdrawn),
		DomainsOut:   slices.Clone(o.DomainsOut),
		VMsOut:       slices.Clone(o.VMsOut),
		EndpointsOut: slices.Clone(o.EndpointsOut),
	}
}
