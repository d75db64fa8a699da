package peer

import (
	"time"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file defines the messages between daemons.

// Hello identifies a daemon and says what it has in force.
type Hello struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	Generation  fescuelatch.Generation
	// Leaving reports that the daemon is stopping.
	Leaving bool
	// Spares is what the daemon's owned endpoints can take at once.
	Spares []fescuelatch.Spare
	// Counts stands for Spares between daemons of the same generation.
	Counts Counts
	// Evidence is what the daemon has seen of versions, as far as it has
	// changed since the receiver was told.
	Evidence []fescuelatch.Evidence
}

// Heartbeat is sent to the daemons of the own failure domain often, and to
// those of others now and then. Ownership is set within a failure domain.
type Heartbeat struct {
	Hello
	Ownership *ownership.Heartbeat
	// Acked acknowledges the last heartbeat that a reply of the receiver
	// carried.
	Acked *Acked
	// Known is what the sender holds of the receiver's evidence. The reply
	// has what changed since.
	Known Known
	// Link stands for the names that were agreed on.
	Link linkID
}

// Acked acknowledges the heartbeat of a sequence.
type Acked struct {
	Ack      ownership.Ack
	Sequence uint64
}

// Known says that all evidence of a daemon that changed up to Through is
// held. It is void for any other incarnation.
type Known struct {
	Incarnation fescuelatch.Incarnation
	Through     time.Time
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Hello
	Ownership *ownership.Ack
	// Beat is the replying daemon's own heartbeat.
	Beat *ownership.Heartbeat
	// List is set by the daemon that reads the list of VMs for its failure
	// domain.
	List *Listing
	// Link is what the caller may send in place of names.
	Link linkID
	// Relink reports that the link of the heartbeat is unknown, so that the
	// heartbeat was not taken in.
	Relink bool
}

// Listing is what the platform's list of VMs said, as far as a daemon of the
// same failure domain does not take it for granted.
type Listing struct {
	// Age is the time since the list was asked for.
	Age time.Duration
	// Missing are members of the failure domain that the list lacks.
	Missing []fescuelatch.VMID
	// Leaving are the VMs that it says are leaving.
	Leaving []string
}

// ChangesRequest asks for what leads from a generation to the newest.
type ChangesRequest struct{ After fescuelatch.Generation }

// ChangesReply carries an update of configstore as a JSON document.
type ChangesReply struct{ Update []byte }

// BillBatch is a copy of a batch of bills, kept until its origin or its
// holder has written it to the platform. Body is a JSON document.
type BillBatch struct {
	Body []byte
	// From is the daemon that has the batch and copies it, empty for its
	// origin.
	From fescuelatch.Incarnation
}

// BillsWritten says that all batches of Origin up to Through are at the
// platform.
type BillsWritten struct {
	Origin  fescuelatch.Incarnation
	Through uint64
}

// SubmitRequest asks a daemon to run a transaction at the platform, together
// with those of others, within a time.
type SubmitRequest struct {
	Txn    fescuelatch.KVTxn
	Within time.Duration
}

// Ack is an empty reply.
type Ack struct{}

// Validate reports KindInvalid when a daemon does not say who it is.
func (h *Hello) Validate() error {
	if h.VM == "" || h.Domain == "" || h.Incarnation == "" {
		return &Error{Op: "check hello", Kind: KindInvalid}
	}
	return nil
}
