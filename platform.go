package fescuelatch

import (
	"context"
	"time"
)

// This file defines the interfaces to the platform's services.

// KeyValue is a key-value pair of the platform's key-value service.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change; zero means absent.
	Revision int64
	// Era is the store's era when the key was read; zero means that the
	// store does not report one.
	Era int64
}

// After reports whether kv was written after o. Eras are compared first,
// because a later era reuses revisions.
func (kv KeyValue) After(o KeyValue) bool {
	if kv.Era != o.Era && kv.Era != 0 && o.Era != 0 {
		return kv.Era > o.Era
	}
	return kv.Revision > o.Revision
}

// KVOp is one step of a transaction: a put, a delete, a range read, or a
// nested transaction. Exactly one field is set.
type KVOp struct {
	Put    *KVPut
	Delete string
	Get    string
	Txn    *KVTxn
}

// KVPut writes a value, bound to a lease when Lease is not zero.
type KVPut struct {
	Key   string
	Value []byte
	Lease int64
}

// KVCompare succeeds if the last change of Key has the given revision; zero
// requires the key to be absent.
type KVCompare struct {
	Key      string
	Revision int64
}

// KVTxn atomically runs Then if all comparisons succeed and Else otherwise.
type KVTxn struct {
	If   []KVCompare
	Then []KVOp
	Else []KVOp
}

// KVTxnResult is the result of a KVTxn. Results has one element per step of
// the executed branch.
type KVTxnResult struct {
	Succeeded bool
	Revision  int64
	Results   []KVResult
}

// KVResult is the result of one step.
type KVResult struct {
	Values []KeyValue
	Txn    *KVTxnResult
}

// KV is the platform's key-value service. Every method makes one remote call
// and is safe for concurrent use. A write whose error kind is an unknown
// outcome may have taken effect.
type KV interface {
	// Get returns the key, linearizably. Revision is zero when it is absent.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the keys in [from, to), at most limit, in order.
	List(ctx context.Context, from, to string, limit int) ([]KeyValue, error)
	// Txn runs a transaction.
	Txn(ctx context.Context, t KVTxn) (KVTxnResult, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns the time left.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Watch sends each change of the keys in [from, to) after revision
	// until ctx ends or the connection breaks, then closes the channel.
	// Changes may be missed while disconnected: the caller must read again.
	Watch(ctx context.Context, from, to string, revision int64) (<-chan KeyValue, error)
}

// ListedVM is an entry of the platform's list of VMs, which lags.
type ListedVM struct {
	ID      string        `json:"id"`
	State   ListedVMState `json:"state"`
	Started time.Time     `json:"started"`
}

// ListedVMState is the state of a listed VM.
type ListedVMState string

// States of a listed VM. Terminated VMs are not listed.
const (
	ListedLive    ListedVMState = "live"
	ListedLeaving ListedVMState = "leaving"
)

// VMList is the platform's list of live and leaving VMs, which lags. Entry VMs
// are listed by VMID, endpoint VMs by EndpointID.
type VMList interface {
	VMs(ctx context.Context) ([]ListedVM, error)
}

// Rater is the service that rates answers. Ratings are late and noisy.
type Rater interface {
	// Rate returns the score of an answer, from 0 to 1.
	Rate(ctx context.Context, v VersionID, prompt, answer string) (float64, error)
}
