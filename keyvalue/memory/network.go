package memory

import (
	"context"

	"fescuelatch"
)

// This file defines a network in front of the service that can deliver writes
// late.

// Delivery is what a Network does with a transaction.
type Delivery int

// Deliveries of a transaction.
const (
	// Deliver passes it on and its answer back.
	Deliver Delivery = iota
	// Refuse fails it without effect.
	Refuse
	// LoseAnswer passes it on and loses the answer.
	LoseAnswer
	// Late loses the answer; the transaction waits for DeliverLate.
	Late
	// Vanish loses it and tells that the outcome is unknown.
	Vanish
)

// Network is a Transactor in front of KV. It is not safe for concurrent use.
type Network struct {
	KV *KV
	// Next decides on each transaction; nil means Deliver.
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

// LateCount returns the number of transactions that wait.
func (n *Network) LateCount() int { return len(n.late) }

// DeliverLate passes on the waiting transaction i.
func (n *Network) DeliverLate(i int) {
	t := n.late[i]
	n.late = append(n.late[:i], n.late[i+1:]...)
	// Nobody waits for the answer.
	_, _ = n.KV.Txn(context.Background(), t)
}
