package direct

import (
	"slices"

	"fescuelatch"
)

// This file defines the recent changes that a daemon keeps for the daemons that
// follow the store through it.

const (
	// maxJournalEntries bounds the changes kept. A follower that has missed more
	// gets a full copy.
	maxJournalEntries = 2048
	// maxJournalBytes bounds their values: a configuration may have a megabyte,
	// and the smallest VMs have about 100 MB for the whole daemon.
	maxJournalBytes = 4 << 20
)

// journal holds the latest changes, except those without effect, under
// consecutive numbers.
type journal struct {
	next    int64 // number of the next change
	changes []fescuelatch.StoredItem
	bytes   int // total size of the values
	// changed is closed on the next change.
	changed chan struct{}
}

func newJournal() journal { return journal{changed: make(chan struct{})} }

func (j *journal) add(i fescuelatch.StoredItem) {
	j.changes = append(j.changes, i)
	j.bytes += len(i.Value)
	j.next++
	j.trim()
	close(j.changed)
	j.changed = make(chan struct{})
}

// restart discards all changes, so that every follower gets a full copy on its
// next call.
func (j *journal) restart() {
	j.changes, j.bytes = nil, 0
	j.next++
	close(j.changed)
	j.changed = make(chan struct{})
}

// trim discards the oldest changes beyond the bounds. It goes down to half of
// them, so that the remaining changes aren't moved on each call.
func (j *journal) trim() {
	if len(j.changes) <= maxJournalEntries && j.bytes <= maxJournalBytes {
		return
	}
	drop := 0
	for drop < len(j.changes) && (len(j.changes)-drop > maxJournalEntries/2 || j.bytes > maxJournalBytes/2) {
		j.bytes -= len(j.changes[drop].Value)
		drop++
	}
	j.changes = slices.Delete(j.changes, 0, drop)
}

// since returns the changes from a number on, or false when they are no longer
// kept.
func (j *journal) since(number int64) ([]fescuelatch.StoredItem, bool) {
	first := j.next - int64(len(j.changes))
	if number < first || number > j.next {
		return nil, false
	}
	return slices.Clone(j.changes[number-first:]), true
}
