package memory

import (
	"context"

	"fescuelatch"
)

// This file defines a simulated network that can delay and lose writes.

// Delivery is how a Network handles a transaction.
type Delivery int

// Deliveries of a transaction.
const (
	// Deliver delivers the transaction and its response.
	Deliver Delivery = iota
	// Refuse fails the transaction without effect.
	Refuse
	// LoseResponse delivers the transaction but loses the response.
	LoseResponse
	// Delay loses the response and delays the transaction until DeliverDelayed.
	Delay
	// Vanish loses the transaction and reports an unknown outcome.
	Vanish
)

// Network is a Transactor in front of KV. It is not safe for concurrent use.
type Network struct {
	KV *KV
	// Next returns the delivery of each transaction; nil means Deliver.
	Next func() Delivery

	late []fescuelatch.KVTxn
}

// Txn implements keyvalue.Transactor.
func (n *Network) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	d := Deliver
	if n.Next != nil {
		d = n.Next()
	}
	switch d {
	case Deliver:
		return n.KV.Txn(ctx, t)
	case Refuse:
		return fescuelatch.KVTxnResult{}, Unavailable("transaction")
	case LoseResponse:
		if _, err := n.KV.Txn(ctx, t); err != nil {
			return fescuelatch.KVTxnResult{}, err
		}
	case Delay:
		n.late = append(n.late, t)
	case Vanish:
	}
	return fescuelatch.KVTxnResult{}, ResponseLost("transaction")
}

// DelayedCount returns the number of delayed transactions.
func (n *Network) DelayedCount() int { return len(n.late) }

// DeliverDelayed delivers the delayed transaction i.
func (n *Network) DeliverDelayed(i int) {
	t := n.late[i]
	n.late = append(n.late[:i], n.late[i+1:]...)
	// The response was already lost.
	_, _ = n.KV.Txn(context.Background(), t)
}
