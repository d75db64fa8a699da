package inventory

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// FuzzFiles reads arbitrary text as a YAML or a CSV file. Reading must not
// panic, every fault must name its file, and a valid configuration must be the
// same after a round trip.
func FuzzFiles(f *testing.F) {
	for _, e := range []string{"umurongo", "kestrelmoor"} {
		names, err := filepath.Glob("../examples/" + e + "/*")
		if err != nil || len(names) == 0 {
			f.Fatalf("no example files of %s: %v", e, err)
		}
		for _, n := range names {
			data, err := readFile(n)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(filepath.Base(n), data)
		}
	}
	f.Add("models.yaml", []byte("models: &a\n  - {id: *a}\n  - <<: {}\n"))
	f.Add("models.yaml", []byte("models:\n  - id: |\n      a\n  - ? b\n  : c\n---\nmodels:\n"))
	f.Add("models.yaml", []byte("models: [{id: !!str 3}, {id: 0x1f}, {id: ~}, {id: 2001-01-01}]\n"))
	f.Add("accounts.csv", []byte("id,key-hashes,share\n\"a\nb\",x y,1e400\n"))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		files := assemble([]*document{parse(name, data)})
		err := files.Check(&files.Configuration)
		if err != nil {
			checkFaults(t, name, err)
			return
		}
		checkRoundTrip(t, files)
	})
}

func checkFaults(t *testing.T, name string, err error) {
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindFaults || len(e.Faults) == 0 {
		t.Fatalf("error without faults: %v", err)
	}
	for _, ft := range e.Faults {
		if ft.File != name || ft.Message == "" {
			t.Fatalf("fault without file or message: %+v", ft)
		}
	}
}

func checkRoundTrip(t *testing.T, files *Files) {
	var b bytes.Buffer
	if err := WriteInventory(&b, &files.Configuration.Inventory); err != nil {
		t.Fatal(err)
	}
	if err := WriteRules(&b, &files.Configuration.Rules); err != nil {
		t.Fatal(err)
	}
	again := assemble([]*document{parse("written.yaml", b.Bytes())})
	if err := again.Check(&again.Configuration); err != nil {
		t.Fatalf("%v in\n%s", err, b.String())
	}
	if got, want := entriesText(again), entriesText(files); got != want {
		t.Fatalf("written:\n%s\ngot  %s\nwant %s", b.String(), got, want)
	}
}

// entriesText returns the entries of files. An empty list counts as omitted.
func entriesText(f *Files) string {
	var b strings.Builder
	for _, e := range f.Configuration.Entries() {
		b.WriteString(string(e.Kind) + " " + e.ID + " " + strings.ReplaceAll(string(e.Body), "[]", "null") + "\n")
	}
	return b.String()
}
