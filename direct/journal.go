package direct

import (
	"slices"

	"fescuelatch"
)

// This file defines what a daemon keeps of the changes that it has learned of, for
// the daemons that follow the store through it.

const (
	// journalLength bounds the changes that are kept for others. One that has
	// missed more gets everything.
	journalLength = 2048
	// journalBytes bounds their values: a configuration may have a megabyte,
	// and the smallest VMs about a hundred for everything.
	journalBytes = 4 << 20
)

// journal holds the last changes in substance, numbered without gaps.
type journal struct {
	next    int64
	changes []fescuelatch.StoredItem
	bytes   int // of the values
	// changed is closed when there is a further change.
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

// restart forgets all changes, so that whoever asks for the next ones gets
// everything.
func (j *journal) restart() {
	j.changes, j.bytes = nil, 0
	j.next++
	close(j.changed)
	j.changed = make(chan struct{})
}

// trim forgets the oldest changes beyond the bounds. Half of them go at once,
// so that the rest is not moved with each change.
func (j *journal) trim() {
	if len(j.changes) <= journalLength && j.bytes <= journalBytes {
		return
	}
	drop := 0
	for drop < len(j.changes) && (len(j.changes)-drop > journalLength/2 || j.bytes > journalBytes/2) {
		j.bytes -= len(j.changes[drop].Value)
		drop++
	}
	j.changes = slices.Delete(j.changes, 0, drop)
}

// since returns the changes from a number on, or false when they are gone.
func (j *journal) since(number int64) ([]fescuelatch.StoredItem, bool) {
	first := j.next - int64(len(j.changes))
	if number < first || number > j.next {
		return nil, false
	}
	return slices.Clone(j.changes[number-first:]), true
}
