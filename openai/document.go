package openai

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// This file defines JSON objects that are written again with some of their members changed.

// document is a JSON object as it was written.
type document struct {
	text    []byte
	members []span
}

// span is where the value of a member is in the text of a document.
type span struct {
	name     string
	from, to int
}

// change is a new value of a member.
type change struct {
	name  string
	value []byte
}

// readDocument returns a valid JSON object, without space around it, as a document. It keeps the text.
func readDocument(text []byte) *document {
	d := &document{text: text}
	gjson.ParseBytes(text).ForEach(func(name, v gjson.Result) bool {
		d.members = append(d.members, span{name.String(), v.Index, v.Index + len(v.Raw)})
		return true
	})
	return d
}

// value returns the value of a member, or nil if there is none. Of several the last holds, as in
// encoding/json.
func (d *document) value(name string) json.RawMessage {
	for i := len(d.members) - 1; i >= 0; i-- {
		if s := d.members[i]; s.name == name {
			return d.text[s.from:s.to]
		}
	}
	return nil
}

// with returns the text with some changes, and all else byte for byte. Missing members are added at
// the end. Of a member that is there several times all are changed, as readers differ in which holds.
func (d *document) with(changes []change) []byte {
	b := make([]byte, 0, len(d.text)+len(changes)*32)
	done := 0
	changed := make(map[string]bool, len(changes))
	for _, s := range d.members {
		for _, c := range changes {
			if c.name == s.name {
				b = append(append(b, d.text[done:s.from]...), c.value...)
				done = s.to
				changed[c.name] = true
			}
		}
	}
	end := 1 // After the opening brace.
	if n := len(d.members); n > 0 {
		end = d.members[n-1].to
	}
	b = append(b, d.text[done:max(done, end)]...)
	separate := len(d.members) > 0
	for _, c := range changes {
		if changed[c.name] {
			continue
		}
		if separate {
			b = append(b, ',')
		}
		separate = true
		b = append(append(append(append(b, '"'), c.name...), `":`...), c.value...)
	}
	return append(b, d.text[max(done, end):]...)
}

// encode encodes a value as JSON without rewriting characters that are special in HTML only.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.WithStack(err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}
