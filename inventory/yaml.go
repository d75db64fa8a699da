package inventory

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// This file reads YAML files. A file is one mapping from names of lists to
// entries. Anchors, aliases, tags and merge keys are rejected, so that each
// entry is written out in full.

func parseYAML(file string, data []byte) *document {
	d := &document{file: file}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.abort(yamlErrorPosition(file, err), yamlErrorMessage(err))
		return d
	}
	for _, p := range f.Docs {
		d.readBody(p.Body)
	}
	return d
}

func (d *document) readBody(body ast.Node) {
	if body == nil || body.Type() == ast.NullType || body.Type() == ast.CommentType {
		return
	}
	n := d.convert(body)
	if n.kind != nodeMap {
		d.abort(n.pos, "the file is not a mapping from names of lists to entries")
		return
	}
	d.lists = append(d.lists, n.fields...)
}

func (d *document) convert(n ast.Node) node {
	p := d.position(n.GetToken())
	switch n := n.(type) {
	case *ast.MappingNode:
		return d.convertMap(p, n.Values)
	case *ast.MappingValueNode:
		return d.convertMap(d.position(n.Key.GetToken()), []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		out := node{kind: nodeList, pos: p}
		for _, v := range n.Values {
			out.items = append(out.items, d.convert(v))
		}
		return out
	case *ast.NullNode:
		return node{kind: nodeNull, pos: p}
	case *ast.LiteralNode:
		return node{kind: nodeScalar, pos: p, text: strings.TrimSpace(n.Value.Value)}
	case *ast.StringNode:
		return node{kind: nodeScalar, pos: p, text: n.Value}
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node{kind: nodeScalar, pos: p, text: n.GetToken().Value}
	default:
		d.incomplete = true
		d.addFault(p, "", fmt.Sprintf("%s is not supported", strings.ToLower(n.Type().String())))
		return node{kind: nodeNull, pos: p}
	}
}

func (d *document) convertMap(p Position, values []*ast.MappingValueNode) node {
	out := node{kind: nodeMap, pos: p}
	if len(values) > 0 {
		out.pos = d.position(values[0].Key.GetToken())
	}
	for _, v := range values {
		if v.Key.IsMergeKey() {
			d.incomplete = true
			d.addFault(d.position(v.Key.GetToken()), "", "merge keys are not supported")
			continue
		}
		out.fields = append(out.fields, nodeField{
			name:  v.Key.GetToken().Value,
			pos:   d.position(v.Key.GetToken()),
			value: d.convert(v.Value),
		})
	}
	return out
}

func (d *document) position(t *token.Token) Position { return yamlPosition(d.file, t) }

func yamlPosition(file string, t *token.Token) Position {
	if t == nil || t.Position == nil {
		return Position{File: file}
	}
	return Position{File: file, Line: t.Position.Line, Column: t.Position.Column}
}

func yamlErrorPosition(file string, err error) Position {
	var y yaml.Error
	if errors.As(err, &y) {
		return yamlPosition(file, y.GetToken())
	}
	return Position{File: file}
}

func yamlErrorMessage(err error) string {
	var y yaml.Error
	if errors.As(err, &y) {
		return y.GetMessage()
	}
	return err.Error()
}
