package inventory

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file reads the files of a configuration.

const maxFileBytes = 8 << 20

// Files is a configuration read from files. It contains the inventory, the
// rules, or both, but no overrides: these are set on the active configuration.
// Configuration has generation zero.
type Files struct {
	Configuration fescuelatch.Configuration

	lists      map[string]bool
	positions  map[string]Position
	labels     map[string]string
	faults     []Fault
	incomplete bool
}

// Read reads a whole configuration from files and directories, and checks
// it. The error is an *Error; with KindFaults it lists the faults of all files.
func Read(paths ...string) (*fescuelatch.Configuration, error) {
	f, err := Load(paths...)
	if err != nil {
		return nil, err
	}
	if err := f.Check(&f.Configuration); err != nil {
		return nil, err
	}
	return &f.Configuration, nil
}

// Load reads files and directories without checking their contents. In a
// directory it reads the files that end in .yaml, .yml and .csv, but no
// subdirectories. An error means that a file could not be read; Check reports
// faults in the contents.
func Load(paths ...string) (*Files, error) {
	const op = "read inventory"
	names, err := expand(paths)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindRead, Err: err}
	}
	var docs []*document
	for _, n := range names {
		data, err := readFile(n)
		if err != nil {
			return nil, &Error{Op: op, Kind: KindRead, Err: err}
		}
		docs = append(docs, parse(n, data))
	}
	return assemble(docs), nil
}

func expand(paths []string) ([]string, error) {
	var names []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if !info.IsDir() {
			names = append(names, p)
			continue
		}
		entries, err := os.ReadDir(p)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		for _, e := range entries {
			if !e.IsDir() && isInventoryFile(e.Name()) {
				names = append(names, filepath.Join(p, e.Name()))
			}
		}
	}
	if len(names) == 0 {
		return nil, errors.New("no .yaml, .yml or .csv file given")
	}
	return names, nil
}

func isInventoryFile(name string) bool {
	switch filepath.Ext(name) {
	case ".yaml", ".yml", ".csv":
		return true
	default:
		return false
	}
}

func readFile(name string) ([]byte, error) {
	dir, base := filepath.Split(name)
	if dir == "" {
		dir = "."
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("%s has %d bytes, the limit is %d", name, info.Size(), maxFileBytes)
	}
	data, err := fs.ReadFile(os.DirFS(dir), base)
	return data, errors.WithStack(err)
}

func parse(name string, data []byte) *document {
	if at, ok := invalidUTF8(name, data); ok {
		d := &document{file: name}
		d.abort(at, "the text is not UTF-8")
		return d
	}
	base := filepath.Base(name)
	switch ext := filepath.Ext(base); ext {
	case ".yaml", ".yml":
		return parseYAML(name, data)
	case ".csv":
		return parseCSV(name, strings.TrimSuffix(base, ext), data)
	default:
		d := &document{file: name}
		d.abort(Position{File: name}, "file name must end in .yaml, .yml or .csv")
		return d
	}
}

// invalidUTF8 returns the line of the first byte that is not valid UTF-8.
// Encoding for the daemons would replace such a byte.
func invalidUTF8(name string, data []byte) (Position, bool) {
	if utf8.Valid(data) {
		return Position{}, false
	}
	line := 1
	for l := range bytes.Lines(data) {
		if !utf8.Valid(l) {
			break
		}
		line++
	}
	return Position{File: name, Line: line}, true
}

// list is one list of entries of a configuration.
type list struct {
	path  string // prefix of fescuelatch.Fault.Path
	value reflect.Value
}

func listsByName(c *fescuelatch.Configuration) map[string]list {
	m := make(map[string]list)
	for n, v := range fieldsByName(reflect.ValueOf(&c.Inventory).Elem()) {
		m[n] = list{path: "inventory." + n, value: v}
	}
	for n, v := range fieldsByName(reflect.ValueOf(&c.Rules).Elem()) {
		m[n] = list{path: "rules." + n, value: v}
	}
	return m
}

// entry is a decoded entry with the positions of its fields.
type entry struct {
	id        string
	value     reflect.Value
	positions map[string]Position
	faults    []Fault
}

// assemble decodes all documents. Each list is sorted by identifier.
func assemble(docs []*document) *Files {
	f := &Files{
		lists:     make(map[string]bool),
		positions: make(map[string]Position),
		labels:    make(map[string]string),
	}
	lists := listsByName(&f.Configuration)
	entries := make(map[string][]entry)
	for _, d := range docs {
		f.faults = append(f.faults, d.faults...)
		f.incomplete = f.incomplete || d.incomplete
		for _, l := range d.lists {
			target, ok := lists[l.name]
			if !ok {
				f.faults = append(f.faults, Fault{Position: l.pos, Field: l.name, Message: unknownList(l.name)})
				continue
			}
			f.lists[l.name] = true
			entries[l.name] = append(entries[l.name], f.decodeList(l, target.value.Type())...)
		}
	}
	for n, es := range entries {
		f.storeEntries(n, lists[n], es)
	}
	return f
}

func unknownList(name string) string {
	if name == "overrides" {
		return "overrides are set by commands and do not stand in files"
	}
	return "unknown list"
}

func (f *Files) decodeList(l nodeField, t reflect.Type) []entry {
	if l.value.kind == nodeNull {
		return nil
	}
	if l.value.kind != nodeList {
		f.faults = append(f.faults, Fault{Position: l.value.pos, Field: l.name, Message: "is not a list"})
		return nil
	}
	var es []entry
	for _, i := range l.value.items {
		d := decoder{positions: make(map[string]Position)}
		v := reflect.New(t.Elem()).Elem()
		d.decode(i, v, "")
		es = append(es, entry{id: v.FieldByName("ID").String(), value: v, positions: d.positions, faults: d.faults})
	}
	return es
}

// storeEntries sorts the entries of a list, stores them in it, and records the
// positions of their fields.
func (f *Files) storeEntries(name string, l list, es []entry) {
	sort.SliceStable(es, func(i, j int) bool { return es[i].id < es[j].id })
	out := reflect.MakeSlice(l.value.Type(), 0, len(es))
	for n, e := range es {
		out = reflect.Append(out, e.value)
		path := fmt.Sprintf("%s[%d]", l.path, n)
		f.labels[path] = label(name, e.id, n)
		for p, at := range e.positions {
			f.positions[join(path, p)] = at
		}
		f.positions[path] = e.positions[""]
		for _, ft := range e.faults {
			ft.Field = f.displayPath(strings.TrimSuffix(join(path, ft.Field), "."))
			f.faults = append(f.faults, ft)
		}
	}
	l.value.Set(out)
}

// label names an entry by its identifier, or by its index if it has none.
func label(list, id string, n int) string {
	if id == "" {
		return fmt.Sprintf("%s[%d]", list, n)
	}
	return fmt.Sprintf("%s[%s]", list, id)
}
