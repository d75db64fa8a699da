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

// This file defines the ledger of the bills of one daemon.

// Copier keeps copies of batches with other daemons.
type Copier interface {
	// Hold has copies of b kept by n daemons beside those that hold one, and
	// returns them. Fewer than n without an error mean that no other daemon
	// is left to ask. With no copy anywhere there is always an error.
	Hold(ctx context.Context, b Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error)
	// Drop tells that all batches of an origin up to a sequence are at the
	// platform.
	Drop(ctx context.Context, o fescuelatch.Incarnation, through uint64) error
}

// Defaults of a Ledger.
const (
	DefaultInterval      = 20 * time.Millisecond
	DefaultFlushInterval = 10 * time.Second
	DefaultMaxBills      = 150000
	// DefaultMaxCopies holds as long an outage at the same rate of bills.
	DefaultMaxCopies = copiesPerBatch * DefaultMaxBills

	// maxBatchBills closes a batch before its interval ends, so that it
	// fits one transaction.
	maxBatchBills = maxRunKeyed
	// copiesPerBatch is the number of daemons that hold a batch beside its origin,
	// where there are as many.
	copiesPerBatch = 2
	// copiers is the number of batches that are copied at the same time.
	copiers = 16
	// copyPatience is the time after which a batch that still lacks its
	// copies is written to the platform as well.
	copyPatience = 150 * time.Millisecond
	// urgentPause passes between writes of bills that no peer holds.
	urgentPause = 250 * time.Millisecond
	copyTimeout = 2 * time.Second
)

// Ledger takes the bills of this daemon to the platform. Origin, Submitter
// and Copier are required. It is safe for concurrent use; Run must be
// running for Record to return.
type Ledger struct {
	Origin    fescuelatch.Incarnation
	Submitter keyvalue.Submitter
	Copier    Copier
	// Interval is the least time between two batches. Bills that come
	// meanwhile are put into the next one.
	Interval time.Duration
	// FlushInterval is the time between writes to the platform, in an
	// outage and after it as well, so that daemons do not write all at once
	// what an outage has left.
	FlushInterval time.Duration
	// MaxBills bounds the bills kept.
	MaxBills int
	// Spread, when set, returns a factor for each FlushInterval, so that
	// daemons do not write in step.
	Spread func() float64

	mu       sync.Mutex
	forming  *pending
	pending  []*pending // closed batches that are not at the platform, by sequence
	sequence uint64
	bills    int
	stats    Stats
	formed   chan struct{} // wakes the loop that closes batches
	urgent   chan struct{} // wakes the loop that writes

	writing sync.Mutex // held by the one writer
	writer  writer
}

// pending is a batch on its way to the platform.
type pending struct {
	batch   Batch
	holders []fescuelatch.Incarnation
	due     bool          // copies are to be made
	copying bool          // copies are being made
	safe    chan struct{} // closed once copies are held or the batch is written
	isSafe  bool
}

// Stats counts what a Ledger has done.
type Stats struct {
	Recorded int64 `json:"recorded"`
	Refused  int64 `json:"refused"`
	Batches  int64 `json:"batches"`
	Written  int64 `json:"written"`
	Writes   int64 `json:"writes"`
	Failed   int64 `json:"failed-writes"`
	// Waiting is the number of bills not at the platform, Unsafe that of
	// batches that lack copies as well.
	Waiting int `json:"waiting"`
	Unsafe  int `json:"unsafe-batches"`
}

const (
	opRecord = "record"
	opFlush  = "flush"
)

// Record takes a bill and returns when it is safe. When ctx ends before, it
// reports KindPending: the bill has been taken and is still on its way.
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

func (l *Ledger) add(b fescuelatch.Bill) (*pending, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bills >= l.maxBills() {
		l.stats.Refused++
		return nil, &Error{Op: opRecord, Kind: KindFull}
	}
	if l.forming != nil && len(l.forming.batch.Bills) >= maxBatchBills {
		l.closeForming()
	}
	if l.forming == nil {
		l.forming = &pending{safe: make(chan struct{})}
	}
	l.forming.batch.Bills = append(l.forming.batch.Bills, b)
	l.bills++
	l.stats.Recorded++
	l.init()
	wake(l.formed)
	return l.forming, nil
}

// init makes the channels of the zero value. The lock is held.
func (l *Ledger) init() {
	if l.formed == nil {
		l.formed = make(chan struct{}, 1)
		l.urgent = make(chan struct{}, 1)
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

// Full reports whether Record would refuse a bill. A daemon then takes no new
// requests.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bills >= l.maxBills()
}

// closeForming gives the forming batch its identity. The lock is held.
func (l *Ledger) closeForming() {
	if l.forming == nil {
		return
	}
	l.sequence++
	l.forming.batch.Origin = l.Origin
	l.forming.batch.Sequence = l.sequence
	l.forming.due = true
	l.pending = append(l.pending, l.forming)
	l.stats.Batches++
	l.forming = nil
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

// Lost tells that a daemon is gone. The batches of which it had a copy are
// copied to another one.
func (l *Ledger) Lost(holder fescuelatch.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		if n := slices.Index(p.holders, holder); n >= 0 {
			p.holders = slices.Delete(p.holders, n, n+1)
			p.due, p.isSafe = true, false
		}
	}
	l.init()
	wake(l.formed)
}

// Found tells that there is another daemon to hold copies. The batches that
// have fewer than they should are copied to it.
func (l *Ledger) Found() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		p.due = p.due || len(p.holders) < copiesPerBatch
	}
	l.init()
	wake(l.formed)
}

// markSafe records that p is held or written. The lock is held.
func (p *pending) markSafe() {
	p.isSafe = true
	select {
	case <-p.safe:
	default:
		close(p.safe)
	}
}
