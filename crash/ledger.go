// Package crash finds what crashes endpoints, and blocks it: a prompt part, or one whole
// request that comes again and again. Each endpoint that begins such a request ends, and
// several other requests run there when it does. What tells the cause from them is that
// requests with it crash endpoints one time after the other, while none is answered.
//
// No daemon sees all crashes, and none sees all answers. Each reports the crashes that it
// sees, with the traits of the requests that may have caused them and of which it has seen
// no answer lately. Daemons that have seen one vouch for the trait. All draw the same
// conclusion from these records, and a daemon that starts later finds them. A trait whose
// requests are blocked is tried again, by one request of one daemon at a time.
package crash

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the ledger, which holds what is known of crashes.

var _ fescuelatch.CrashGuard = (*Ledger)(nil)

const (
	// soundFor is how long a trait counts as sound after a request with it was
	// answered: crashes in between have other causes.
	soundFor = 30 * time.Second
	// minReportInterval and reportIntervalPerDaemon bound the rate of reports, also
	// that of all daemons together.
	minReportInterval       = 100 * time.Millisecond
	reportIntervalPerDaemon = 2 * time.Millisecond
	// maxWrittenAtOnce is the number of reports that are written together. The next ones
	// are then written later.
	maxWrittenAtOnce = 8
	// updateInterval is the time between updates for what depends on time only. Others
	// follow each other at least at updateIntervalPerSuspect for each suspect in the
	// reports if there are more than freelyReported, so that they take a small share of
	// the time.
	updateInterval           = time.Second
	updateIntervalPerSuspect = 10 * time.Microsecond
	freelyReported           = 1024
	// maxSound, maxReports, maxReported, maxStatements and maxBlocks bound what is kept;
	// maxReported is that of the suspects in all reports.
	maxSound      = 4096
	maxReports    = 2048
	maxReported   = 16384
	maxStatements = 4096
	maxBlocks     = 256
)

// Ledger holds what a daemon knows of crashes and of the requests that may cause them. It
// reads no clock and is not safe for concurrent use.
type Ledger struct {
	random *rand.Rand
	// members returns the number of live daemons.
	members func() int
	// answeredParts and answeredRequests hold the traits of answered requests by the
	// time of the last answer.
	answeredParts, answeredRequests *simplelru.LRU[string, time.Time]
	reports                         map[string]*report
	// oldReports is the latest record of a report that was dropped as there were too many.
	oldReports fescuelatch.KeyValue
	// mentions holds where reports name each trait, and repeated the traits that are in
	// several reports. reported is the number of suspects in all of them.
	mentions map[string][]mention
	repeated map[string]bool
	reported int
	// reportsOf holds the reports on each process, and outagesOfReports what follows of
	// these; it is nil after a change.
	reportsOf        map[string][]*report
	outagesOfReports *outages
	// reads is the number of calls of Sync.
	reads uint64
	// unwritten holds the own reports that are still to be written.
	unwritten map[string]*report
	// ended holds attempts that this daemon has ended lately, the oldest first.
	ended []endedAttempt
	// vouched holds the statements of any daemon that traits are sound.
	vouched map[string]statement
	// oldStatements is the latest one that was dropped as there were too many.
	oldStatements fescuelatch.KeyValue
	blocks        map[string]*block
	// endedBlocks holds the records of blocks that have ended. The store keeps them until
	// their leases expire.
	endedBlocks map[string]fescuelatch.KeyValue
	// trials holds the records of trials of traits whose blocks have no record.
	trials map[string]trialRecord
	// named is the number of outages in which each trait that is in several reports is
	// suspected by any daemon, and outages the number of those that it may have caused by
	// what is known here.
	named   map[string]int
	outages map[string]int
	updated time.Time
	// stale reports that there is something new since.
	stale bool
	// open is the own report that further crashes still join, lastReports when some were
	// written last, and nextReport the earliest time of the next write if none is urgent.
	open                    *report
	lastReports, nextReport time.Time
	// vouches holds when this daemon is to state that a trait is sound.
	vouches map[string]vouch
	changes []Change
}

// report is a report with how it is known.
type report struct {
	Report
	name string
	// seen is when the first crash was seen, or when the record was received.
	// writeAt is when an own report is to be written.
	seen, writeAt time.Time
	// stored is the record; its revision is zero until it has been read from the
	// store.
	stored fescuelatch.KeyValue
	// read is the last call of Sync at which the store held it.
	read uint64
	// crashes holds the numbers of the crashes of its processes in outages.
	crashes []int
}

