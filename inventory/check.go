package inventory

import (
	"sort"
	"strings"

	"fescuelatch"
)

// This file checks a configuration and maps its faults to positions in files.

// Check returns an *Error of KindFaults when the files or c have faults. c is
// the configuration of the files, or the result of ApplyTo or ApplyRulesTo.
func (f *Files) Check(c *fescuelatch.Configuration) error {
	faults := append([]Fault(nil), f.faults...)
	if !f.incomplete {
		// In an incomplete file entries are missing, and every reference to
		// them would be reported too.
		faults = f.appendConfigurationFaults(faults, c)
	}
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].before(faults[j].Position) })
	return &Error{Op: "check configuration", Kind: KindFaults, Faults: faults}
}

// appendConfigurationFaults adds the faults of c. A field that could not be
// decoded is not reported again.
func (f *Files) appendConfigurationFaults(faults []Fault, c *fescuelatch.Configuration) []Fault {
	decoded := make(map[string]bool)
	for _, ft := range faults {
		decoded[ft.Field] = true
	}
	for _, ft := range c.Validate() {
		field := f.displayPath(ft.Path)
		if !decoded[field] {
			faults = append(faults, Fault{Position: f.Position(ft.Path), Field: field, Message: ft.Message})
		}
	}
	return faults
}

func (f Fault) before(p Position) bool {
	if f.File != p.File {
		return f.File < p.File
	}
	if f.Line != p.Line {
		return f.Line < p.Line
	}
	return f.Column < p.Column
}

// Position returns the position of the field at a path of fescuelatch.Fault, or
// of its nearest enclosing value. It is zero if no file contains it.
func (f *Files) Position(path string) Position {
	for path != "" {
		if p, ok := f.positions[path]; ok {
			return p
		}
		path = parent(path)
	}
	return Position{}
}

// displayPath returns path with the entry's index replaced by its identifier.
func (f *Files) displayPath(path string) string {
	for p := path; p != ""; p = parent(p) {
		if l, ok := f.labels[p]; ok {
			return l + path[len(p):]
		}
	}
	return path
}

// parent returns path without its last field or index.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
