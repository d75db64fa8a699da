package inventory

// This file defines the tree that both file formats are read into.

type nodeKind int

const (
	// nodeScalar is one text.
	nodeScalar nodeKind = iota
	// nodeCell is a text of a CSV file, where a list is separated by spaces.
	nodeCell
	nodeNull
	nodeList
	nodeMap
)

// node is a value of a file with its position. Text is set for scalars and
// cells, items for lists, and fields for maps.
type node struct {
	kind   nodeKind
	pos    Position
	text   string
	items  []node
	fields []nodeField
}

type nodeField struct {
	name  string
	pos   Position
	value node
}

// document is what one file holds: entries by the name of their list.
type document struct {
	file   string
	lists  []nodeField
	faults []Fault
	// broken reports that a part of the file could not be read, so that
	// entries may be missing.
	broken bool
}

func (d *document) fault(p Position, field, message string) {
	d.faults = append(d.faults, Fault{Position: p, Field: field, Message: message})
}

// breakOff records a fault after which the rest of the file is not read.
func (d *document) breakOff(p Position, message string) {
	d.broken = true
	d.fault(p, "", message)
}
