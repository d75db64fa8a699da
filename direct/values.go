package direct

import (
	"bytes"
	"encoding/gob"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/delta"
)

// This file defines how large values, such as configurations, travel between daemons: as
// patches of a value that the follower holds, or compressed. A patch is made once, by the
// daemon that has read the value from the store, and passed on as it is.

const (
	// minLargeValue is the size from which values are encoded.
	minLargeValue = 4 << 10
	// maxLargeValues bounds the keys whose values are encoded.
	maxLargeValues = 8
	// maxPatches and maxPatchBytes bound the patches kept for a key. A follower whose
	// value is older gets the whole value.
	maxPatches    = 8
	maxPatchBytes = 256 << 10
)

// HeldValue identifies a value that a follower holds.
type HeldValue struct {
	Key    string
	Digest delta.Digest
}

// Patch turns the value with the digest Base into the one with the digest Value.
type Patch struct {
	Base, Value delta.Digest
	Data        []byte
}

// EncodedValue is the value of an item of a reply. If it has neither patches nor Whole,
// the follower holds the value already.
type EncodedValue struct {
	Item    int // in the items of the reply
	Digest  delta.Digest
	Patches []Patch // of the value that the follower holds, in order
	Whole   []byte  // compressed value
}

// largeValues holds the latest large values and the patches that lead to them. It is safe
// for concurrent use.
type largeValues struct {
	mu     sync.Mutex
	latest *simplelru.LRU[string, *largeValue]
}

// largeValue is the latest value of a key.
type largeValue struct {
	value  []byte
	digest delta.Digest
	// before is the value before it, until a patch of it is made or received.
	before       []byte
	beforeDigest delta.Digest
	// patches lead to value, or to before if that is set.
	patches []Patch
	// whole is the compressed value, if a follower has needed it.
	whole []byte
}

func newLargeValues() *largeValues {
	// The only error is that of a size which is not positive.
	latest, _ := simplelru.NewLRU[string, *largeValue](maxLargeValues, nil)
	return &largeValues{latest: latest}
}

// observe records the large values among items.
func (l *largeValues) observe(items []fescuelatch.StoredItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range items {
		switch {
		case i.Removed:
			l.latest.Remove(i.Key)
		case len(i.Value) >= minLargeValue && !l.isLatestLocked(i.Key, i.Value):
			l.recordLocked(i.Key, i.Value, delta.Sum(i.Value), nil)
		}
	}
}

// isLatestLocked reports whether the latest value of a key is this slice.
func (l *largeValues) isLatestLocked(key string, value []byte) bool {
	v, ok := l.latest.Get(key)
	return ok && len(v.value) == len(value) && &v.value[0] == &value[0]
}

// recordLocked records the latest value of a key, and the patches that led to it, if any.
func (l *largeValues) recordLocked(key string, value []byte, digest delta.Digest, patches []Patch) {
	v, ok := l.latest.Get(key)
	switch {
	case !ok:
		v = new(largeValue)
		l.latest.Add(key, v)
	case v.digest == digest:
		v.value = value
		return
	case len(patches) > 0:
		if v.before != nil {
			v.patches = nil // They do not lead to the value that is patched.
		}
		v.before, v.patches = nil, append(v.patches, patches...)
	default:
		if v.before != nil {
			v.patches = nil
		}
		v.before, v.beforeDigest = v.value, v.digest
	}
	v.value, v.digest, v.whole = value, digest, nil
	v.trim()
}

// trim discards the oldest patches beyond the bounds.
func (v *largeValue) trim() {
	total := 0
	for i := len(v.patches) - 1; i >= 0; i-- {
		total += len(v.patches[i].Data)
		if total > maxPatchBytes || len(v.patches)-i > maxPatches {
			v.patches = append([]Patch(nil), v.patches[i+1:]...)
			return
		}
	}
}

// held returns the values held.
func (l *largeValues) held() []HeldValue {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []HeldValue
	for _, key := range l.latest.Keys() {
		if v, ok := l.latest.Peek(key); ok {
			held = append(held, HeldValue{key, v.digest})
		}
	}
	return held
}

// encode moves the large values out of the items of a reply to a follower that holds some
// values.
func (l *largeValues) encode(r *ChangesReply, held []HeldValue) error {
	holds := make(map[string]delta.Digest, len(held))
	for _, h := range held {
		holds[h.Key] = h.Digest
	}
	for n := range r.Items {
		i := &r.Items[n]
		if i.Removed || len(i.Value) < minLargeValue {
			continue
		}
		e, err := l.encodeValue(i.Key, i.Value, holds[i.Key])
		if err != nil {
			return err
		}
		e.Item, holds[i.Key] = n, e.Digest
		r.Values = append(r.Values, e)
		i.Value = nil
	}
	if itemBytes(r.Items) < minLargeValue {
		return nil
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r.Items); err != nil {
		return &Error{"encode items", KindPeer, errors.WithStack(err)}
	}
	packed, err := delta.Encode(nil, b.Bytes())
	if err != nil {
		return err //nolint:wrapcheck // It names its operation.
	}
	r.Packed, r.Items = packed, nil
	return nil
}

