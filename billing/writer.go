package billing

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines how batches are written to the platform, each once.
//
// For each origin a key lists the sequences that are at the platform. It is
// changed by compare-and-swap in the same transaction that writes the bills,
// so any daemon may write any batches of an origin, in any grouping, and a
// batch is never written twice.

const (
	prefixBatch  = "fescuelatch/bill/batch/"
	prefixKey    = "fescuelatch/bill/key/"
	prefixOrigin = "fescuelatch/bill-origin/"

	// maxRunBills bounds the bills of a transaction, which must stay below a
	// megabyte.
	maxRunBills = 2000
	// maxRunKeyed bounds those that have a key of their own, as an etcd
	// server takes 128 operations a transaction by default.
	maxRunKeyed = 100
	// maxSwaps bounds the attempts that other writers make fail.
	maxSwaps = 10
)

// origin is the value of an origin's key.
type origin struct {
	Written spans `json:"written"`
}

func originKey(o fescuelatch.Incarnation) string { return prefixOrigin + string(o) }

func batchKey(o fescuelatch.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%020d", prefixBatch, o, n)
}

func keyedKey(a fescuelatch.AccountID, key string) string {
	h := sha256.Sum256([]byte(key))
	return prefixKey + string(a) + "/" + hex.EncodeToString(h[:])
}

// writer writes batches. It remembers what it has last read of each origin.
// The zero value is ready to use.
type writer struct {
	mu    sync.Mutex
	known map[fescuelatch.Incarnation]known
}

type known struct {
	revision int64
	written  spans
}

const opWrite = "write"

// write brings batches of one origin to the platform and returns when they
// all are there. When it fails some may be.
func (w *writer) write(ctx context.Context, s keyvalue.Submitter, o fescuelatch.Incarnation, batches []Batch) error {
	for range maxSwaps {
		k := w.recall(o)
		missing := without(batches, k.written)
		if len(missing) == 0 {
			return nil
		}
		t, written := transaction(o, missing, k)
		res, err := s.Submit(ctx, t)
		if err != nil {
			return &Error{Op: opWrite, Kind: KindUnavailable, Err: err}
		}
		if res.Succeeded {
			w.remember(o, known{revision: res.Revision, written: written})
			return nil
		}
		k, err = found(res)
		if err != nil {
			return &Error{Op: opWrite, Kind: KindInvalid, Err: err}
		}
		w.remember(o, k)
	}
	return &Error{Op: opWrite, Kind: KindUnavailable, Err: errors.New("other writers kept changing the origin's key")}
}

func (w *writer) recall(o fescuelatch.Incarnation) known {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[o]
}

// remember keeps the newest state of an origin.
func (w *writer) remember(o fescuelatch.Incarnation, k known) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known == nil {
		w.known = make(map[fescuelatch.Incarnation]known)
	}
	w.known[o] = k
}

func (w *writer) forget(o fescuelatch.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.known, o)
}

func found(res fescuelatch.KVTxnResult) (known, error) {
	if len(res.Results) != 1 || len(res.Results[0].Values) != 1 {
		return known{}, nil
	}
	kv := res.Results[0].Values[0]
	var o origin
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return known{}, errors.WithStack(err)
	}
	return known{revision: kv.Revision, written: o.Written}, nil
}

func without(batches []Batch, written spans) []Batch {
	var missing []Batch
	for _, b := range batches {
		if !written.has(b.Sequence) {
			missing = append(missing, b)
		}
	}
	return missing
}

// transaction returns the step that writes the batches and lists them as
// written, if the origin's key is still at the revision known, and the list.
func transaction(o fescuelatch.Incarnation, batches []Batch, k known) (fescuelatch.KVTxn, spans) {
	written := k.written
	all := Batch{Origin: o}
	var keyed []fescuelatch.KVOp
	seen := make(map[string]bool)
	for _, b := range batches {
		written = written.with(b.Sequence)
		if all.Sequence == 0 || b.Sequence < all.Sequence {
			all.Sequence = b.Sequence
		}
		for i := range b.Bills {
			bill := &b.Bills[i]
			if bill.Key == "" {
				all.Bills = append(all.Bills, *bill)
				continue
			}
			key := keyedKey(bill.Account, bill.Key)
			// A transaction must not write a key twice.
			if !seen[key] {
				seen[key] = true
				keyed = append(keyed, createIfAbsent(key, bill))
			}
		}
	}
	t := fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: originKey(o), Revision: k.revision}},
		Then: []fescuelatch.KVOp{put(originKey(o), origin{Written: written})},
		Else: []fescuelatch.KVOp{{Get: originKey(o)}},
	}
	if len(all.Bills) > 0 {
		t.Then = append(t.Then, put(batchKey(o, all.Sequence), all))
	}
	t.Then = append(t.Then, keyed...)
	return t, written
}

func put(key string, value any) fescuelatch.KVOp {
	// Encoding of these types cannot fail.
	b, _ := json.Marshal(value)
	return fescuelatch.KVOp{Put: &fescuelatch.KVPut{Key: key, Value: b}}
}

// createIfAbsent makes all repeats of a keyed request share the bill that
// comes first.
func createIfAbsent(key string, bill *fescuelatch.Bill) fescuelatch.KVOp {
	return fescuelatch.KVOp{Txn: &fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: key}},
		Then: []fescuelatch.KVOp{put(key, bill)},
	}}
}

// firstRun returns how many of the batches fit one transaction, at least one.
func firstRun(batches []Batch) int {
	bills, keyed := 0, 0
	for n, b := range batches {
		bills += len(b.Bills)
		for i := range b.Bills {
			if b.Bills[i].Key != "" {
				keyed++
			}
		}
		if n > 0 && (bills > maxRunBills || keyed > maxRunKeyed) {
			return n
		}
	}
	return len(batches)
}
