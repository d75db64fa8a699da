package peer

import (
	"slices"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines free capacity in numbers: between daemons that have the
// same configuration in force, a version or service is its position in the
// sorted configuration.

// Counts are spares in numbers, four for each: what it is of, then Free,
// Queued and Slots.
type Counts []int

// countsEach is the number of numbers for each spare.
const countsEach = 4

// Numbering numbers the versions and services of one configuration. The zero
// value knows none.
type Numbering struct {
	generation fescuelatch.Generation
	keys       []fescuelatch.Spare
	numbers    map[fescuelatch.Spare]int
}

// NewNumbering returns the numbering of v, which may be nil.
func NewNumbering(v *fescuelatch.View) *Numbering {
	n := &Numbering{numbers: make(map[fescuelatch.Spare]int)}
	if v == nil {
		return n
	}
	n.generation = v.Generation()
	i := &v.Configuration.Inventory
	versions := make([]fescuelatch.VersionID, 0, len(i.Versions))
	for _, x := range i.Versions {
		versions = append(versions, x.ID)
	}
	services := make([]fescuelatch.ServiceID, 0, len(i.Services))
	for _, x := range i.Services {
		services = append(services, x.ID)
	}
	slices.Sort(versions)
	slices.Sort(services)
	for _, x := range versions {
		n.add(fescuelatch.Spare{Version: x})
	}
	for _, x := range services {
		n.add(fescuelatch.Spare{Service: x})
	}
	return n
}

func (n *Numbering) add(key fescuelatch.Spare) {
	n.numbers[key] = len(n.keys)
	n.keys = append(n.keys, key)
}

// Generation returns that of the configuration.
func (n *Numbering) Generation() fescuelatch.Generation { return n.generation }

// Pack returns spares in numbers, without those that have none.
func (n *Numbering) Pack(ss []fescuelatch.Spare) Counts {
	cs := make(Counts, 0, countsEach*len(ss))
	for _, s := range ss {
		if at, ok := n.numbers[fescuelatch.Spare{Version: s.Version, Service: s.Service}]; ok {
			cs = append(cs, at, s.Free, s.Queued, s.Slots)
		}
	}
	return cs
}

// Unpack returns the spares that numbers stand for.
func (n *Numbering) Unpack(cs Counts) ([]fescuelatch.Spare, error) {
	const op = "unpack capacity"
	if len(cs)%countsEach != 0 {
		return nil, &Error{op, KindInvalid, errors.Errorf("%d numbers", len(cs))}
	}
	ss := make([]fescuelatch.Spare, 0, len(cs)/countsEach)
	for c := range slices.Chunk(cs, countsEach) {
		if c[0] < 0 || c[0] >= len(n.keys) {
			return nil, &Error{op, KindInvalid, errors.Errorf("number %d of %d", c[0], len(n.keys))}
		}
		s := n.keys[c[0]]
		s.Free, s.Queued, s.Slots = c[1], c[2], c[3]
		ss = append(ss, s)
	}
	return ss, nil
}
