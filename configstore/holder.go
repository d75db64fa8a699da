package configstore

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the configuration in force in a daemon and how it is
// passed on to others.

// DefaultRetainedChanges is the number of changes that a Holder passes on one
// by one.
const DefaultRetainedChanges = 256

// Update leads a receiver to Generation: by changes, oldest first, or by the
// full configuration. Both are empty when the receiver is not behind.
type Update struct {
	Generation fescuelatch.Generation     `json:"generation"`
	Digest     string                     `json:"digest"`
	Changes    []fescuelatch.Change       `json:"changes,omitempty"`
	Full       *fescuelatch.Configuration `json:"full,omitempty"`
}

// Holder has the configuration in force. Its generation never decreases and
// an invalid configuration never displaces a valid one. The zero value holds
// generation zero. It is safe for concurrent use.
type Holder struct {
	// Retain replaces DefaultRetainedChanges when set before first use.
	Retain int

	mu      sync.Mutex
	view    *fescuelatch.View
	digest  string
	changes []fescuelatch.Change // consecutive, the last led to view
	raised  chan struct{}        // closed when view changes
}

const (
	opOffer = "offer"
	opTake  = "take update"
	opWait  = "wait"
)

// View returns the configuration in force, nil before the first.
func (h *Holder) View() *fescuelatch.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Generation returns the generation in force.
func (h *Holder) Generation() fescuelatch.Generation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation()
}

func (h *Holder) generation() fescuelatch.Generation {
	if h.view == nil {
		return 0
	}
	return h.view.Generation()
}

// Digest returns the digest of the configuration in force.
func (h *Holder) Digest() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

// Offer brings c into force if its generation is higher than the one in
// force, and reports whether it did.
func (h *Holder) Offer(c *fescuelatch.Configuration) (bool, error) {
	if c.Generation <= h.Generation() {
		return false, nil
	}
	v, err := fescuelatch.NewView(c)
	if err != nil {
		return false, &Error{Op: opOffer, Kind: KindInvalid, Faults: c.Validate(), Err: err}
	}
	return h.raise(v, c.Digest(), nil), nil
}

// Take brings the configuration that u leads to into force if its generation
// is higher than the one in force, and reports whether it did. It reports
// KindMismatch when the changes do not join on to what is in force or do not
// lead to the digest; the receiver then asks for a full configuration, as
// from generation zero.
func (h *Holder) Take(u Update) (bool, error) {
	if u.Generation <= h.Generation() {
		return false, nil
	}
	c, changes, err := h.resolve(u)
	if err != nil {
		return false, &Error{Op: opTake, Kind: KindMismatch, Err: err}
	}
	d := c.Digest()
	if c.Generation != u.Generation || d != u.Digest {
		err := errors.Errorf("led to generation %d digest %s, update says %d %s", c.Generation, d, u.Generation, u.Digest)
		return false, &Error{Op: opTake, Kind: KindMismatch, Err: err}
	}
	v, err := fescuelatch.NewView(c)
	if err != nil {
		return false, &Error{Op: opTake, Kind: KindInvalid, Faults: c.Validate(), Err: err}
	}
	return h.raise(v, d, changes), nil
}

// resolve returns the configuration that u leads to and the changes that led
// there from the one in force.
func (h *Holder) resolve(u Update) (*fescuelatch.Configuration, []fescuelatch.Change, error) {
	if u.Full != nil {
		return u.Full, nil, nil
	}
	c := new(fescuelatch.Configuration)
	if v := h.View(); v != nil {
		c = v.Configuration
	}
	c, err := applyAll(c, u.Changes)
	if err != nil {
		return nil, nil, err
	}
	return c, u.Changes, nil
}

// raise replaces the configuration in force unless another call has raised
// it as far in the meantime.
func (h *Holder) raise(v *fescuelatch.View, digest string, changes []fescuelatch.Change) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Generation() <= h.generation() {
		return false
	}
	h.retain(changes)
	h.view = v
	h.digest = digest
	if h.raised != nil {
		close(h.raised)
		h.raised = nil
	}
	return true
}

// retain joins the changes on to those held. A gap drops the older ones.
func (h *Holder) retain(changes []fescuelatch.Change) {
	limit := h.Retain
	if limit == 0 {
		limit = DefaultRetainedChanges
	}
	kept := h.changes
	if len(changes) == 0 {
		kept = nil
	}
	for _, c := range changes {
		if n := len(kept); n > 0 && kept[n-1].Generation() > c.Base {
			continue
		}
		if n := len(kept); n > 0 && kept[n-1].Generation() < c.Base {
			kept = nil
		}
		kept = append(kept, c)
	}
	if n := len(kept) - limit; n > 0 {
		kept = append([]fescuelatch.Change(nil), kept[n:]...)
	}
	h.changes = kept
}

// Since returns the update that leads a receiver from generation g to the one
// in force: by changes while they are held, else in full.
func (h *Holder) Since(g fescuelatch.Generation) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.generation()
	u := Update{Generation: now, Digest: h.digest}
	if g >= now {
		return u
	}
	for i := range h.changes {
		if h.changes[i].Base == g {
			u.Changes = append(u.Changes, h.changes[i:]...)
			return u
		}
	}
	u.Full = h.view.Configuration
	return u
}

// Wait returns the configuration in force once its generation is higher than
// g.
func (h *Holder) Wait(ctx context.Context, g fescuelatch.Generation) (*fescuelatch.View, error) {
	for {
		v, raised := h.current()
		if v != nil && v.Generation() > g {
			return v, nil
		}
		select {
		case <-raised:
		case <-ctx.Done():
			return nil, &Error{Op: opWait, Kind: KindUnavailable, Err: errors.WithStack(ctx.Err())}
		}
	}
}

func (h *Holder) current() (*fescuelatch.View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.raised == nil {
		h.raised = make(chan struct{})
	}
	return h.view, h.raised
}
