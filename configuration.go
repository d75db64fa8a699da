package fescuelatch

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// This file defines configurations and the changes between generations.

// Configuration holds all operator settings of one generation. It is
// immutable once returned by Apply or passed to NewView.
type Configuration struct {
	Generation Generation `json:"generation" yaml:"generation,omitempty"`
	Inventory  Inventory  `json:"inventory" yaml:"inventory"`
	Rules      Rules      `json:"rules" yaml:"rules"`
	Overrides  Overrides  `json:"overrides" yaml:"overrides,omitempty"`
}

// EntryKind is the kind of a configuration entry.
type EntryKind string

// Kinds of configuration entries.
const (
	EntryDomain   EntryKind = "failure-domain"
	EntryVM       EntryKind = "vm"
	EntryModel    EntryKind = "model"
	EntryVersion  EntryKind = "version"
	EntryPool     EntryKind = "pool"
	EntryEndpoint EntryKind = "endpoint"
	EntryService  EntryKind = "service"
	EntryAccount  EntryKind = "account"
	// EntryOverrides is the single entry that holds all overrides.
	EntryOverrides EntryKind = "overrides"
)

// EntryKey identifies an entry of a configuration.
type EntryKey struct {
	Kind EntryKind `json:"kind"`
	ID   string    `json:"id"`
}

// Entry is a configuration entry in its wire form.
type Entry struct {
	EntryKey
	Body json.RawMessage `json:"body"`
}

// Change transforms generation Base into Base+1. Digest is the digest of the
// resulting configuration, so that a receiver can verify its own result.
type Change struct {
	ID     ChangeID   `json:"id"`
	Base   Generation `json:"base"`
	Author string     `json:"author"`
	Note   string     `json:"note,omitempty"`
	At     time.Time  `json:"at"`
	Put    []Entry    `json:"put,omitempty"`
	Delete []EntryKey `json:"delete,omitempty"`
	Digest string     `json:"digest"`
}

// Generation returns the generation that the change produces.
func (c *Change) Generation() Generation { return c.Base + 1 }

// Empty reports whether the change has no effect.
func (c *Change) Empty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

// Digest returns the hexadecimal SHA-256 of the configuration's entries and
// generation. Configurations with equal content have equal digests.
func (c *Configuration) Digest() string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	// Encoding to a hash cannot fail for these types.
	_ = enc.Encode(c.Generation)
	_ = enc.Encode(c.Entries())
	return hex.EncodeToString(h.Sum(nil))
}

// Entries returns all entries ordered by kind, then identifier.
func (c *Configuration) Entries() []Entry {
	var es []Entry
	es = appendEntries(es, EntryDomain, c.Inventory.Domains, func(d FailureDomain) string { return string(d.ID) })
	es = appendEntries(es, EntryVM, c.Inventory.VMs, func(v VM) string { return string(v.ID) })
	es = appendEntries(es, EntryModel, c.Inventory.Models, func(m Model) string { return string(m.ID) })
	es = appendEntries(es, EntryVersion, c.Inventory.Versions, func(v Version) string { return string(v.ID) })
	es = appendEntries(es, EntryPool, c.Inventory.Pools, func(p Pool) string { return string(p.ID) })
	es = appendEntries(es, EntryEndpoint, c.Inventory.Endpoints, func(e Endpoint) string { return string(e.ID) })
	es = appendEntries(es, EntryService, c.Inventory.Services, func(s Service) string { return string(s.ID) })
	es = appendEntries(es, EntryAccount, c.Rules.Accounts, func(a Account) string { return string(a.ID) })
	es = appendEntries(es, EntryOverrides, []Overrides{c.Overrides}, func(Overrides) string { return "" })
	sort.SliceStable(es, func(i, j int) bool { return es[i].less(es[j].EntryKey) })
	return es
}

