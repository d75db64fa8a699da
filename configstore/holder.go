package configstore

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the holder of a daemon's active configuration and the
// updates sent to other daemons.

// DefaultRetainedChanges is the default number of recent changes that a Holder
// keeps for incremental updates.
const DefaultRetainedChanges = 256

// Update brings a receiver to Generation, either by changes, oldest first, or
// by the full configuration. Both are empty if the receiver is up to date.
type Update struct {
	Generation fescuelatch.Generation     `json:"generation"`
	Digest     string                     `json:"digest"`
	Changes    []fescuelatch.Change       `json:"changes,omitempty"`
	Full       *fescuelatch.Configuration `json:"full,omitempty"`
}

// Holder holds the active configuration. Its generation never decreases, and
// an invalid configuration never replaces a valid one. The zero value has
// generation zero. It is safe for concurrent use.
type Holder struct {
	// Retain overrides DefaultRetainedChanges if set before first use.
	Retain int

	mu      sync.Mutex
	view    *fescuelatch.View
	digest  string
	changes []fescuelatch.Change // consecutive, the last led to view
	changed chan struct{}        // closed when view changes
}

const (
	opOffer = "offer"
	opTake  = "take update"
	opWait  = "wait"
)

// View returns the active configuration, or nil if there is none yet.
func (h *Holder) View() *fescuelatch.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Generation returns the active generation.
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

// Digest returns the digest of the active configuration.
func (h *Holder) Digest() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

// Activate activates c if its generation is higher than the active one, and
// reports whether it did.
func (h *Holder) Activate(c *fescuelatch.Configuration) (bool, error) {
	if c.Generation <= h.Generation() {
		return false, nil
	}
	v, err := fescuelatch.NewView(c)
	if err != nil {
		return false, &Error{Op: opOffer, Kind: KindInvalid, Faults: c.Validate(), Err: err}
	}
	return h.activate(v, c.Digest(), nil), nil
}

// ApplyUpdate applies u and activates the result if its generation is higher than the
// active one, and reports whether it did. It returns a KindMismatch error if
// the changes do not follow the active generation or do not produce the
// digest; the receiver then requests a full configuration, as from generation
// zero.
func (h *Holder) ApplyUpdate(u Update) (bool, error) {
	if u.Generation <= h.Generation() {
		return false, nil
	}
	c, changes, err := h.resolve(u)
	if err != nil {
		return false, &Error{Op: opTake, Kind: KindMismatch, Err: err}
	}
	d := c.Digest()
	if c.Generation != u.Generation || d != u.Digest {
		err := errors.Errorf("update produced generation %d with digest %s, expected generation %d with digest %s", c.Generation, d, u.Generation, u.Digest)
		return false, &Error{Op: opTake, Kind: KindMismatch, Err: err}
	}
	v, err := fescuelatch.NewView(c)
	if err != nil {
		return false, &Error{Op: opTake, Kind: KindInvalid, Faults: c.Validate(), Err: err}
	}
	return h.activate(v, d, changes), nil
}

// resolve returns the configuration that u produces and, for an incremental
// update, its changes.
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

// activate replaces the active configuration unless a concurrent call has
// activated the same or a higher generation.
func (h *Holder) activate(v *fescuelatch.View, digest string, changes []fescuelatch.Change) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Generation() <= h.generation() {
		return false
	}
	h.retainChanges(changes)
	h.view = v
	h.digest = digest
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// retainChanges appends changes to the retained ones. The older changes are
// dropped if there is a gap.
func (h *Holder) retainChanges(changes []fescuelatch.Change) {
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

// Since returns the update from generation g to the active one. It contains
// changes if they are retained, otherwise the full configuration.
func (h *Holder) Since(g fescuelatch.Generation) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	active := h.generation()
	u := Update{Generation: active, Digest: h.digest}
	if g >= active {
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

// Wait blocks until the active generation is higher than g and returns the
// active configuration.
func (h *Holder) Wait(ctx context.Context, g fescuelatch.Generation) (*fescuelatch.View, error) {
	for {
		v, changed := h.current()
		if v != nil && v.Generation() > g {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &Error{Op: opWait, Kind: KindUnavailable, Err: errors.WithStack(ctx.Err())}
		}
	}
}

func (h *Holder) current() (*fescuelatch.View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.view, h.changed
}
