package crash

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the records in the store through which the daemons share what they
// know.

// RecordKind is the kind of a record.
type RecordKind string

// Kinds of records. The name of a report is random; that of the others is the trait.
const (
	RecordReport RecordKind = "crashes"
	RecordSound  RecordKind = "sound-parts"
	RecordBlock  RecordKind = "blocked-parts"
	// RecordTrial holds the trials of a doubtful block, which needs no other record: each
	// daemon draws it from the reports.
	RecordTrial RecordKind = "crash-trials"
)

const (
	// reportLifetime is how long a report lasts. It is shorter than that of
	// statements, so that no report outlives the statement that clears it.
	reportLifetime    = 5 * time.Minute
	statementLifetime = 10 * time.Minute
	// recordDelayPerDaemon spreads a record that many daemons could write over time,
	// up to maxRecordDelay: the first is read by the others, which then write none.
	recordDelayPerDaemon = 5 * time.Millisecond
	maxRecordDelay       = 2 * time.Second
	// reportDelayPerDaemon spreads the reports of crashes that many daemons have seen.
	reportDelayPerDaemon = time.Millisecond
	// calmDelay and calmDelayPerDaemon are the same for statements on traits that are
	// not in enough outages yet for any consequence.
	calmDelay          = 2 * time.Second
	calmDelayPerDaemon = 20 * time.Millisecond
	// rewriteInterval is the time until a write is tried again.
	rewriteInterval = 2 * time.Second
)

// Record is a record in the store.
type Record struct {
	Kind   RecordKind
	Name   string
	Stored fescuelatch.KeyValue
}

// Write is a record to be written.
type Write struct {
	Kind RecordKind
	Name string
	// Value is encoded as JSON.
	Value    any
	Lifetime time.Duration
	// Conditional reports that the write must fail unless the record's revision is
	// Revision, which is zero if there is none.
	Conditional bool
	Revision    int64
}

// Check reports whether the value of a record can be used.
func Check(k RecordKind, name string, value []byte) error {
	switch k {
	case RecordReport:
		_, err := decodeReport(value)
		return err
	case RecordBlock, RecordTrial:
		_, err := decodeBlock(name, value)
		return err
	}
	return nil
}

// trialRecord is the record of the trials of a trait.
type trialRecord struct {
	stored fescuelatch.KeyValue
	trials int
}

// Sync replaces the known records. It returns the records that cannot be decoded.
func (l *Ledger) Sync(now time.Time, records []Record) []error {
	var failed []error
	changed := false
	var reports []Record // that are not known
	present := map[RecordKind]map[string]bool{RecordBlock: {}, RecordTrial: {}}
	l.reads++
	for _, r := range records {
		var news bool
		var err error
		switch r.Kind {
		case RecordReport:
			if !l.knowsReport(r) {
				reports = append(reports, r)
			}
		case RecordSound:
			news = l.syncSound(now, r)
		case RecordBlock:
			news, err = l.syncBlock(now, r)
		case RecordTrial:
			news, err = l.syncTrial(now, r)
		}
		if names := present[r.Kind]; names != nil {
			names[r.Name] = true
		}
		if err != nil {
			failed = append(failed, err)
		}
		changed = changed || news
	}
	read, errs := l.readReports(now, reports)
	if l.forget(now, present) || changed || len(read) > 0 {
		l.updateSoon(now)
		l.vouchForSuspects(now, read)
	}
	return append(failed, errs...)
}

// knowsReport reports whether a report has been read or dropped before.
func (l *Ledger) knowsReport(r Record) bool {
	if known := l.reports[r.Name]; known != nil {
		known.read = l.reads
		return known.stored.Revision != 0 && !r.Stored.After(known.stored)
	}
	return l.oldReports.Revision != 0 && !r.Stored.After(l.oldReports)
}

// readReports reads new reports, the latest if there are more than are kept.
func (l *Ledger) readReports(now time.Time, reports []Record) ([]*report, []error) {
	slices.SortFunc(reports, func(a, b Record) int { return compareStored(a.Stored, b.Stored) })
	if n := len(reports) - maxReports; n > 0 {
		if last := reports[n-1].Stored; last.After(l.oldReports) {
			l.oldReports = last
		}
		reports = reports[n:]
	}
	var read []*report
	var failed []error
	for _, r := range reports {
		if report, err := l.readReport(now, r); err != nil {
			failed = append(failed, err)
		} else {
			read = append(read, report)
		}
	}
	return read, failed
}

