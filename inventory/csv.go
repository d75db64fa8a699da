package inventory

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// This file reads CSV files from an asset register. The file is named after
// its list, the header row names the fields, and each further row is an entry.
// The elements of a list in a cell are separated by spaces; an empty cell omits
// the field.

const byteOrderMark = "\ufeff"

func parseCSV(file, list string, data []byte) *document {
	d := &document{file: file}
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	r.Comment = '#'
	r.FieldsPerRecord = -1 // convertRow reports rows of a different length
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		d.abort(csvErrorPosition(file, err), csvErrorMessage(err))
		return d
	}
	header = trimCells(header)
	d.checkHeader(r, header)
	entries := node{kind: nodeList, pos: Position{File: file, Line: 1}}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.abort(csvErrorPosition(file, err), csvErrorMessage(err))
			break
		}
		entries.items = append(entries.items, d.convertRow(r, header, row))
	}
	d.lists = []nodeField{{name: list, pos: entries.pos, value: entries}}
	return d
}

func (d *document) checkHeader(r *csv.Reader, header []string) {
	for n, h := range header {
		if h == "" {
			d.addFault(d.cell(r, n), "", "a column has no name")
		}
	}
}

func (d *document) convertRow(r *csv.Reader, header, row []string) node {
	out := node{kind: nodeMap, pos: d.cell(r, 0)}
	if len(row) != len(header) {
		d.addFault(out.pos, "", fmt.Sprintf("the row has %d cells, the header %d", len(row), len(header)))
	}
	for n, t := range trimCells(row) {
		if n >= len(header) || header[n] == "" || t == "" {
			continue
		}
		p := d.cell(r, n)
		out.fields = append(out.fields, nodeField{
			name:  header[n],
			pos:   p,
			value: node{kind: nodeCell, pos: p, text: t},
		})
	}
	return out
}

// cell returns the position of cell n in the row that r read last.
func (d *document) cell(r *csv.Reader, n int) Position {
	line, column := r.FieldPos(n)
	return Position{File: d.file, Line: line, Column: column}
}

func trimCells(row []string) []string {
	out := make([]string, len(row))
	for n, s := range row {
		out[n] = strings.TrimSpace(s)
	}
	return out
}

func csvErrorPosition(file string, err error) Position {
	var p *csv.ParseError
	if errors.As(err, &p) {
		return Position{File: file, Line: p.Line, Column: p.Column}
	}
	return Position{File: file}
}

func csvErrorMessage(err error) string {
	var p *csv.ParseError
	switch {
	case errors.As(err, &p):
		return p.Err.Error()
	case errors.Is(err, io.EOF):
		return "the file has no header row"
	default:
		return err.Error()
	}
}
