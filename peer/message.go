package peer

import (
	"time"

	"fescuelatch"
)

// This file defines the messages between daemons.

// Hello identifies a daemon and says what it has in force.
type Hello struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	Generation  fescuelatch.Generation
	Digest      string
	// Leaving reports that the daemon is stopping: it claims no endpoints.
	Leaving bool
}

// Heartbeat is sent to the daemons of the own failure domain often, and to
// those of others now and then. SentAt is a time of the sender's clock that
// the reply returns.
type Heartbeat struct {
	Hello
	SentAt   time.Time
	Spares   []fescuelatch.Spare
	Evidence []fescuelatch.Evidence
}

// HeartbeatReply answers a heartbeat. Granted reports that the answering
// daemon will not claim the sender's endpoints for the agreed time.
type HeartbeatReply struct {
	Hello
	SentAt   time.Time
	Granted  bool
	Spares   []fescuelatch.Spare
	Evidence []fescuelatch.Evidence
}

// ChangesRequest asks for what leads from a generation to the newest.
type ChangesRequest struct{ After fescuelatch.Generation }

// ChangesReply carries changes in order, or a full configuration when the
// changes are no longer known. Both are JSON documents. Both are empty when
// there is nothing newer.
type ChangesReply struct {
	Generation fescuelatch.Generation
	Changes    []byte
	Full       []byte
}

// BillBatch is a copy of a batch of bills, kept until its origin or its
// holder has written it to the platform. Body is a JSON document.
type BillBatch struct {
	Origin   fescuelatch.Incarnation
	Sequence uint64
	Body     []byte
}

// BillKey names a batch that is at the platform.
type BillKey struct {
	Origin   fescuelatch.Incarnation
	Sequence uint64
}

// Ack is an empty reply.
type Ack struct{}

// Validate reports KindInvalid when a heartbeat does not say who sent it.
func (h *Heartbeat) Validate() error {
	if h.VM == "" || h.Domain == "" || h.Incarnation == "" {
		return &Error{Op: "check heartbeat", Kind: KindInvalid}
	}
	return nil
}
