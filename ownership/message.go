package ownership

import (
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages between daemons.

// Heartbeat is what a daemon tells each other member of its failure domain.
type Heartbeat struct {
	From        fescuelatch.VMID        `json:"from"`
	Incarnation fescuelatch.Incarnation `json:"incarnation"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Joined reports that every member knows of this incarnation, so that it
	// may own endpoints.
	Joined bool `json:"joined,omitempty"`
	// Leaving reports that the sender owns nothing and will own nothing
	// until it has joined again.
	Leaving bool `json:"leaving,omitempty"`
}

// Check reports KindInvalid when h names no sender.
func (h Heartbeat) Check() error {
	if h.From == "" || h.Incarnation == "" || h.Sequence == 0 {
		return &Error{"check heartbeat", KindInvalid, errors.New("sender or sequence is missing")}
	}
	return nil
}

// Ack answers a Heartbeat. It promises that its sender will claim no
// endpoint of the heartbeat's sender within TakeoverAfter of the receipt,
// and that it has stopped claiming them.
type Ack struct {
	From        fescuelatch.VMID        `json:"from"`
	Incarnation fescuelatch.Incarnation `json:"incarnation"`
	// To is the incarnation whose heartbeat is acknowledged.
	To fescuelatch.Incarnation `json:"to"`
	// Joined repeats the flag of the heartbeat: a promise is worth nothing
	// to a daemon that has not joined.
	Joined bool `json:"joined,omitempty"`
	// Replaced reports that the receiver knows a later incarnation of the
	// heartbeat's VM. Such an Ack promises nothing.
	Replaced bool `json:"replaced,omitempty"`
	// Unknown reports that the receiver's configuration lacks the VM. Such
	// an Ack promises nothing.
	Unknown bool `json:"unknown,omitempty"`
}

// Check reports KindInvalid when a names no sender.
func (a Ack) Check() error {
	if a.From == "" || a.Incarnation == "" || a.To == "" {
		return &Error{"check acknowledgement", KindInvalid, errors.New("sender or receiver is missing")}
	}
	return nil
}
