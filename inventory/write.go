package inventory

import (
	"io"

	"github.com/goccy/go-yaml"

	"fescuelatch"
)

// This file writes configurations as YAML that Read accepts.

// WriteInventory writes the lists of an inventory as YAML.
func WriteInventory(w io.Writer, i *fescuelatch.Inventory) error { return writeYAML(w, i) }

// WriteRules writes the lists of rules as YAML.
func WriteRules(w io.Writer, r *fescuelatch.Rules) error { return writeYAML(w, r) }

func writeYAML(w io.Writer, v any) error {
	b, err := yaml.MarshalWithOptions(v, yaml.IndentSequence(true))
	if err == nil {
		_, err = w.Write(b)
	}
	if err != nil {
		return &Error{Op: "write YAML", Kind: KindWrite, Err: err}
	}
	return nil
}
