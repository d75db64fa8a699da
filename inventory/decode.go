package inventory

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode"
)

// This file decodes nodes into the domain types. Field names come from the
// types' yaml tags, so a new field of a domain type needs no change here.

// decoder decodes one entry. Positions and faults are relative to the entry:
// "" is the entry itself and "operations[0].id" a field of it.
type decoder struct {
	positions map[string]Position
	faults    []Fault
}

func (d *decoder) addFault(p Position, path, format string, args ...any) {
	d.faults = append(d.faults, Fault{Position: p, Field: path, Message: fmt.Sprintf(format, args...)})
}

// decode stores n in v, the value at path. A fault leaves v unchanged.
func (d *decoder) decode(n node, v reflect.Value, path string) {
	d.positions[path] = n.pos
	if n.kind == nodeNull {
		return
	}
	if strings.ContainsFunc(n.text, unicode.IsControl) {
		d.addFault(n.pos, path, "has a control character, such as a line break")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeText(n node, u encoding.TextUnmarshaler, path string) {
	if n.kind != nodeScalar && n.kind != nodeCell {
		d.addFault(n.pos, path, "is not a single value")
		return
	}
	if err := u.UnmarshalText([]byte(n.text)); err != nil {
		d.addFault(n.pos, path, "%v", err)
	}
}

func (d *decoder) decodeStruct(n node, v reflect.Value, path string) {
	if n.kind == nodeCell {
		d.addFault(n.pos, path, "cannot stand in a cell, write it in YAML")
		return
	}
	if n.kind != nodeMap {
		d.addFault(n.pos, path, "is not a mapping")
		return
	}
	fields := fieldsByName(v)
	seen := make(map[string]bool)
	for _, f := range n.fields {
		p := join(path, f.name)
		target, ok := fields[f.name]
		switch {
		case !ok:
			d.addFault(f.pos, p, "unknown field")
		case seen[f.name]:
			d.addFault(f.pos, p, "stands twice")
		default:
			d.decode(f.value, target, p)
		}
		seen[f.name] = true
	}
}

func (d *decoder) decodeSlice(n node, v reflect.Value, path string) {
	items := n.items
	switch {
	case n.kind == nodeCell && v.Type().Elem().Kind() != reflect.Struct:
		items = splitCell(n)
	case n.kind == nodeCell:
		d.addFault(n.pos, path, "cannot stand in a cell, write it in YAML")
		return
	case n.kind != nodeList:
		d.addFault(n.pos, path, "is not a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(items), len(items))
	for k, i := range items {
		d.decode(i, list.Index(k), fmt.Sprintf("%s[%d]", path, k))
	}
	v.Set(list)
}

func splitCell(n node) []node {
	var items []node
	for _, w := range strings.Fields(n.text) {
		items = append(items, node{kind: nodeScalar, pos: n.pos, text: w})
	}
	return items
}

func (d *decoder) decodeScalar(n node, v reflect.Value, path string) {
	if n.kind != nodeScalar && n.kind != nodeCell {
		d.addFault(n.pos, path, "is not a single value")
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.text)
	case reflect.Bool:
		b, err := strconv.ParseBool(n.text)
		d.check(err == nil, n, path, "is not true or false")
		v.SetBool(b)
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
		d.check(err == nil, n, path, "is not a whole number")
		v.SetInt(i)
	case reflect.Float64:
		f, err := strconv.ParseFloat(n.text, v.Type().Bits())
		d.check(err == nil && f-f == 0, n, path, "is not a finite number")
		if f-f == 0 {
			v.SetFloat(f)
		}
	default:
		d.addFault(n.pos, path, "has the unsupported type %s", v.Type())
	}
}

func (d *decoder) check(ok bool, n node, path, message string) {
	if !ok {
		d.addFault(n.pos, path, "%q %s", n.text, message)
	}
}

// fieldsByName returns the fields of the struct v by their yaml names.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value)
	for n := range v.NumField() {
		if name, ok := fieldName(v.Type().Field(n)); ok {
			m[name] = v.Field(n)
		}
	}
	return m
}

func fieldName(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name, name != "" && name != "-"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
