package peer

import (
	"time"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file defines the messages between daemons.

// Hello identifies a daemon and reports its current state.
type Hello struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	Generation  fescuelatch.Generation
	// Leaving reports that the daemon is stopping.
	Leaving bool
	// Spares is the free capacity of the daemon's owned endpoints.
	Spares []fescuelatch.Spare
	// Counts replaces Spares between daemons of the same generation.
	Counts Counts
	// Evidence is the daemon's evidence about versions that has changed since
	// it was last sent to the receiver.
	Evidence []fescuelatch.Evidence
}

// Heartbeat is sent often to daemons of the same failure domain and less often
// to those of others. Ownership is set within a failure domain.
type Heartbeat struct {
	Hello
	Ownership *ownership.Heartbeat
	// Acked acknowledges the heartbeat in the last reply of the receiver.
	Acked *Acked
	// Known identifies the evidence already received from the receiver. The
	// reply carries later changes.
	Known Known
	// Link replaces the names that were agreed on.
	Link linkID
}

// Acked acknowledges the heartbeat with the given sequence number.
type Acked struct {
	Ack      ownership.Ack
	Sequence uint64
}

// Known reports that all evidence of an incarnation that changed up to Through
// was received. It is void for any other incarnation.
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
	// Link is the link that the caller may send instead of names.
	Link linkID
	// Relink reports that the heartbeat was ignored as its link is unknown.
	Relink bool
}

// Listing reports where the platform's list of VMs differs from the default
// view of a daemon of the same failure domain.
type Listing struct {
	// Age is the time since the list was requested.
	Age time.Duration
	// Missing are members of the failure domain that the list lacks.
	Missing []fescuelatch.VMID
	// Leaving are the VMs that the list reports as leaving.
	Leaving []string
}

// ChangesRequest asks for the changes from generation After to the newest.
type ChangesRequest struct{ After fescuelatch.Generation }

// ChangesReply carries an update of configstore as a JSON document.
type ChangesReply struct{ Update []byte }

// BillBatch is a copy of a batch of bills, kept until its origin or holder has
// written it to the platform. Body is a JSON document.
type BillBatch struct {
	Body []byte
	// From is the holder that sends the copy, empty for the origin.
	From fescuelatch.Incarnation
}

// BillsWritten reports that all batches of Origin up to Through are stored at
// the platform.
type BillsWritten struct {
	Origin  fescuelatch.Incarnation
	Through uint64
}

// SubmitRequest asks a daemon to run a transaction at the platform, grouped
// with those of others, before the timeout Within.
type SubmitRequest struct {
	Txn    fescuelatch.KVTxn
	Within time.Duration
}

// Ack is an empty reply.
type Ack struct{}

// Validate returns a KindInvalid error if the identity is incomplete.
func (h *Hello) Validate() error {
	if h.VM == "" || h.Domain == "" || h.Incarnation == "" {
		return &Error{Op: "check hello", Kind: KindInvalid}
	}
	return nil
}
