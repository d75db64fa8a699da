package billing

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines the ledger of bills of one daemon.

// Copier stores copies of batches at other daemons.
type Copier interface {
	// Hold copies b to n daemons besides those in held, and returns the new
	// holders. Fewer than n without an error mean that there is no other
	// daemon. Without any copy it returns an error.
	Hold(ctx context.Context, b Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error)
	// Drop notifies holders that all batches of an origin up to a sequence are
	// at the platform.
	Drop(ctx context.Context, o fescuelatch.Incarnation, through uint64) error
}

// Defaults of a Ledger.
const (
	DefaultInterval      = 20 * time.Millisecond
	DefaultFlushInterval = 10 * time.Second
	DefaultMaxBills      = 150000
	// DefaultMaxCopiedBills covers an equally long outage at the same rate of bills.
	DefaultMaxCopiedBills = copiesPerBatch * DefaultMaxBills

	// maxBatchBills closes a batch before its interval ends, so that it fits
	// one transaction.
	maxBatchBills = maxTxnKeyed
	// copiesPerBatch is the number of daemons that hold a batch besides its
	// origin, if there are enough.
	copiesPerBatch = 2
	// maxConcurrentCopies bounds the batches copied at a time.
	maxConcurrentCopies = 16
	// urgentWriteDelay is the time after which a batch that still lacks copies
	// is also written to the platform.
	urgentWriteDelay = 150 * time.Millisecond
	// urgentWriteInterval is the least time between writes of batches that
	// lack copies.
	urgentWriteInterval = 250 * time.Millisecond
	copyTimeout         = 2 * time.Second
)

// Ledger writes the bills of this daemon to the platform. Origin, Submitter
// and Copier are required. It is safe for concurrent use. Record blocks unless
// Run is running.
type Ledger struct {
	Origin    fescuelatch.Incarnation
	Submitter keyvalue.Submitter
	Copier    Copier
	// Interval is the least time between two batches. Bills recorded in the
	// meantime go into the next one.
	Interval time.Duration
	// FlushInterval is the time between writes to the platform, including
	// during and after an outage, so that daemons do not all write their
	// backlog at once.
	FlushInterval time.Duration
	// MaxBills bounds the bills in memory.
	MaxBills int
	// Spread, when set, returns a jitter factor for each FlushInterval, so
	// that daemons do not write in sync.
	Spread func() float64

	mu        sync.Mutex
	open      *pendingBatch
	pending   []*pendingBatch // closed batches that are not at the platform, by sequence
	sequence  uint64
	bills     int
	stats     Stats
	copyWake  chan struct{} // wakes copyLoop
	writeWake chan struct{} // wakes writeLoop

	writing sync.Mutex // serializes writes to the platform
	writer  writer
}

// pendingBatch is a batch that is not yet at the platform.
type pendingBatch struct {
	batch   Batch
	holders []fescuelatch.Incarnation
	copyDue bool          // copies are due
	copying bool          // copies are in progress
	safe    chan struct{} // closed once peers hold copies or the batch is written
	isSafe  bool
}

// Stats holds the counters of a Ledger.
type Stats struct {
	Recorded int64 `json:"recorded"`
	Refused  int64 `json:"refused"`
	Batches  int64 `json:"batches"`
	Written  int64 `json:"written"`
	Writes   int64 `json:"writes"`
	Failed   int64 `json:"failed-writes"`
	// Waiting is the number of bills not at the platform, Unsafe the number
	// of batches that also lack copies.
	Waiting int `json:"waiting"`
	Unsafe  int `json:"unsafe-batches"`
}

const (
	opRecord = "record"
	opFlush  = "flush"
)

// Record adds a bill and returns when the bill is safe. If ctx ends first, it
// returns KindPending: the bill is recorded and will still be written.
func (l *Ledger) Record(ctx context.Context, b fescuelatch.Bill) error {
	if err := checkBill(&b); err != nil {
		return &Error{Op: opRecord, Kind: KindInvalid, Err: err}
	}
	p, err := l.add(b)
	if err != nil {
		return err
	}
	select {
	case <-p.safe:
		return nil
	case <-ctx.Done():
		return &Error{Op: opRecord, Kind: KindPending, Err: errors.WithStack(ctx.Err())}
	}
}

func (l *Ledger) add(b fescuelatch.Bill) (*pendingBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bills >= l.maxBills() {
		l.stats.Refused++
		return nil, &Error{Op: opRecord, Kind: KindFull}
	}
	if l.open != nil && len(l.open.batch.Bills) >= maxBatchBills {
		l.closeOpen()
	}
	if l.open == nil {
		l.open = &pendingBatch{safe: make(chan struct{})}
	}
	l.open.batch.Bills = append(l.open.batch.Bills, b)
	l.bills++
	l.stats.Recorded++
	l.init()
	wake(l.copyWake)
	return l.open, nil
}

// init creates the channels of a zero Ledger. The caller holds l.mu.
func (l *Ledger) init() {
	if l.copyWake == nil {
		l.copyWake = make(chan struct{}, 1)
		l.writeWake = make(chan struct{}, 1)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (l *Ledger) maxBills() int {
	if l.MaxBills == 0 {
		return DefaultMaxBills
	}
	return l.MaxBills
}

// Full reports whether Record would reject a bill. A daemon then accepts no new
// requests.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bills >= l.maxBills()
}

// closeOpen moves the open batch to pending under a new sequence. The caller
// holds l.mu.
func (l *Ledger) closeOpen() {
	if l.open == nil {
		return
	}
	l.sequence++
	l.open.batch.Origin = l.Origin
	l.open.batch.Sequence = l.sequence
	l.open.copyDue = true
	l.pending = append(l.pending, l.open)
	l.stats.Batches++
	l.open = nil
}

// Stats returns the counts so far.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Waiting = l.bills
	for _, p := range l.pending {
		if !p.isSafe {
			s.Unsafe++
		}
	}
	return s
}

// PeerLost reports the loss of a daemon. The batches that it held are copied again.
func (l *Ledger) PeerLost(holder fescuelatch.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		if n := slices.Index(p.holders, holder); n >= 0 {
			p.holders = slices.Delete(p.holders, n, n+1)
			p.copyDue, p.isSafe = true, false
		}
	}
	l.init()
	wake(l.copyWake)
}

// PeerJoined reports that another daemon can hold copies. Batches with too few
// holders are copied to it.
func (l *Ledger) PeerJoined() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		p.copyDue = p.copyDue || len(p.holders) < copiesPerBatch
	}
	l.init()
	wake(l.copyWake)
}

// markSafe marks p as held by peers or written. The caller holds Ledger.mu.
func (p *pendingBatch) markSafe() {
	p.isSafe = true
	select {
	case <-p.safe:
	default:
		close(p.safe)
	}
}
