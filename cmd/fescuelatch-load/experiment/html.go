package experiment

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"

	"github.com/pkg/errors"
)

// This file renders reports as HTML.

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"number": number}).Parse(reportHTML))

// number formats a measure.
func number(v float64) string {
	switch {
	case v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// WriteHTML writes r as a page that shows the plots in its directory.
func (r *Report) WriteHTML(w io.Writer) error {
	return errors.WithStack(reportTemplate.Execute(w, r))
}
