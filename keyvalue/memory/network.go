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
	// LoseAnswer delivers the transaction but loses the response.
	LoseAnswer
	// Late loses the response and delays the transaction until DeliverLate.
	Late
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
	case LoseAnswer:
		if _, err := n.KV.Txn(ctx, t); err != nil {
			return fescuelatch.KVTxnResult{}, err
		}
	case Late:
		n.late = append(n.late, t)
	case Vanish:
	}
	return fescuelatch.KVTxnResult{}, Lost("transaction")
}

// LateCount returns the number of delayed transactions.
func (n *Network) LateCount() int { return len(n.late) }

// DeliverLate delivers the delayed transaction i.
func (n *Network) DeliverLate(i int) {
	t := n.late[i]
	n.late = append(n.late[:i], n.late[i+1:]...)
	// The response was already lost.
	_, _ = n.KV.Txn(context.Background(), t)
}
