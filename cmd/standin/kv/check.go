package kv

// This file defines the validation of requests.

// writes holds the keys that operations put and the spans that they delete.
type writes struct {
	puts    map[string]bool
	deletes []span
}

// check returns an error unless the transaction is well formed.
func (t *txnRequest) check() error {
	_, err := t.writes()
	return err
}

// writes returns the keys that either branch puts. As in etcd, a branch must
// not put a key twice or put a key that it deletes.
func (t *txnRequest) writes() (writes, error) {
	if max(len(t.Compare), len(t.Success), len(t.Failure)) > maxTxnOps {
		return writes{}, invalid("too many operations in txn request")
	}
	success, err := writesOf(t.Success)
	if err != nil {
		return writes{}, err
	}
	failure, err := writesOf(t.Failure)
	if err != nil {
		return writes{}, err
	}
	for k := range failure.puts {
		success.puts[k] = true
	}
	return writes{puts: success.puts}, nil
}

// writesOf returns the writes of one branch.
func writesOf(ops []requestOp) (writes, error) {
	all := writes{puts: make(map[string]bool)}
	for i := range ops {
		w, err := ops[i].writes()
		if err != nil {
			return writes{}, err
		}
		for k := range w.puts {
			if all.puts[k] {
				return writes{}, errDuplicateKey
			}
			all.puts[k] = true
		}
		all.deletes = append(all.deletes, w.deletes...)
	}
	for k := range all.puts {
		for _, s := range all.deletes {
			if s.contains(k) {
				return writes{}, errDuplicateKey
			}
		}
	}
	return all, nil
}

func (o *requestOp) writes() (writes, error) {
	switch {
	case o.Put != nil:
		return writes{puts: map[string]bool{string(o.Put.Key): true}}, o.Put.check()
	case o.Delete != nil:
		return writes{deletes: []span{{o.Delete.Key, o.Delete.RangeEnd}}}, nil
	case o.Txn != nil:
		return o.Txn.writes()
	case o.Range != nil:
		return writes{}, nil
	}
	return writes{}, invalid("operation is empty")
}

var errDuplicateKey = invalid("duplicate key given in txn request")

func invalid(message string) *Error {
	return &Error{Op: "txn", Kind: KindInvalid, Message: message}
}

func (r *putRequest) check() error {
	if len(r.Key) == 0 {
		return invalid("key is not provided")
	}
	if len(r.Value) > maxValueSize {
		return invalid("request is too large")
	}
	return nil
}

// checkLeases returns an error unless all leases that will be used exist.
func (s *store) checkLeases(p outcome, t *txnRequest) error {
	for i, o := range p.branch(t) {
		var err error
		switch {
		case o.Put != nil:
			err = s.checkLease(o.Put.Lease)
		case o.Txn != nil:
			err = s.checkLeases(p.nested[i], o.Txn)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *store) checkLease(id number) error {
	if id == 0 || s.leases[int64(id)] != nil {
		return nil
	}
	return &Error{Op: "lease", Kind: KindNotFound, Message: "requested lease not found"}
}

// readOnly reports whether no branch of the transaction changes a key.
func (t *txnRequest) readOnly() bool {
	for _, ops := range [][]requestOp{t.Success, t.Failure} {
		for _, o := range ops {
			if o.Put != nil || o.Delete != nil || (o.Txn != nil && !o.Txn.readOnly()) {
				return false
			}
		}
	}
	return true
}
