package kv

// This file defines the checks that a request passes before it runs.

// check reports whether a transaction is well formed.
func (t *txnRequest) check() error {
	if max(len(t.Compare), len(t.Success), len(t.Failure)) > maxTxnOps {
		return &Error{Op: "txn", Kind: KindInvalid, Message: "too many operations in txn request"}
	}
	for _, ops := range [][]requestOp{t.Success, t.Failure} {
		puts := make(map[string]bool)
		for _, o := range ops {
			if err := o.check(puts); err != nil {
				return err
			}
		}
	}
	return nil
}

// check reports whether an operation is well formed and puts no key of puts,
// to which it adds its own.
func (o *requestOp) check(puts map[string]bool) error {
	switch {
	case o.Put != nil:
		if err := o.Put.check(); err != nil {
			return err
		}
		if puts[string(o.Put.Key)] {
			return &Error{Op: "txn", Kind: KindInvalid, Message: "duplicate key given in txn request"}
		}
		puts[string(o.Put.Key)] = true
		return nil
	case o.Txn != nil:
		return o.Txn.check()
	case o.Range != nil || o.Delete != nil:
		return nil
	}
	return &Error{Op: "txn", Kind: KindInvalid, Message: "key not found in operation"}
}

func (r *putRequest) check() error {
	if len(r.Key) == 0 {
		return &Error{Op: "put", Kind: KindInvalid, Message: "key is not provided"}
	}
	if len(r.Value) > maxValueSize {
		return &Error{Op: "put", Kind: KindInvalid, Message: "request is too large"}
	}
	return nil
}

// checkLeases reports whether all leases that the transaction will use exist.
func (s *store) checkLeases(p path, t *txnRequest) error {
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
