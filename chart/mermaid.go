package chart

import (
	"fmt"
	"strings"
)

// This file defines how a chart is drawn.

// Mermaid returns the chart as a state diagram in Mermaid's notation.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	for _, s := range c.states {
		fmt.Fprintf(&b, "    state %q as %s\n", string(s), mermaidID(s))
	}
	fmt.Fprintf(&b, "    [*] --> %s\n", mermaidID(c.Initial()))
	for _, t := range c.definition.Transitions {
		for _, s := range t.From {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", mermaidID(s), mermaidID(t.To), t.Event)
		}
	}
	for i, s := range c.states {
		if c.final[i] {
			fmt.Fprintf(&b, "    %s --> [*]\n", mermaidID(s))
		}
	}
	return b.String()
}

// mermaidID returns an identifier for s. Hyphens are not allowed there.
func mermaidID(s State) string { return "s_" + strings.ReplaceAll(string(s), "-", "_") }
