package inventory_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"fescuelatch/inventory"
)

// file is one file of a test's directory.
type file struct {
	name string
	text string
}

// write stores files in a new directory and returns its path.
func write(t *testing.T, files []file) string {
	t.Helper()
	dir := t.TempDir()
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.name), []byte(f.text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// faultLines returns the faults of err with paths relative to dir.
func faultLines(c *qt.C, dir string, err error) []string {
	c.Helper()
	var e *inventory.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(e.Kind, qt.Equals, inventory.KindFaults)
	var lines []string
	for _, f := range e.Faults {
		lines = append(lines, strings.ReplaceAll(f.String(), dir+string(filepath.Separator), ""))
	}
	return lines
}

const validInventory = `failure-domains:
  - {id: kgl-a, region: rw-central}
models:
  - id: triage
versions:
  - {id: "triage@1", model: triage, quality: 0.8, prompt-cost: 1, output-cost: 2, weight: 1}
pools:
  - {id: workers, versions: ["triage@1"], slots: 4, cold-slots: 1}
endpoints:
  - {id: w1, pool: workers, failure-domain: kgl-a, address: "127.0.0.1:7400"}
`

func TestReadFaults(t *testing.T) {
	tests := []struct {
		name  string
		files []file
		want  []string
	}{
		{"syntax", []file{{"a.yaml", "models:\n  - id: [\n"}}, []string{
			`a.yaml:2:9: sequence end token ']' not found`,
		}},
		{"duplicate key", []file{{"a.yaml", "models:\n  - id: a\n    id: b\n"}}, []string{
			`a.yaml:3:5: mapping key "id" already defined at [2:5]`,
		}},
		{"not a mapping", []file{{"a.yaml", "- a\n- b\n"}}, []string{
			`a.yaml:1:1: the file is not a mapping from names of lists to entries`,
		}},
		{"unknown list and field", []file{{"a.yaml", "modells: []\nmodels:\n  - id: triage\n    size: 3\n"}}, []string{
			`a.yaml:1:1: modells: unknown list`,
			`a.yaml:4:5: models[triage].size: unknown field`,
		}},
		{"overrides", []file{{"a.yaml", "overrides:\n  withdrawn: [a]\n"}}, []string{
			`a.yaml:1:1: overrides: overrides are set by commands and do not stand in files`,
		}},
		{"wrong types", []file{{"a.yaml", strings.NewReplacer("slots: 4", "slots: many", "0.8", ".nan", `"127.0.0.1:7400"`, "here").Replace(validInventory)}}, []string{
			`a.yaml:6:46: versions[triage@1].quality: ".nan" is not a finite number`,
			`a.yaml:8:50: pools[workers].slots: "many" is not a whole number`,
			`a.yaml:8:68: pools[workers].cold-slots: must be within 1 to slots`,
			`a.yaml:10:61: endpoints[w1].address: not an ip:port`,
		}},
		{"references", []file{{"a.yaml", strings.NewReplacer("pool: workers", "pool: worker", "model: triage,", "model: review,").Replace(validInventory)}}, []string{
			`a.yaml:6:29: versions[triage@1].model: unknown model "review"`,
			`a.yaml:10:20: endpoints[w1].pool: unknown pool "worker"`,
		}},
		{"element of a list", []file{{"a.yaml", strings.Replace(validInventory, `["triage@1"]`, `["triage@1", "triage@2"]`, 1)}}, []string{
			`a.yaml:8:42: pools[workers].versions[1]: unknown version "triage@2"`,
		}},
		{"missing field", []file{{"a.yaml", strings.Replace(validInventory, `, address: "127.0.0.1:7400"`, "", 1)}}, []string{
			`a.yaml:10:6: endpoints[w1].address: missing`,
		}},
		{"anchor", []file{{"a.yaml", "models: &m\n  - id: triage\n"}}, []string{
			`a.yaml:1:9: anchor is not supported`,
		}},
		{"merge key", []file{{"a.yaml", "models:\n  - <<: {id: x}\n"}}, []string{
			`a.yaml:2:5: merge keys are not supported`,
		}},
		{"scalar for a list", []file{{"a.yaml", "models: triage\n"}}, []string{
			`a.yaml:1:9: models: is not a list`,
		}},
		{"twice in two files", []file{{"a.yaml", "models:\n  - id: triage\n"}, {"models.csv", "id\ntriage\n"}}, []string{
			`models.csv:2:1: models[triage].id: model "triage" stands twice`,
		}},
		{"csv cells", []file{{"a.yaml", validInventory}, {"endpoints.csv", "id,pool,failure-domain,address\nw2,workers,kgl-b,127.0.0.1:7401\nw3,workers,kgl-a\nw4,workers,kgl-a,7400\n"}}, []string{
			`endpoints.csv:2:12: endpoints[w2].failure-domain: unknown failure domain "kgl-b"`,
			`endpoints.csv:3:1: the row has 3 cells, the header 4`,
			`endpoints.csv:3:1: endpoints[w3].address: missing`,
			`endpoints.csv:4:18: endpoints[w4].address: not an ip:port`,
		}},
		{"csv columns", []file{{"models.csv", "id,,size\ntriage,1,2\n"}}, []string{
			`models.csv:1:4: a column has no name`,
			`models.csv:2:10: models[triage].size: unknown field`,
		}},
		{"csv list in a cell", []file{{"a.yaml", validInventory}, {"pools.csv", "id,versions,slots,cold-slots\nmore,triage@1 triage@9,2,1\n"}}, []string{
			`pools.csv:2:6: pools[more].versions[1]: unknown version "triage@9"`,
		}},
		{"csv mapping", []file{{"services.csv", "id,operations\ndesk,ban\n"}}, []string{
			`services.csv:2:6: services[desk].operations: cannot stand in a cell, write it in YAML`,
		}},
		{"csv quote", []file{{"models.csv", "id\n\"tri\"age\n"}}, []string{
			`models.csv:2:5: extraneous or missing " in quoted-field`,
		}},
		{"csv empty", []file{{"models.csv", ""}}, []string{
			`models.csv: the file has no header row`,
		}},
		{"not UTF-8", []file{{"models.csv", "id\na\xffb\n"}}, []string{
			`models.csv:2: the text is not UTF-8`,
		}},
		{"csv line break in a cell", []file{{"failure-domains.csv", "id,region\nkgl-a,\"rw\ncentral\"\n"}}, []string{
			`failure-domains.csv:2:7: failure-domains[kgl-a].region: has a control character, such as a line break`,
		}},
		{"csv unknown list", []file{{"machines.csv", "id\na\n"}}, []string{
			`machines.csv:1: machines: unknown list`,
		}},
		{"no references after a syntax fault", []file{{"a.yaml", strings.Replace(validInventory, "models:\n  - id: triage\n", "", 1)}, {"b.yaml", "models: [\n"}}, []string{
			`b.yaml:1:9: sequence end token ']' not found`,
		}},
		{"account", []file{{"rules.yaml", "accounts:\n  - id: press\n    key-hashes: [abc]\n    models: [triage]\n    share: -1\n"}}, []string{
			`rules.yaml:3:18: accounts[press].key-hashes[0]: is not a hexadecimal SHA-256`,
			`rules.yaml:4:14: accounts[press].models[0]: unknown model "triage"`,
			`rules.yaml:5:12: accounts[press].share: is negative`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			dir := write(t, tt.files)
			_, err := inventory.Read(dir)
			c.Assert(faultLines(c, dir, err), qt.DeepEquals, tt.want)
		})
	}
}

func TestReadErrors(t *testing.T) {
	empty := t.TempDir()
	tests := []struct {
		name string
		path string
		want string
	}{
		{"missing", filepath.Join(empty, "none.yaml"), `.*no such file or directory`},
		{"empty directory", empty, `.*no .yaml, .yml or .csv file given`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := inventory.Read(tt.path)
			c.Assert(err, qt.ErrorMatches, tt.want)
			var e *inventory.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e.Kind, qt.Equals, inventory.KindRead)
		})
	}
}

// The same inventory in YAML and in CSV yields the same configuration, in any
// order of entries.
func TestReadFormatsAgree(t *testing.T) {
	c := qt.New(t)
	yaml := write(t, []file{{"all.yaml", validInventory}})
	mixed := write(t, []file{
		{"failure-domains.csv", "\ufeffid,region\nkgl-a,rw-central\n"},
		{"models.yaml", "models: [{id: triage}]\n"},
		{"versions.csv", "weight,model, id ,quality,prompt-cost,output-cost\n1,triage, triage@1 ,0.8,1,2\n"},
		{"pools.csv", "id,versions,service,slots,cold-slots,fenced\nworkers,triage@1,,4,1,\n"},
		{"endpoints.csv", "# from the register\nid,pool,failure-domain,address\nw1,workers,kgl-a,127.0.0.1:7400\n"},
	})
	a, err := inventory.Read(yaml)
	c.Assert(err, qt.IsNil)
	b, err := inventory.Read(mixed)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
}
