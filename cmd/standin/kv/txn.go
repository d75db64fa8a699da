package kv

import "bytes"

// This file defines transactions. As in etcd, all comparisons of a
// transaction, nested ones included, see the state before it, and all its
// changes have the same revision.

// outcome holds the result of a transaction's comparisons and the outcomes of
// the nested transactions in the selected branch.
type outcome struct {
	succeeded bool
	nested    map[int]outcome
}

// branch returns the operations of the selected branch.
func (p outcome) branch(t *txnRequest) []requestOp {
	if p.succeeded {
		return t.Success
	}
	return t.Failure
}

func (s *store) evaluate(t *txnRequest) outcome {
	p := outcome{succeeded: true, nested: make(map[int]outcome)}
	for i := range t.Compare {
		p.succeeded = p.succeeded && s.satisfies(&t.Compare[i])
	}
	for i, o := range p.branch(t) {
		if o.Txn != nil {
			p.nested[i] = s.evaluate(o.Txn)
		}
	}
	return p
}

// satisfies reports whether a comparison is true. An absent key has revision
// zero; a comparison of its value is always false.
func (s *store) satisfies(c *compare) bool {
	v, ok := s.values[string(c.Key)]
	var order int
	switch c.Target {
	case "MOD":
		order = int(sign(v.ModRevision - c.ModRevision))
	case "CREATE":
		order = int(sign(v.CreateRevision - c.CreateRevision))
	case "LEASE":
		order = int(sign(v.Lease - c.Lease))
	case "VALUE":
		if !ok {
			return false
		}
		order = bytes.Compare(v.Value, c.Value)
	default:
		order = int(sign(v.Version - c.Version))
	}
	return matches(c.Result, order)
}

func sign(n number) number {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

func matches(result string, order int) bool {
	switch result {
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	case "NOT_EQUAL":
		return order != 0
	default:
		return order == 0
	}
}

// txn runs a transaction atomically.
func (s *store) txn(t *txnRequest) (*txnResponse, error) {
	if err := t.check(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.evaluate(t)
	if err := s.checkLeases(p, t); err != nil {
		return nil, err
	}
	resp := s.apply(p, t, s.revision+1)
	s.commit()
	resp.Header = s.header()
	return resp, nil
}

func (s *store) apply(p outcome, t *txnRequest, revision int64) *txnResponse {
	resp := &txnResponse{Succeeded: p.succeeded}
	for i, o := range p.branch(t) {
		resp.Responses = append(resp.Responses, s.applyOp(p.nested[i], o, revision))
	}
	return resp
}

func (s *store) applyOp(nested outcome, o requestOp, revision int64) responseOp {
	switch {
	case o.Range != nil:
		return responseOp{Range: s.rangeKeys(o.Range)}
	case o.Put != nil:
		s.put(o.Put, revision)
		return responseOp{Put: &putResponse{}}
	case o.Delete != nil:
		n := s.deleteSpan(span{o.Delete.Key, o.Delete.RangeEnd}, revision)
		return responseOp{Delete: &deleteResponse{Deleted: number(n)}}
	default:
		return responseOp{Txn: s.apply(nested, o.Txn, revision)}
	}
}
