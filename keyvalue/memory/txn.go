package memory

import (
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the execution of transactions.

// branch is the outcome of a transaction's comparisons, with those of the
// transactions nested in the steps that will run.
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
	for i, o := range steps(t, b.succeeded) {
		if o.Txn != nil {
			b.nested[i] = k.compare(*o.Txn)
		}
	}
	return b
}

func steps(t fescuelatch.KVTxn, succeeded bool) []fescuelatch.KVOp {
	if succeeded {
		return t.Then
	}
	return t.Else
}

func (k *KV) txn(t fescuelatch.KVTxn) fescuelatch.KVTxnResult {
	b := k.compare(t)
	if k.changes(t, b) {
		k.revision++
	}
	return k.run(t, b)
}

func (k *KV) changes(t fescuelatch.KVTxn, b branch) bool {
	for i, o := range steps(t, b.succeeded) {
		if o.Put != nil || o.Delete != "" || o.Txn != nil && k.changes(*o.Txn, b.nested[i]) {
			return true
		}
	}
	return false
}

func (k *KV) run(t fescuelatch.KVTxn, b branch) fescuelatch.KVTxnResult {
	r := fescuelatch.KVTxnResult{Succeeded: b.succeeded, Revision: k.revision}
	for i, o := range steps(t, b.succeeded) {
		r.Results = append(r.Results, k.step(o, b.nested[i]))
	}
	return r
}

func (k *KV) step(o fescuelatch.KVOp, b branch) fescuelatch.KVResult {
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

// maxSteps is the limit of an etcd server with default settings.
const maxSteps = 128

// check refuses what an etcd server refuses.
func (k *KV) check(t fescuelatch.KVTxn) error {
	if _, err := written(t); err != nil {
		return err
	}
	return k.checkLeases(t, k.compare(t))
}

func (k *KV) checkLeases(t fescuelatch.KVTxn, b branch) error {
	for i, o := range steps(t, b.succeeded) {
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

// written returns the keys that t may write.
func written(t fescuelatch.KVTxn) (map[string]bool, error) {
	if len(t.If) > maxSteps || len(t.Then) > maxSteps || len(t.Else) > maxSteps {
		return nil, errors.Errorf("more than %d operations", maxSteps)
	}
	all := make(map[string]bool)
	for _, ops := range [][]fescuelatch.KVOp{t.Then, t.Else} {
		keys, err := writtenBy(ops)
		if err != nil {
			return nil, err
		}
		for key := range keys {
			all[key] = true
		}
	}
	return all, nil
}

func writtenBy(ops []fescuelatch.KVOp) (map[string]bool, error) {
	keys := make(map[string]bool)
	for _, o := range ops {
		more, err := writtenByOne(o)
		if err != nil {
			return nil, err
		}
		for key := range more {
			if keys[key] {
				return nil, errors.Errorf("key %q written twice", key)
			}
			keys[key] = true
		}
	}
	return keys, nil
}

func writtenByOne(o fescuelatch.KVOp) (map[string]bool, error) {
	switch {
	case o.Put != nil:
		return map[string]bool{o.Put.Key: true}, nil
	case o.Delete != "":
		return map[string]bool{o.Delete: true}, nil
	case o.Txn != nil:
		return written(*o.Txn)
	default:
		return nil, nil
	}
}