// forget removes what was read from records that the store no longer holds, and reports
// whether there were any.
func (l *Ledger) forget(now time.Time, present map[RecordKind]map[string]bool) bool {
	changed := false
	for name, r := range l.reports {
		if r.stored.Revision != 0 && r.read != l.reads {
			l.removeReport(name)
			changed = true
		}
	}
	for trait := range l.trials {
		if !present[RecordTrial][trait] {
			delete(l.trials, trait)
		}
	}
	for trait := range l.endedBlocks {
		if !present[RecordBlock][trait] {
			delete(l.endedBlocks, trait)
		}
	}
	for trait, b := range l.blocks {
		switch {
		case b.doubtful:
			b.stored = l.trials[trait].stored
		case b.stored.Revision != 0 && !present[RecordBlock][trait]:
			// The store has lost the record, or its lease has expired. It is written
			// again if there are still requests with the trait.
			b.stored, b.writeAt = fescuelatch.KeyValue{}, now.Add(l.recordDelay())
		}
	}
	return changed
}

// delay returns a random delay.
func (l *Ledger) delay(longest time.Duration) time.Duration {
	return time.Duration(l.random.Float64() * float64(longest))
}

// recordDelay returns a random delay for a record that each daemon could write.
func (l *Ledger) recordDelay() time.Duration {
	return l.delay(min(maxRecordDelay, time.Duration(l.members())*recordDelayPerDaemon))
}

// vouchForSuspects schedules statements on the traits in new reports, in several reports, or
// blocked, that this daemon has seen in answered requests lately.
func (l *Ledger) vouchForSuspects(now time.Time, read []*report) {
	for _, r := range read {
		for _, s := range r.Suspects {
			if l.isSound(now, s.Trait) {
				l.vouchLater(now, s.Trait)
			}
		}
	}
	for t := range l.named {
		if l.isSound(now, t) {
			l.vouchLater(now, t)
		}
	}
	for t := range l.blocks {
		if l.isSound(now, t) {
			l.vouchLater(now, t)
		}
	}
}

// readReport reads a report. If it is on an endpoint at which this daemon has just ended
// attempts, these are reported as well.
func (l *Ledger) readReport(now time.Time, r Record) (*report, error) {
	decoded, err := decodeReport(r.Stored.Value)
	if err != nil {
		return nil, err
	}
	seen := now
	if known := l.reports[r.Name]; known != nil {
		seen = known.seen
	}
	l.removeReport(r.Name)
	added := &report{Report: decoded, name: r.Name, seen: seen, stored: r.Stored, read: l.reads}
	l.addReport(added)
	for _, p := range decoded.Processes {
		l.reportEnded(now, p)
	}
	return added, nil
}

func (l *Ledger) syncSound(now time.Time, r Record) bool {
	known, ok := l.vouched[r.Name]
	if ok && !r.Stored.After(known.stored) || !ok && l.oldStatements.Revision != 0 && !r.Stored.After(l.oldStatements) {
		return false
	}
	news := statement{r.Stored, now}
	if ok && !writtenAfter(r.Stored, known.stored) {
		// It is perhaps the known one in a copy from which the store was restored.
		news.received = known.received
	}
	l.vouched[r.Name] = news
	if len(l.vouched) > maxStatements {
		l.dropStatements()
	}
	delete(l.vouches, r.Name)
	b := l.blocks[r.Name]
	if b != nil && (b.stored.Revision == 0 && news.received.Equal(now) || b.stored.Revision != 0 && writtenAfter(r.Stored, b.stored)) {
		l.unblock(r.Name)
	}
	return b != nil || len(l.mentions[r.Name]) > 0
}

// writtenAfter reports whether a record was certainly written after another one. A copy from
// which the store was restored holds older records, whose revisions remain, in a later era.
func writtenAfter(kv, o fescuelatch.KeyValue) bool {
	return kv.Revision > o.Revision && (kv.Era >= o.Era || kv.Era == 0)
}

