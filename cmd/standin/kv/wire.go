// Package kv simulates the platform's key-value service. It serves a subset
// of the etcd v3 JSON gateway from memory.
package kv

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// This file defines the wire types of the gateway.

// number is a 64-bit integer that is encoded as a JSON string.
type number int64

// MarshalJSON encodes n as a string.
func (n number) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON decodes a string or a number.
func (n *number) UnmarshalJSON(b []byte) error {
	i, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	*n = number(i)
	return err
}

type header struct {
	Revision number `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision number `json:"create_revision,omitempty"`
	ModRevision    number `json:"mod_revision,omitempty"`
	Version        number `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          number `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key          []byte `json:"key"`
	RangeEnd     []byte `json:"range_end"`
	Limit        number `json:"limit"`
	Revision     number `json:"revision"`
	SortOrder    string `json:"sort_order"`
	SortTarget   string `json:"sort_target"`
	Serializable bool   `json:"serializable"`
	KeysOnly     bool   `json:"keys_only"`
	CountOnly    bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  number     `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type putResponse struct {
	Header *header `json:"header,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  *header `json:"header,omitempty"`
	Deleted number  `json:"deleted,omitempty"`
}

type compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	Version        number `json:"version"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Lease          number `json:"lease"`
	Value          []byte `json:"value"`
}

type requestOp struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
	Txn    *txnRequest    `json:"request_txn,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
	Txn    *txnResponse    `json:"response_txn,omitempty"`
}

type txnResponse struct {
	Header    *header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type grantRequest struct {
	TTL number `json:"TTL"`
	ID  number `json:"ID"`
}

type leaseRequest struct {
	ID number `json:"ID"`
}

type leaseResponse struct {
	Header *header `json:"header,omitempty"`
	ID     number  `json:"ID,omitempty"`
	TTL    number  `json:"TTL,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key            []byte   `json:"key"`
		RangeEnd       []byte   `json:"range_end"`
		StartRevision  number   `json:"start_revision"`
		ProgressNotify bool     `json:"progress_notify"`
		PrevKV         bool     `json:"prev_kv"`
		Filters        []string `json:"filters"`
	} `json:"create_request"`
}

type watchResponse struct {
	Header          header  `json:"header"`
	WatchID         number  `json:"watch_id,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision number  `json:"compact_revision,omitempty"`
	Events          []event `json:"events,omitempty"`
}

// event is a change of a key. Type is "DELETE" or, as the gateway omits zero
// values, empty for a put.
type event struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type result struct {
	Result any `json:"result"`
}

type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}
