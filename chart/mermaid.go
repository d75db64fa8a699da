package chart

import (
	"fmt"
	"strings"
)

// This file renders a chart as a diagram.

// Mermaid returns the chart as a Mermaid state diagram.
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

// mermaidID returns a Mermaid identifier for s. Hyphens are not allowed in it.
func mermaidID(s State) string { return "s_" + strings.ReplaceAll(string(s), "-", "_") }
