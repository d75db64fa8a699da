package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"fescuelatch"
)

// This file defines the difference between two configurations, entry by entry
// and field by field.

// Action is what happens to an entry.
type Action string

// Actions on an entry.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// EntryDiff is the difference of one entry. Fields is empty when the entry
// is removed.
type EntryDiff struct {
	Action Action                `json:"action"`
	Kind   fescuelatch.EntryKind `json:"kind"`
	ID     string                `json:"id,omitempty"`
	Fields []FieldDiff           `json:"fields,omitempty"`
}

// FieldDiff is the difference of one field. Was is empty when the field is
// added, and Becomes when it is removed.
type FieldDiff struct {
	Field   string `json:"field"`
	Was     string `json:"was,omitempty"`
	Becomes string `json:"becomes,omitempty"`
}

// Diff returns the effect of change on base, the configuration it starts from.
func Diff(base *fescuelatch.Configuration, change *fescuelatch.Change) []EntryDiff {
	was := make(map[fescuelatch.EntryKey]json.RawMessage)
	for _, e := range base.Entries() {
		was[e.EntryKey] = e.Body
	}
	var out []EntryDiff
	for _, e := range change.Put {
		body, ok := was[e.EntryKey]
		d := EntryDiff{Action: ActionChange, Kind: e.Kind, ID: e.ID, Fields: diffFields(body, e.Body)}
		if !ok {
			d.Action = ActionAdd
		}
		out = append(out, d)
	}
	for _, k := range change.Delete {
		out = append(out, EntryDiff{Action: ActionRemove, Kind: k.Kind, ID: k.ID})
	}
	return out
}

func diffFields(was, becomes json.RawMessage) []FieldDiff {
	old, next := flatten(was), flatten(becomes)
	before := make(map[string]string, len(old))
	for _, f := range old {
		before[f.path] = f.text
	}
	var out []FieldDiff
	for _, f := range next {
		if text, ok := before[f.path]; !ok || text != f.text {
			out = append(out, FieldDiff{Field: f.path, Was: text, Becomes: f.text})
		}
		delete(before, f.path)
	}
	for _, f := range old {
		if _, removed := before[f.path]; removed {
			out = append(out, FieldDiff{Field: f.path, Was: f.text})
		}
	}
	return out
}

// flatField is a leaf field with its path. A list of scalars is one field.
type flatField struct {
	path string
	text string
}

// flatten returns the leaf fields of an entry's body in their order there.
func flatten(body json.RawMessage) []flatField {
	if len(body) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var out []flatField
	// Bodies are encoded domain types, so decoding cannot fail.
	_ = flattenValue(dec, "", &out)
	return out
}

func flattenValue(dec *json.Decoder, path string, out *[]flatField) error {
	t, err := dec.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return flattenObject(dec, path, out)
	case json.Delim('['):
		return flattenArray(dec, path, out)
	default:
		*out = append(*out, flatField{path, fmt.Sprint(t)})
		return nil
	}
}

func flattenObject(dec *json.Decoder, path string, out *[]flatField) error {
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return err
		}
		if err := flattenValue(dec, join(path, fmt.Sprint(key)), out); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

// flattenArray names the elements of a list of objects by their identifiers.
func flattenArray(dec *json.Decoder, path string, out *[]flatField) error {
	var scalars []string
	for n := 0; dec.More(); n++ {
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return err
		}
		fields := flatten(raw)
		if len(fields) == 1 && fields[0].path == "" {
			scalars = append(scalars, fields[0].text)
			continue
		}
		name := fmt.Sprintf("%s[%s]", path, elementName(fields, n))
		for _, f := range fields {
			*out = append(*out, flatField{name + "." + f.path, f.text})
		}
	}
	if len(scalars) > 0 {
		*out = append(*out, flatField{path, strings.Join(scalars, " ")})
	}
	_, err := dec.Token()
	return err
}

func elementName(fields []flatField, n int) string {
	for _, f := range fields {
		if f.path == "id" {
			return f.text
		}
	}
	return fmt.Sprint(n)
}

// WriteDiff writes differences as text: "+" marks an added entry, "-" a
// removed one and "~" a changed one.
func WriteDiff(w io.Writer, diffs []EntryDiff) error {
	var b strings.Builder
	for _, d := range diffs {
		b.WriteString(d.Action.mark() + " " + strings.TrimSpace(string(d.Kind)+" "+d.ID) + "\n")
		for _, f := range d.Fields {
			fmt.Fprintf(&b, "    %s: %s\n", f.Field, f.text(d.Action))
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return &Error{Op: "write difference", Kind: KindWrite, Err: err}
	}
	return nil
}

func (a Action) mark() string {
	switch a {
	case ActionAdd:
		return "+"
	case ActionRemove:
		return "-"
	default:
		return "~"
	}
}

func (f FieldDiff) text(a Action) string {
	if a == ActionAdd {
		return f.Becomes
	}
	return orNone(f.Was) + " -> " + orNone(f.Becomes)
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
