// Package memory implements an in-memory key-value service with fault
// injection, for tests. It has etcd's transaction semantics: all comparisons,
// nested ones included, are evaluated before the first write, and a transaction
// must not write a key twice.
package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines the service.

var _ fescuelatch.KV = (*KV)(nil)

// Call describes one call to the service.
type Call struct {
	Op string
	// Write reports whether the call can change data.
	Write bool
	// Number counts calls from 1.
	Number int
}

// Fault is a fault injected into a call. The zero value is no fault.
type Fault struct {
	// Before is returned instead of processing the call.
	Before error
	// After is returned instead of the result of a call that took effect.
	After error
	// Delay is the delay before the call is processed.
	Delay time.Duration
}

// KV is the service. The zero value is empty and injects no faults. It is safe
// for concurrent use.
type KV struct {
	// Faults, if set, returns the fault of each call. It is called with the
	// service locked.
	Faults func(Call) Fault

	mu       sync.Mutex
	calls    int
	down     bool
	revision int64
	lease    int64
	keys     map[string]fescuelatch.KeyValue
	leased   map[string]int64
	leases   map[int64]time.Duration
	history  []change
	watchers map[*watcher]struct{}
}

type change struct {
	revision int64
	kv       fescuelatch.KeyValue
}

type watcher struct {
	from, to string
	ch       chan fescuelatch.KeyValue
}

const watchBuffer = 1024

// SetDown begins or ends an outage. All watches end when it begins.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	if down {
		k.breakWatches()
	}
}

// BreakWatches ends all watches.
func (k *KV) BreakWatches() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakWatches()
}

func (k *KV) breakWatches() {
	for w := range k.watchers {
		close(w.ch)
	}
	k.watchers = nil
}

// Calls returns the number of calls made so far, failed ones included.
func (k *KV) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Snapshot returns all keys with the prefix, in order, without a call.
func (k *KV) Snapshot(prefix string) []fescuelatch.KeyValue {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list(prefix, prefix+"\xff", 0)
}

// Expire expires a lease and deletes its keys.
func (k *KV) Expire(lease int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.leases, lease)
	for key, l := range k.leased {
		if l == lease {
			k.revision++
			k.remove(key)
		}
	}
}

// Get implements fescuelatch.KV.
func (k *KV) Get(ctx context.Context, key string) (fescuelatch.KeyValue, error) {
	var kv fescuelatch.KeyValue
	err := k.call(ctx, "get", false, func() error { kv = k.get(key); return nil })
	return kv, err
}

// List implements fescuelatch.KV.
func (k *KV) List(ctx context.Context, from, to string, limit int) ([]fescuelatch.KeyValue, error) {
	var kvs []fescuelatch.KeyValue
	err := k.call(ctx, "list", false, func() error { kvs = k.list(from, to, limit); return nil })
	return kvs, err
}

// Txn implements fescuelatch.KV.
func (k *KV) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	var r fescuelatch.KVTxnResult
	err := k.call(ctx, "transaction", true, func() error {
		if err := k.check(t); err != nil {
			return &keyvalue.Error{Op: "transaction", Kind: keyvalue.KindInvalid, Err: err}
		}
		r = k.txn(t)
		return nil
	})
	return r, err
}

// Grant implements fescuelatch.KV. Leases expire only by Expire.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var id int64
	err := k.call(ctx, "grant lease", true, func() error {
		k.lease++
		id = k.lease
		if k.leases == nil {
			k.leases = make(map[int64]time.Duration)
		}
		k.leases[id] = ttl
		return nil
	})
	return id, err
}

// KeepAlive implements fescuelatch.KV.
func (k *KV) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var left time.Duration
	err := k.call(ctx, "keep lease alive", true, func() error { left = k.leases[lease]; return nil })
	return left, err
}