// encodeValue encodes a value of a key for a follower that holds one with a digest.
func (l *largeValues) encodeValue(key string, value []byte, held delta.Digest) (EncodedValue, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.latest.Get(key)
	latest := l.isLatestLocked(key, value)
	var e EncodedValue
	if latest {
		e.Digest = v.digest
	} else {
		e.Digest = delta.Sum(value)
	}
	if held == e.Digest {
		return e, nil
	}
	var err error
	if ok {
		if e.Patches, err = v.patchesBetween(held, e.Digest); err != nil || len(e.Patches) > 0 {
			return e, err
		}
	}
	if latest && v.whole != nil {
		e.Whole = v.whole
		return e, nil
	}
	if e.Whole, err = delta.Encode(nil, value); err != nil {
		return e, err //nolint:wrapcheck // It names its operation.
	}
	if latest {
		v.whole = e.Whole
	}
	return e, nil
}

// patchesBetween returns the patches that lead from the value with one digest to that with
// another one, if there are any.
func (v *largeValue) patchesBetween(from, to delta.Digest) ([]Patch, error) {
	starts := func(p Patch) bool { return p.Base == from }
	if v.before != nil && to == v.digest && (from == v.beforeDigest || slices.ContainsFunc(v.patches, starts)) {
		data, err := delta.Encode(v.before, v.value)
		if err != nil {
			return nil, err //nolint:wrapcheck // It names its operation.
		}
		v.patches, v.before = append(v.patches, Patch{v.beforeDigest, v.digest, data}), nil
		v.trim()
	}
	first := slices.IndexFunc(v.patches, starts)
	if first < 0 {
		return nil, nil
	}
	n := slices.IndexFunc(v.patches[first:], func(p Patch) bool { return p.Value == to })
	return slices.Clone(v.patches[first : first+n+1]), nil
}

// decode completes the items of a reply. If a value cannot be put together, it forgets the
// one held, so that the source sends the next one whole.
func (l *largeValues) decode(r *ChangesReply) error {
	const op = "decode items"
	if r.Packed != nil {
		b, err := delta.Decode(nil, r.Packed, maxMessageBytes)
		if err != nil {
			return err //nolint:wrapcheck // It names its operation.
		}
		if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&r.Items); err != nil {
			return &Error{op, KindPeer, errors.WithStack(err)}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range r.Values {
		if e.Item < 0 || e.Item >= len(r.Items) {
			return &Error{op, KindPeer, errors.Errorf("value of item %d of %d", e.Item, len(r.Items))}
		}
		i := &r.Items[e.Item]
		value, err := l.decodeValueLocked(i.Key, e)
		if err != nil {
			l.latest.Remove(i.Key)
			return err
		}
		i.Value = value
		l.recordLocked(i.Key, value, e.Digest, e.Patches)
	}
	return nil
}

func (l *largeValues) decodeValueLocked(key string, e EncodedValue) ([]byte, error) {
	const op = "decode value"
	if e.Whole != nil {
		value, err := delta.Decode(nil, e.Whole, maxMessageBytes)
		if err == nil && delta.Sum(value) != e.Digest {
			err = &Error{op, KindPeer, errors.Errorf("value is not %s", e.Digest)}
		}
		return value, err
	}
	v, ok := l.latest.Get(key)
	if !ok {
		return nil, &Error{op, KindPeer, errors.New("no value is held")}
	}
	value, digest := v.value, v.digest
	for _, p := range e.Patches {
		if p.Base != digest {
			return nil, &Error{op, KindPeer, errors.Errorf("patch of %s, but %s is held", p.Base, digest)}
		}
		var err error
		if value, err = delta.Decode(value, p.Data, maxMessageBytes); err != nil {
			return nil, err //nolint:wrapcheck // It names its operation.
		}
		if digest = delta.Sum(value); digest != p.Value {
			return nil, &Error{op, KindPeer, errors.Errorf("patched value is %s, not %s", digest, p.Value)}
		}
	}
	if digest != e.Digest {
		return nil, &Error{op, KindPeer, errors.Errorf("value is %s, not %s", digest, e.Digest)}
	}
	return value, nil
}