func (l *Ledger) syncBlock(now time.Time, r Record) (bool, error) {
	if s, ok := l.vouched[r.Name]; ok && writtenAfter(s.stored, r.Stored) {
		l.endBlockRecord(r.Name, r.Stored)
		return false, nil
	}
	if ended, ok := l.endedBlocks[r.Name]; ok && !r.Stored.After(ended) {
		return false, nil
	}
	b := l.blocks[r.Name]
	if b != nil && !b.doubtful && !r.Stored.After(b.stored) {
		return false, nil
	}
	decoded, err := decodeBlock(r.Name, r.Stored.Value)
	if err != nil {
		return false, err
	}
	if b == nil || b.doubtful {
		if !l.block(now, r.Name, 0) {
			return false, nil
		}
		b = l.blocks[r.Name]
	}
	if b.recorded || b.trials != decoded.Trials {
		b.trials, b.triedAt = decoded.Trials, now
		l.scheduleTrial(now, r.Name, b)
	} else if b.stored.Revision == 0 && b.trialAt.Before(now) {
		b.trialAt = now // No trial could be claimed before.
	}
	b.stored, b.recorded, b.with = r.Stored, true, decoded.With
	b.until, b.refused = now.Add(blockLifetime), false
	return true, nil
}

// endBlockRecord remembers the record of a block that has ended. The record of the next block
// of the trait replaces it.
func (l *Ledger) endBlockRecord(trait string, stored fescuelatch.KeyValue) {
	if ended, ok := l.endedBlocks[trait]; ok && !stored.After(ended) || !ok && len(l.endedBlocks) >= maxBlocks {
		return
	}
	l.endedBlocks[trait] = stored
}

// syncTrial reads the record of the trials of a trait, and reports whether it is news.
func (l *Ledger) syncTrial(now time.Time, r Record) (bool, error) {
	known, ok := l.trials[r.Name]
	if ok && !r.Stored.After(known.stored) || !ok && len(l.trials) >= maxBlocks {
		return false, nil
	}
	decoded, err := decodeBlock(r.Name, r.Stored.Value)
	if err != nil {
		return false, err
	}
	l.trials[r.Name] = trialRecord{r.Stored, decoded.Trials}
	if b := l.blocks[r.Name]; b != nil && b.doubtful {
		b.until = now.Add(blockLifetime)
		l.recordTrials(now, r.Name, b)
	}
	return true, nil
}

// vouchLater schedules the statement that a trait is sound if other daemons may suspect
// it. Requests that are in one outage only need none yet.
func (l *Ledger) vouchLater(now time.Time, trait string) {
	if !l.suspected(trait) {
		return
	}
	v, scheduled := l.vouches[trait]
	urgent := l.blocks[trait] != nil || l.namedIn(trait) >= suspectAfter
	if scheduled && (v.urgent || !urgent) {
		return // Of several random delays the shortest would count.
	}
	delay := l.delay(calmDelay + time.Duration(l.members())*calmDelayPerDaemon)
	if urgent {
		delay = l.recordDelay()
	}
	if at := now.Add(delay); !scheduled || at.Before(v.at) {
		v.at = at
	}
	l.vouches[trait] = vouch{v.at, urgent}
}

// suspected reports whether a statement on a trait may make a difference: it is blocked, or
// in reports after which it was not stated to be sound.
func (l *Ledger) suspected(trait string) bool {
	least := 1
	if isRequest(trait) {
		least = suspectAfter
	}
	return l.blocks[trait] != nil || l.namedIn(trait) >= least
}

// namedIn returns the number of outages in which a trait is suspected by any daemon.
func (l *Ledger) namedIn(trait string) int {
	if n, ok := l.named[trait]; ok {
		return n
	}
	m := l.mentions[trait]
	if len(m) == 0 || l.cleared(trait, m[0].report) {
		return 0
	}
	return 1
}

