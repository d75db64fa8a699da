package memory

import (
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the execution of transactions.

// branch is the result of a transaction's comparisons, including those of the
// transactions nested in the selected operations.
type branch struct {
	succeeded bool
	nested    map[int]branch
}

func (k *KV) compare(t fescuelatch.KVTxn) branch {
	b := branch{succeeded: true, nested: make(map[int]branch)}
	for _, c := range t.If {
		if k.keys[c.Key].Revision != c.Revision {
			b.succeeded = false
		}
	}
	for i, o := range selectedOps(t, b.succeeded) {
		if o.Txn != nil {
			b.nested[i] = k.compare(*o.Txn)
		}
	}
	return b
}

func selectedOps(t fescuelatch.KVTxn, succeeded bool) []fescuelatch.KVOp {
	if succeeded {
		return t.Then
	}
	return t.Else
}

func (k *KV) txn(t fescuelatch.KVTxn) fescuelatch.KVTxnResult {
	b := k.compare(t)
	if k.writes(t, b) {
		k.revision++
	}
	return k.run(t, b)
}

func (k *KV) writes(t fescuelatch.KVTxn, b branch) bool {
	for i, o := range selectedOps(t, b.succeeded) {
		if o.Put != nil || o.Delete != "" || o.Txn != nil && k.writes(*o.Txn, b.nested[i]) {
			return true
		}
	}
	return false
}

func (k *KV) run(t fescuelatch.KVTxn, b branch) fescuelatch.KVTxnResult {
	r := fescuelatch.KVTxnResult{Succeeded: b.succeeded, Revision: k.revision}
	for i, o := range selectedOps(t, b.succeeded) {
		r.Results = append(r.Results, k.runOp(o, b.nested[i]))
	}
	return r
}

func (k *KV) runOp(o fescuelatch.KVOp, b branch) fescuelatch.KVResult {
	switch {
	case o.Put != nil:
		k.put(*o.Put)
	case o.Delete != "":
		k.remove(o.Delete)
	case o.Txn != nil:
		r := k.run(*o.Txn, b)
		return fescuelatch.KVResult{Txn: &r}
	default:
		if kv := k.get(o.Get); kv.Revision != 0 {
			return fescuelatch.KVResult{Values: []fescuelatch.KeyValue{kv}}
		}
	}
	return fescuelatch.KVResult{}
}

// maxOps is the default limit of operations of an etcd server.
const maxOps = 128

// check rejects transactions that an etcd server rejects.
func (k *KV) check(t fescuelatch.KVTxn) error {
	if _, err := keysWritten(t); err != nil {
		return err
	}
	return k.checkLeases(t, k.compare(t))
}

func (k *KV) checkLeases(t fescuelatch.KVTxn, b branch) error {
	for i, o := range selectedOps(t, b.succeeded) {
		switch {
		case o.Put != nil && o.Put.Lease != 0:
			if _, ok := k.leases[o.Put.Lease]; !ok {
				return errors.Errorf("lease %d not found", o.Put.Lease)
			}
		case o.Txn != nil:
			if err := k.checkLeases(*o.Txn, b.nested[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// keysWritten returns the keys that t may write, or an error if t is invalid.
func keysWritten(t fescuelatch.KVTxn) (map[string]bool, error) {
	if len(t.If) > maxOps || len(t.Then) > maxOps || len(t.Else) > maxOps {
		return nil, errors.Errorf("more than %d operations", maxOps)
	}
	all := make(map[string]bool)
	for _, ops := range [][]fescuelatch.KVOp{t.Then, t.Else} {
		keys, err := keysWrittenByOps(ops)
		if err != nil {
			return nil, err
		}
		for key := range keys {
			all[key] = true
		}
	}
	return all, nil
}

func keysWrittenByOps(ops []fescuelatch.KVOp) (map[string]bool, error) {
	keys := make(map[string]bool)
	for _, o := range ops {
		written, err := keysWrittenByOp(o)
		if err != nil {
			return nil, err
		}
		for key := range written {
			if keys[key] {
				return nil, errors.Errorf("key %q is written twice", key)
			}
			keys[key] = true
		}
	}
	return keys, nil
}

func keysWrittenByOp(o fescuelatch.KVOp) (map[string]bool, error) {
	switch {
	case o.Put != nil:
		return map[string]bool{o.Put.Key: true}, nil
	case o.Delete != "":
		return map[string]bool{o.Delete: true}, nil
	case o.Txn != nil:
		return keysWritten(*o.Txn)
	default:
		return nil, nil
	}
}