// Watch implements fescuelatch.KV.
func (k *KV) Watch(ctx context.Context, from, to string, revision int64) (<-chan fescuelatch.KeyValue, error) {
	w := &watcher{from: from, to: to, ch: make(chan fescuelatch.KeyValue, watchBuffer)}
	err := k.call(ctx, "watch", false, func() error {
		for _, c := range k.history {
			if revision > 0 && c.revision > revision {
				w.send(c.kv)
			}
		}
		if k.watchers == nil {
			k.watchers = make(map[*watcher]struct{})
		}
		k.watchers[w] = struct{}{}
		return nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { k.stopWatch(w) })
	return w.ch, nil
}

func (k *KV) stopWatch(w *watcher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.watchers[w]; ok {
		delete(k.watchers, w)
		close(w.ch)
	}
}

// send drops kv if the buffer is full: a watch may miss changes.
func (w *watcher) send(kv fescuelatch.KeyValue) {
	if kv.Key < w.from || kv.Key >= w.to && kv.Key != w.from {
		return
	}
	select {
	case w.ch <- kv:
	default:
	}
}

// call runs f under the lock as one call, with its fault.
func (k *KV) call(ctx context.Context, op string, write bool, f func() error) error {
	fault := k.nextFault(op, write)
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			// The call has been sent already and is still processed.
			_ = k.runLocked(f)
			return canceledError(op, write, ctx.Err())
		}
	}
	if err := ctx.Err(); err != nil {
		return &keyvalue.Error{Op: op, Kind: keyvalue.KindUnavailable, Err: errors.WithStack(err)}
	}
	if fault.Before != nil {
		return fault.Before
	}
	if err := k.runLocked(f); err != nil {
		return err
	}
	return fault.After
}

func canceledError(op string, write bool, err error) error {
	kind := keyvalue.KindUnavailable
	if write {
		kind = keyvalue.KindUnknown
	}
	return &keyvalue.Error{Op: op, Kind: kind, Err: errors.WithStack(err)}
}

func (k *KV) nextFault(op string, write bool) Fault {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if k.down {
		return Fault{Before: Unavailable(op)}
	}
	if k.Faults == nil {
		return Fault{}
	}
	return k.Faults(Call{Op: op, Write: write, Number: k.calls})
}

func (k *KV) runLocked(f func() error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return f()
}

// Unavailable returns the error of a call that had no effect.
func Unavailable(op string) error {
	return &keyvalue.Error{Op: op, Kind: keyvalue.KindUnavailable, Err: errors.New("outage")}
}

// ResponseLost returns the error of a write whose response is lost.
func ResponseLost(op string) error {
	return &keyvalue.Error{Op: op, Kind: keyvalue.KindUnknown, Err: errors.New("answer lost")}
}

func (k *KV) get(key string) fescuelatch.KeyValue {
	kv, ok := k.keys[key]
	if !ok {
		return fescuelatch.KeyValue{Key: key}
	}
	return kv
}

func (k *KV) list(from, to string, limit int) []fescuelatch.KeyValue {
	var kvs []fescuelatch.KeyValue
	for key, kv := range k.keys {
		if key >= from && key < to {
			kvs = append(kvs, kv)
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return kvs[i].Key < kvs[j].Key })
	if limit > 0 && len(kvs) > limit {
		kvs = kvs[:limit]
	}
	return kvs
}

func (k *KV) put(p fescuelatch.KVPut) {
	if k.keys == nil {
		k.keys = make(map[string]fescuelatch.KeyValue)
		k.leased = make(map[string]int64)
	}
	kv := fescuelatch.KeyValue{Key: p.Key, Value: append([]byte(nil), p.Value...), Revision: k.revision}
	k.keys[p.Key] = kv
	delete(k.leased, p.Key)
	if p.Lease != 0 {
		k.leased[p.Key] = p.Lease
	}
	k.notify(kv)
}

func (k *KV) remove(key string) {
	if _, ok := k.keys[key]; !ok {
		return
	}
	delete(k.keys, key)
	delete(k.leased, key)
	k.notify(fescuelatch.KeyValue{Key: key})
}

func (k *KV) notify(kv fescuelatch.KeyValue) {
	k.history = append(k.history, change{revision: k.revision, kv: kv})
	for w := range k.watchers {
		w.send(kv)
	}
}