func (k EntryKey) less(o EntryKey) bool {
	if k.Kind != o.Kind {
		return k.Kind < o.Kind
	}
	return k.ID < o.ID
}

func appendEntries[T any](es []Entry, k EntryKind, list []T, id func(T) string) []Entry {
	for _, v := range list {
		// Encoding of the domain types cannot fail.
		b, _ := json.Marshal(v)
		es = append(es, Entry{EntryKey: EntryKey{Kind: k, ID: id(v)}, Body: b})
	}
	return es
}

// Diff returns the change from a to the content of b. The result lacks ID,
// Author and At. The generation of b is ignored.
func Diff(a, b *Configuration) Change {
	before := make(map[EntryKey]json.RawMessage)
	for _, e := range a.Entries() {
		before[e.EntryKey] = e.Body
	}
	c := Change{Base: a.Generation}
	for _, e := range b.Entries() {
		body, ok := before[e.EntryKey]
		if !ok || !bytes.Equal(body, e.Body) {
			c.Put = append(c.Put, e)
		}
		delete(before, e.EntryKey)
	}
	for k := range before {
		c.Delete = append(c.Delete, k)
	}
	sort.Slice(c.Delete, func(i, j int) bool { return c.Delete[i].less(c.Delete[j]) })
	next := *b
	next.Generation = c.Generation()
	c.Digest = next.Digest()
	return c
}

// Apply returns the configuration that change produces from c, which is not
// modified. It reports KindStale if the base of the change is not c's
// generation, KindInvalid if an entry does not decode, and KindMismatch if the
// digest differs.
func (c *Configuration) Apply(change *Change) (*Configuration, error) {
	const op = "apply change"
	if change.Base != c.Generation {
		return nil, &Error{op, KindStale, errors.Errorf("base %d, have %d", change.Base, c.Generation)}
	}
	byKey := make(map[EntryKey]json.RawMessage)
	for _, e := range c.Entries() {
		byKey[e.EntryKey] = e.Body
	}
	for _, k := range change.Delete {
		delete(byKey, k)
	}
	for _, e := range change.Put {
		byKey[e.EntryKey] = e.Body
	}
	next, err := fromEntries(byKey)
	if err != nil {
		return nil, &Error{op, KindInvalid, err}
	}
	next.Generation = change.Generation()
	if d := next.Digest(); d != change.Digest {
		return nil, &Error{op, KindMismatch, errors.Errorf("have %s, change says %s", d, change.Digest)}
	}
	return next, nil
}

func fromEntries(byKey map[EntryKey]json.RawMessage) (*Configuration, error) {
	keys := make([]EntryKey, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	c := new(Configuration)
	for _, k := range keys {
		if err := c.add(k, byKey[k]); err != nil {
			return nil, errors.Wrapf(err, "%s %q", k.Kind, k.ID)
		}
	}
	return c, nil
}

func (c *Configuration) add(k EntryKey, body json.RawMessage) error {
	switch k.Kind {
	case EntryDomain:
		return appendDecoded(&c.Inventory.Domains, body)
	case EntryVM:
		return appendDecoded(&c.Inventory.VMs, body)
	case EntryModel:
		return appendDecoded(&c.Inventory.Models, body)
	case EntryVersion:
		return appendDecoded(&c.Inventory.Versions, body)
	case EntryPool:
		return appendDecoded(&c.Inventory.Pools, body)
	case EntryEndpoint:
		return appendDecoded(&c.Inventory.Endpoints, body)
	case EntryService:
		return appendDecoded(&c.Inventory.Services, body)
	case EntryAccount:
		return appendDecoded(&c.Rules.Accounts, body)
	case EntryOverrides:
		return json.Unmarshal(body, &c.Overrides)
	default:
		return errors.Errorf("unknown kind")
	}
}

func appendDecoded[T any](list *[]T, body json.RawMessage) error {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return errors.WithStack(err)
	}
	*list = append(*list, v)
	return nil
}