// Writes returns the records that are due to be written. Each must be followed by
// Written.
func (l *Ledger) Writes(now time.Time) []Write {
	l.closeOutage(now)
	due := append(l.dueReports(now), l.dueStatements(now)...)
	for t, b := range l.blocks {
		if !b.doubtful && b.stored.Revision == 0 && !now.Before(b.writeAt) && (b.refused || !b.recorded) {
			b.writeAt = now.Add(rewriteInterval)
			due = append(due, Write{
				Kind: RecordBlock, Name: t, Value: Block{Trials: b.trials, With: b.with}, Lifetime: statementLifetime,
				Conditional: true, Revision: l.endedBlocks[t].Revision,
			})
		}
	}
	return due
}

// dueStatements returns all scheduled statements once one of them is due: they are written
// together.
func (l *Ledger) dueStatements(now time.Time) []Write {
	any := false
	for p, v := range l.vouches {
		if !l.suspected(p) {
			delete(l.vouches, p)
			continue
		}
		any = any || !now.Before(v.at)
	}
	if !any {
		return nil
	}
	var due []Write
	for p := range l.vouches {
		l.vouches[p] = vouch{now.Add(rewriteInterval), true}
		due = append(due, Write{Kind: RecordSound, Name: p, Value: struct{}{}, Lifetime: statementLifetime})
	}
	return due
}

// dueReports returns the own reports that are to be written, the oldest first, if it is time.
// Reports on a trait that this daemon blocks, of which the others may not know, wait only until no
// more crashes join them. Reports that add nothing to those of other daemons are not written.
func (l *Ledger) dueReports(now time.Time) []Write {
	early := now.Before(l.nextReport)
	if early && now.Before(l.lastReports.Add(minReportInterval)) {
		return nil
	}
	var due []*report
	for name, r := range l.unwritten {
		urgent := now.Sub(r.seen) >= outageWindow && slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return l.blocks[s.Trait] != nil })
		switch {
		case !urgent && (early || now.Before(r.writeAt)):
		case l.covered(r):
			delete(l.unwritten, name)
		default:
			due = append(due, r)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *report) int { return cmp.Or(a.seen.Compare(b.seen), cmp.Compare(a.name, b.name)) })
	due = due[:min(len(due), maxWrittenAtOnce)]
	l.lastReports = now
	l.nextReport = now.Add(time.Duration(len(due)) * max(minReportInterval, time.Duration(l.members())*reportIntervalPerDaemon))
	writes := make([]Write, 0, len(due))
	for _, r := range due {
		delete(l.unwritten, r.name)
		writes = append(writes, Write{Kind: RecordReport, Name: r.name, Value: r.Report, Lifetime: reportLifetime})
	}
	return writes
}

// covered reports whether another daemon has written all that an own report holds.
func (l *Ledger) covered(own *report) bool {
	return slices.ContainsFunc(l.reportsOf[own.Processes[0]], func(r *report) bool { return r.stored.Revision != 0 && r.covers(own) })
}

// covers reports whether a report holds all that another one does.
func (r *report) covers(other *report) bool {
	missing := func(process string) bool { return !slices.Contains(r.Processes, process) }
	if slices.ContainsFunc(other.Processes, missing) {
		return false
	}
	for i := range other.Suspects {
		s := &other.Suspects[i]
		known := slices.IndexFunc(r.Suspects, func(o Suspect) bool { return o.Trait == s.Trait })
		if known < 0 {
			return false
		}
		if len(both(r.Suspects[known].With, s.With)) != len(r.Suspects[known].With) {
			return false
		}
		for _, p := range other.suspectedAt(s) {
			if !slices.Contains(r.suspectedAt(&r.Suspects[known]), p) {
				return false
			}
		}
	}
	return true
}

// suspectedAt returns the processes that had requests with a suspect.
func (r *report) suspectedAt(s *Suspect) []string {
	if len(s.At) == 0 {
		return r.Processes
	}
	processes := make([]string, len(s.At))
	for i, at := range s.At {
		processes[i] = r.Processes[at]
	}
	return processes
}

// Written records the result of a write.
func (l *Ledger) Written(now time.Time, w Write, succeeded bool) {
	if w.Kind == RecordReport && !succeeded {
		if r := l.reports[w.Name]; r != nil && r.stored.Revision == 0 {
			l.unwritten[w.Name] = r
		}
		l.nextReport = now.Add(rewriteInterval)
	}
}
