package cost_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cmd/fescuelatch-load/cost"
)

// This file tests the slopes and the committed page.

var docs = filepath.Join("..", "..", "..", "docs")

func readResult(c *qt.C) (*cost.Result, string) {
	b, err := os.ReadFile(filepath.Join(docs, "capacity", "slopes.json"))
	c.Assert(err, qt.IsNil)
	r := new(cost.Result)
	c.Assert(json.Unmarshal(b, r), qt.IsNil)
	return r, string(b)
}

func TestCommittedSlopesMatchPoints(t *testing.T) {
	c := qt.New(t)
	r, text := readResult(c)
	r.Fit()
	b, err := json.MarshalIndent(r, "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b)+"\n", qt.Equals, text)
}

func TestPageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	r, _ := readResult(c)
	b, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	c.Assert(err, qt.IsNil)
	filled, err := r.Fill(string(b))
	c.Assert(err, qt.IsNil)
	c.Assert(filled, qt.Equals, string(b), qt.Commentf("run: fescuelatch-load capacity"))
}

func TestFillRequiresEveryTable(t *testing.T) {
	c := qt.New(t)
	r, _ := readResult(c)
	_, err := r.Fill("no tables")
	c.Assert(err, qt.ErrorMatches, "the page has no table points")
	_, err = r.Fill("<!-- table points -->\n")
	c.Assert(err, qt.ErrorMatches, "table points has no end")
}

func TestPlannedConfigurationsAreValid(t *testing.T) {
	c := qt.New(t)
	for _, s := range cost.Plan() {
		configuration := s.Configuration()
		configuration.Generation = 1
		_, err := fescuelatch.NewView(configuration)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", s))
	}
}

// TestFit fits points generated from known slopes and expects those slopes.
func TestFit(t *testing.T) {
	c := qt.New(t)
	const heartbeatBytes, versionBytes, reportBytes, memberBytes = 400, 60, 700, 1000
	r := &cost.Result{Settings: cost.Settings{Short: 10, Long: 110}}
	for n, s := range cost.Plan() {
		heartbeats := 2 * float64(s.Daemons-1)
		if s.Domains > 1 {
			heartbeats += 8
		}
		owned := float64(s.Endpoints) / float64(s.Daemons)
		p := cost.Point{Size: s}
		p.Idle = cost.Phase{
			Heartbeats: heartbeats / 2,
			Processor:  0.002 + 0.0001*heartbeats + 0.001*owned,
			Control: map[string]float64{
				"peer": heartbeats * (heartbeatBytes + versionBytes*float64(s.Versions)), "report": reportBytes * owned,
				"list": (100 + 10*float64(s.Domains*(s.Daemons+s.Endpoints))) / float64(s.Daemons),
			},
		}
		p.Idle.Control["platform"] = 200
		p.Loaded = p.Idle
		p.Loaded.Answered = 5
		p.Loaded.Processor = p.Idle.Processor + 5*(0.002+10*0.00001)
		p.Loaded.Resident = 1e7 + memberBytes*float64(s.Daemons)
		p.Loaded.Platform = map[string]float64{"txn": 0.1 * float64(s.Domains*s.Daemons)}
		if n == 0 {
			long := p.Loaded
			long.Processor = p.Idle.Processor + 5*(0.002+110*0.00001)
			p.Long = &long
		}
		r.Points = append(r.Points, p)
	}
	r.Fit()
	assertNear := func(got, want float64) {
		c.Assert(got/want > 0.999 && got/want < 1.001, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
	}
	s := r.Slopes
	assertNear(s.HeartbeatBytes, heartbeatBytes)
	assertNear(s.HeartbeatBytesPerVersion, versionBytes)
	assertNear(s.ReportBytes, reportBytes)
	assertNear(s.BusyReportBytes, reportBytes)
	assertNear(s.ListBytes, 100)
	assertNear(s.ListBytesPerVM, 10)
	assertNear(s.MemoryPerMember, memberBytes)
	assertNear(s.ProcessorPerEndpoint, 0.001)
	assertNear(s.ProcessorPerRequest, 0.002)
	assertNear(s.ProcessorPerToken, 0.00001)
	assertNear(s.BillInterval, 10)
	e := s.At(cost.LongTermTarget)
	assertNear(e.Members, 1100.0/21)
	assertNear(e.BillWrites, 110)
	assertNear(e.ReaderBytes, 100+10*4600)
	assertNear(e.FollowerBytes, 200*2/e.Members)
	assertNear(e.ListBytes, e.ReaderBytes*21/1100)
	assertNear(e.ControlBytes, e.HeartbeatBytes+e.LoadedBytes+e.CopyBytes+e.RatingBytes+e.ReportBytes+e.ListBytes+e.FollowerBytes)
	c.Assert(strings.Contains(r.Tables()["platform"], "| 110.0 |"), qt.IsTrue)
}
