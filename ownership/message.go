package ownership

import (
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages between daemons.

// Heartbeat is sent by a daemon to each other member of its failure domain.
type Heartbeat struct {
	From        fescuelatch.VMID        `json:"from"`
	Incarnation fescuelatch.Incarnation `json:"incarnation"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Joined reports that every member has acknowledged this incarnation,
	// which may therefore own endpoints.
	Joined bool `json:"joined,omitempty"`
	// Leaving reports that the sender owns no endpoint and will own none
	// until it has joined again.
	Leaving bool `json:"leaving,omitempty"`
}

// Check reports KindInvalid when h lacks the sender or the sequence.
func (h Heartbeat) Check() error {
	if h.From == "" || h.Incarnation == "" || h.Sequence == 0 {
		return &Error{"check heartbeat", KindInvalid, errors.New("sender or sequence is missing")}
	}
	return nil
}

// Ack answers a Heartbeat. Its sender promises that it has stopped claiming
// endpoints of the heartbeat's sender and will claim none within TakeoverTimeout
// of the receipt.
type Ack struct {
	From        fescuelatch.VMID        `json:"from"`
	Incarnation fescuelatch.Incarnation `json:"incarnation"`
	// To is the incarnation whose heartbeat is acknowledged.
	To fescuelatch.Incarnation `json:"to"`
	// Joined repeats the flag of the heartbeat. A daemon that has not joined
	// must not rely on the promise.
	Joined bool `json:"joined,omitempty"`
	// Replaced reports that the receiver has seen a later incarnation of
	// the heartbeat's VM. Such an Ack makes no promise.
	Replaced bool `json:"replaced,omitempty"`
	// Unknown reports that the receiver's configuration lacks the VM. Such
	// an Ack makes no promise.
	Unknown bool `json:"unknown,omitempty"`
}

// Check reports KindInvalid when a lacks the sender or the receiver.
func (a Ack) Check() error {
	if a.From == "" || a.Incarnation == "" || a.To == "" {
		return &Error{"check acknowledgement", KindInvalid, errors.New("sender or receiver is missing")}
	}
	return nil
}
