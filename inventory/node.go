package inventory

// This file defines the tree that both file formats are parsed into.

type nodeKind int

const (
	// nodeScalar is a single value.
	nodeScalar nodeKind = iota
	// nodeCell is a CSV cell: a single value, or a list separated by spaces.
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

// document is the content of one file: lists of entries by name.
type document struct {
	file   string
	lists  []nodeField
	faults []Fault
	// incomplete reports that part of the file could not be read, so entries
	// may be missing.
	incomplete bool
}

func (d *document) addFault(p Position, field, message string) {
	d.faults = append(d.faults, Fault{Position: p, Field: field, Message: message})
}

// abort records a fault after which the rest of the file is not read.
func (d *document) abort(p Position, message string) {
	d.incomplete = true
	d.addFault(p, "", message)
}
