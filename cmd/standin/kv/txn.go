package kv

import "bytes"

// This file defines transactions. As in etcd, the comparisons of a
// transaction and of those nested in it all see the state before it, and all
// its changes have one revision.

// path holds the outcome of a transaction's comparisons and of the nested
// transactions in the branch that runs.
type path struct {
	succeeded bool
	nested    map[int]path
}

// branch returns the operations that run.
func (p path) branch(t *txnRequest) []requestOp {
	if p.succeeded {
		return t.Success
	}
	return t.Failure
}

func (s *store) evaluate(t *txnRequest) path {
	p := path{succeeded: true, nested: make(map[int]path)}
	for i := range t.Compare {
		p.succeeded = p.succeeded && s.holds(&t.Compare[i])
	}
	for i, o := range p.branch(t) {
		if o.Txn != nil {
			p.nested[i] = s.evaluate(o.Txn)
		}
	}
	return p
}

// holds reports whether a comparison holds. An absent key has revision zero;
// a comparison of its value never holds.
func (s *store) holds(c *compare) bool {
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

// txn runs a transaction as one step.
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

func (s *store) apply(p path, t *txnRequest, revision int64) *txnResponse {
	resp := &txnResponse{Succeeded: p.succeeded}
	for i, o := range p.branch(t) {
		resp.Responses = append(resp.Responses, s.applyOp(p.nested[i], o, revision))
	}
	return resp
}

func (s *store) applyOp(nested path, o requestOp, revision int64) responseOp {
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
