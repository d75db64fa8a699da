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
// For each origin, a key lists the sequences that are at the platform. The
// transaction that writes bills changes it by compare-and-swap, so any daemon
// may write any batches of an origin, in any grouping, and none is written
// twice.

const (
	prefixBatch  = "fescuelatch/bill/batch/"
	prefixKey    = "fescuelatch/bill/key/"
	prefixOrigin = "fescuelatch/bill-origin/"

	// maxTxnBills bounds the bills of a transaction, which must stay below
	// 1 MB.
	maxTxnBills = 2000
	// maxTxnKeyed bounds the keyed bills of a transaction. Each is an
	// operation, and etcd allows 128 by default.
	maxTxnKeyed = 100
	// maxSwaps bounds the attempts when other writers change the key.
	maxSwaps = 10
)

// originRecord is the value of an origin's key.
type originRecord struct {
	Written spans `json:"written"`
}

func originKey(o fescuelatch.Incarnation) string { return prefixOrigin + string(o) }

func batchKey(o fescuelatch.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%020d", prefixBatch, o, n)
}

func billKey(a fescuelatch.AccountID, key string) string {
	h := sha256.Sum256([]byte(key))
	return prefixKey + string(a) + "/" + hex.EncodeToString(h[:])
}

// writer writes batches. It caches the last known state of each origin. The
// zero value is ready to use.
type writer struct {
	mu     sync.Mutex
	states map[fescuelatch.Incarnation]originState
}

// originState is the revision and content of an origin's key.
type originState struct {
	revision int64
	written  spans
}

const opWrite = "write"

// write writes the batches of one origin that are not yet at the platform. After
// an error some may be there.
func (w *writer) write(ctx context.Context, s keyvalue.Submitter, o fescuelatch.Incarnation, batches []Batch) error {
	for range maxSwaps {
		k := w.state(o)
		missing := unwritten(batches, k.written)
		if len(missing) == 0 {
			return nil
		}
		t, written := writeTxn(o, missing, k)
		res, err := s.Submit(ctx, t)
		if err != nil {
			return &Error{Op: opWrite, Kind: KindUnavailable, Err: err}
		}
		if res.Succeeded {
			w.setState(o, originState{revision: res.Revision, written: written})
			return nil
		}
		k, err = storedState(res)
		if err != nil {
			return &Error{Op: opWrite, Kind: KindInvalid, Err: err}
		}
		w.setState(o, k)
	}
	return &Error{Op: opWrite, Kind: KindUnavailable, Err: errors.New("other writers kept changing the origin's key")}
}

func (w *writer) state(o fescuelatch.Incarnation) originState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.states[o]
}

// setState caches the latest state of an origin.
func (w *writer) setState(o fescuelatch.Incarnation, k originState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.states == nil {
		w.states = make(map[fescuelatch.Incarnation]originState)
	}
	w.states[o] = k
}

func (w *writer) forget(o fescuelatch.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.states, o)
}

func storedState(res fescuelatch.KVTxnResult) (originState, error) {
	if len(res.Results) != 1 || len(res.Results[0].Values) != 1 {
		return originState{}, nil
	}
	kv := res.Results[0].Values[0]
	var o originRecord
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return originState{}, errors.WithStack(err)
	}
	return originState{revision: kv.Revision, written: o.Written}, nil
}

func unwritten(batches []Batch, written spans) []Batch {
	var missing []Batch
	for _, b := range batches {
		if !written.has(b.Sequence) {
			missing = append(missing, b)
		}
	}
	return missing
}

// writeTxn returns the transaction that writes the batches and lists them as
// written if the origin's key is still at the revision of k, and the new list.
func writeTxn(o fescuelatch.Incarnation, batches []Batch, k originState) (fescuelatch.KVTxn, spans) {
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
			key := billKey(bill.Account, bill.Key)
			// A transaction must not write a key twice.
			if !seen[key] {
				seen[key] = true
				keyed = append(keyed, createIfAbsent(key, bill))
			}
		}
	}
	t := fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: originKey(o), Revision: k.revision}},
		Then: []fescuelatch.KVOp{put(originKey(o), originRecord{Written: written})},
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

// createIfAbsent makes all repeats of a keyed request share the first bill.
func createIfAbsent(key string, bill *fescuelatch.Bill) fescuelatch.KVOp {
	return fescuelatch.KVOp{Txn: &fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: key}},
		Then: []fescuelatch.KVOp{put(key, bill)},
	}}
}

// countFitting returns how many of the batches fit one transaction, at least one.
func countFitting(batches []Batch) int {
	bills, keyed := 0, 0
	for n, b := range batches {
		bills += len(b.Bills)
		for i := range b.Bills {
			if b.Bills[i].Key != "" {
				keyed++
			}
		}
		if n > 0 && (bills > maxTxnBills || keyed > maxTxnKeyed) {
			return n
		}
	}
	return len(batches)
}
