package peer

import (
	"slices"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the numeric encoding of free capacity. Between daemons
// with the same active configuration, a version or service is encoded as its
// position in the sorted configuration.

// Counts encodes spares in four numbers each: the number of the version or
// service, Free, Queued and Slots.
type Counts []int

// countsPerSpare is the number of elements that encode one spare.
const countsPerSpare = 4

// Numbering numbers the versions and services of one configuration. The zero
// value is empty.
type Numbering struct {
	generation fescuelatch.Generation
	keys       []fescuelatch.Spare
	numbers    map[fescuelatch.Spare]int
}

// NewNumbering returns the numbering of v; that of nil is empty.
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

// Generation returns the generation of the configuration.
func (n *Numbering) Generation() fescuelatch.Generation { return n.generation }

// Pack encodes spares, without those of unknown versions and services.
func (n *Numbering) Pack(ss []fescuelatch.Spare) Counts {
	cs := make(Counts, 0, countsPerSpare*len(ss))
	for _, s := range ss {
		if at, ok := n.numbers[fescuelatch.Spare{Version: s.Version, Service: s.Service}]; ok {
			cs = append(cs, at, s.Free, s.Queued, s.Slots)
		}
	}
	return cs
}

// Unpack decodes spares.
func (n *Numbering) Unpack(cs Counts) ([]fescuelatch.Spare, error) {
	const op = "unpack capacity"
	if len(cs)%countsPerSpare != 0 {
		return nil, &Error{op, KindInvalid, errors.Errorf("%d numbers", len(cs))}
	}
	ss := make([]fescuelatch.Spare, 0, len(cs)/countsPerSpare)
	for c := range slices.Chunk(cs, countsPerSpare) {
		if c[0] < 0 || c[0] >= len(n.keys) {
			return nil, &Error{op, KindInvalid, errors.Errorf("number %d of %d", c[0], len(n.keys))}
		}
		s := n.keys[c[0]]
		s.Free, s.Queued, s.Slots = c[1], c[2], c[3]
		ss = append(ss, s)
	}
	return ss, nil
}