// mention is the place of a trait in a report.
type mention struct {
	report  *report
	suspect int
}

// statement is a record that a trait is sound.
type statement struct {
	stored   fescuelatch.KeyValue
	received time.Time
}

// vouch is a statement that is to be written. An urgent one is awaited by other daemons, as
// the trait is blocked or about to be.
type vouch struct {
	at     time.Time
	urgent bool
}

// NewLedger returns an empty ledger.
func NewLedger(random *rand.Rand, members func() int) *Ledger {
	// The sizes are positive constants, which is all that is checked.
	parts, _ := simplelru.NewLRU[string, time.Time](maxSound, nil)
	requests, _ := simplelru.NewLRU[string, time.Time](maxSound, nil)
	return &Ledger{
		random: random, members: members, answeredParts: parts, answeredRequests: requests,
		reports: make(map[string]*report), unwritten: make(map[string]*report),
		mentions: make(map[string][]mention), repeated: make(map[string]bool), reportsOf: make(map[string][]*report),
		vouched: make(map[string]statement), vouches: make(map[string]vouch),
		blocks: make(map[string]*block), endedBlocks: make(map[string]fescuelatch.KeyValue), trials: make(map[string]trialRecord),
		named: make(map[string]int), outages: make(map[string]int),
	}
}

// Answered records that the answer to a request was under way, which shows that none of
// its traits crashes endpoints.
func (l *Ledger) Answered(now time.Time, q *fescuelatch.Request) {
	cleared := false
	for _, s := range traitsOf(q) {
		suspected := !l.isSound(now, s.Trait) && (l.blocks[s.Trait] != nil || l.namedIn(s.Trait) >= suspectAfter)
		l.answered(s.Trait).Add(s.Trait, now)
		l.vouchLater(now, s.Trait)
		cleared = cleared || suspected
	}
	if cleared {
		l.updateSoon(now)
	}
}

// answered returns the list that holds a trait. Fingerprints, of which there are many,
// displace no parts.
func (l *Ledger) answered(trait string) *simplelru.LRU[string, time.Time] {
	if isRequest(trait) {
		return l.answeredRequests
	}
	return l.answeredParts
}

// isSound reports whether this daemon has seen an answer to a request with a trait lately.
func (l *Ledger) isSound(now time.Time, trait string) bool {
	at, ok := l.answered(trait).Peek(trait)
	return ok && now.Sub(at) < soundFor
}

// cleared reports whether a trait was stated to be sound after a report.
func (l *Ledger) cleared(trait string, r *report) bool {
	s, ok := l.vouched[trait]
	return ok && s.clears(r)
}

// clears reports whether a trait was stated to be sound after a report.
func (s statement) clears(r *report) bool {
	if r.stored.Revision == 0 {
		return s.received.After(r.seen)
	}
	return writtenAfter(s.stored, r.stored)
}

// Tick updates what depends on time. It is to be called regularly.
func (l *Ledger) Tick(now time.Time) {
	if len(l.reports) == 0 && len(l.blocks) == 0 {
		return
	}
	if now.Sub(l.updated) < updateInterval {
		if l.stale {
			l.updateSoon(now)
		}
		return
	}
	for name, r := range l.reports {
		if now.Sub(r.seen) >= reportLifetime {
			l.removeReport(name)
		}
	}
	l.update(now)
}

// Change is a change of what is blocked.
type Change struct {
	// Part is the prompt part, or Fingerprint the request.
	Part, Fingerprint string
	Blocked           bool
	// Doubtful reports that the trait may be innocent: no trial since it is Alone has
	// crashed an endpoint.
	Doubtful bool
	// Alone reports that no other trait may have caused its outages.
	Alone bool
	// Outages is the number of outages that the trait may have caused.
	Outages int
}

// changed records a change of what is blocked.
func (l *Ledger) changed(trait string, c Change) {
	if f, ok := strings.CutPrefix(trait, requestPrefix); ok {
		c.Fingerprint = f
	} else {
		c.Part = trait
	}
	l.changes = append(l.changes, c)
}

// Changes returns and forgets the changes since the last call.
func (l *Ledger) Changes() []Change {
	c := l.changes
	l.changes = nil
	return c
}
