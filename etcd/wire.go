package etcd

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages of the gateway. Keys and values are encoded in
// base64, as encoding/json does for byte slices, and 64-bit integers as decimal
// strings. Fields with a default value are omitted.

// integer is a 64-bit integer that is encoded as a decimal string. A JSON number
// is accepted as well, as the encoding of the gateway allows.
type integer int64

// MarshalJSON implements json.Marshaler.
func (i integer) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *integer) UnmarshalJSON(b []byte) error {
	s := string(b)
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		s = s[1 : len(s)-1]
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return errors.Errorf("%.40q is not a 64-bit integer", s)
	}
	*i = integer(n)
	return nil
}

type header struct {
	Revision integer `json:"revision"`
}

type keyValue struct {
	Key         []byte  `json:"key"`
	Value       []byte  `json:"value,omitempty"`
	ModRevision integer `json:"mod_revision,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler and checks the decoded key.
func (k *keyValue) UnmarshalJSON(b []byte) error {
	type plain keyValue
	if err := json.Unmarshal(b, (*plain)(k)); err != nil {
		return err
	}
	switch {
	case len(k.Key) == 0:
		return errors.New("key is empty")
	case k.ModRevision <= 0:
		return errors.Errorf("revision %d of key %.80q is not positive", k.ModRevision, k.Key)
	}
	return nil
}

func (k *keyValue) keyValue() fescuelatch.KeyValue {
	return fescuelatch.KeyValue{Key: string(k.Key), Value: k.Value, Revision: int64(k.ModRevision)}
}

type rangeRequest struct {
	Key      []byte  `json:"key"`
	RangeEnd []byte  `json:"range_end,omitempty"`
	Limit    integer `json:"limit,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
}

func (r *rangeResponse) keyValues() []fescuelatch.KeyValue {
	if r == nil {
		return nil
	}
	vs := make([]fescuelatch.KeyValue, 0, len(r.KVs))
	for i := range r.KVs {
		vs = append(vs, r.KVs[i].keyValue())
	}
	return vs
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease integer `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type compare struct {
	Result      string  `json:"result"`
	Target      string  `json:"target"`
	Key         []byte  `json:"key"`
	ModRevision integer `json:"mod_revision"`
}

const (
	compareEqual       = "EQUAL"
	compareModRevision = "MOD"
)

type requestOp struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
	Txn    *txnRequest    `json:"request_txn,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type responseOp struct {
	Range  *rangeResponse `json:"response_range,omitempty"`
	Put    *struct{}      `json:"response_put,omitempty"`
	Delete *struct{}      `json:"response_delete_range,omitempty"`
	Txn    *txnResponse   `json:"response_txn,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseGrantRequest struct {
	TTL integer `json:"TTL"`
}

type leaseGrantResponse struct {
	ID    integer `json:"ID"`
	TTL   integer `json:"TTL"`
	Error string  `json:"error,omitempty"`
}

type keepAliveRequest struct {
	ID integer `json:"ID"`
}

type keepAliveResponse struct {
	Result struct {
		ID  integer `json:"ID"`
		TTL integer `json:"TTL"`
	} `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key           []byte  `json:"key"`
		RangeEnd      []byte  `json:"range_end,omitempty"`
		StartRevision integer `json:"start_revision,omitempty"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

const eventDelete = "DELETE"

// UnmarshalJSON implements json.Unmarshaler and checks the decoded event.
func (e *watchEvent) UnmarshalJSON(b []byte) error {
	type plain watchEvent
	if err := json.Unmarshal(b, (*plain)(e)); err != nil {
		return err
	}
	if len(e.KV.Key) == 0 {
		return errors.New("event has no key")
	}
	return nil
}

func (e *watchEvent) keyValue() fescuelatch.KeyValue {
	if e.Type == eventDelete {
		return fescuelatch.KeyValue{Key: string(e.KV.Key)}
	}
	return e.KV.keyValue()
}

type watchResponse struct {
	Result struct {
		Created  bool         `json:"created,omitempty"`
		Canceled bool         `json:"canceled,omitempty"`
		Events   []watchEvent `json:"events,omitempty"`
	} `json:"result"`
	Error *errorResponse `json:"error,omitempty"`
}

type errorResponse struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

func newTxnRequest(t fescuelatch.KVTxn) txnRequest {
	r := txnRequest{Success: newRequestOps(t.Then), Failure: newRequestOps(t.Else)}
	for _, c := range t.If {
		r.Compare = append(r.Compare, compare{
			Result: compareEqual, Target: compareModRevision, Key: []byte(c.Key), ModRevision: integer(c.Revision),
		})
	}
	return r
}

func newRequestOps(ops []fescuelatch.KVOp) []requestOp {
	rs := make([]requestOp, 0, len(ops))
	for _, o := range ops {
		rs = append(rs, newRequestOp(o))
	}
	return rs
}

func newRequestOp(o fescuelatch.KVOp) requestOp {
	switch {
	case o.Put != nil:
		return requestOp{Put: &putRequest{Key: []byte(o.Put.Key), Value: o.Put.Value, Lease: integer(o.Put.Lease)}}
	case o.Delete != "":
		return requestOp{Delete: &deleteRequest{Key: []byte(o.Delete)}}
	case o.Txn != nil:
		t := newTxnRequest(*o.Txn)
		return requestOp{Txn: &t}
	default:
		return requestOp{Range: &rangeRequest{Key: []byte(o.Get)}}
	}
}

// result returns the result of t and checks that the responses match its
// operations.
func (r *txnResponse) result(t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	res := fescuelatch.KVTxnResult{Succeeded: r.Succeeded, Revision: int64(r.Header.Revision)}
	ops := t.Else
	if r.Succeeded {
		ops = t.Then
	}
	if len(r.Responses) != len(ops) {
		return res, errors.Errorf("%d responses to %d operations", len(r.Responses), len(ops))
	}
	for i := range ops {
		v, err := r.Responses[i].result(ops[i])
		if err != nil {
			return res, err
		}
		res.Results = append(res.Results, v)
	}
	return res, nil
}

func (r *responseOp) result(o fescuelatch.KVOp) (fescuelatch.KVResult, error) {
	switch {
	case o.Get != "":
		if r.Range == nil {
			return fescuelatch.KVResult{}, errors.New("response to a range has another type")
		}
		return fescuelatch.KVResult{Values: r.Range.keyValues()}, nil
	case o.Txn != nil:
		if r.Txn == nil {
			return fescuelatch.KVResult{}, errors.New("response to a transaction has another type")
		}
		t, err := r.Txn.result(*o.Txn)
		return fescuelatch.KVResult{Txn: &t}, err
	default:
		return fescuelatch.KVResult{}, nil
	}
}
