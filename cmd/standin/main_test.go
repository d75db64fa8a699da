package main

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

func TestCommandLines(t *testing.T) {
	c := qt.New(t)
	lines := []string{
		"platform --listen 127.0.0.1:1 --write-rate 300 --read-rate 2000",
		"vms --listen 127.0.0.1:1 --lag 5s",
		"engine --listen 127.0.0.1:1 --endpoint e1 --versions m@1 m@2 --quality m@1=0.9 m@2=0.5 --weights 127.0.0.1:2",
		"service --listen 127.0.0.1:1 --endpoint s1 --slots 4 --cold-slots 1 --service-time 5ms",
		"rating --listen 127.0.0.1:1 --noise 0.2 --flip 0.05 --lag 1s",
		"weights --listen 127.0.0.1:1 --rate 0.5 --time 1s --size 10",
		"link --listen 127.0.0.1:1 --to 127.0.0.1:2 --control 127.0.0.1:3",
	}
	for _, l := range lines {
		var cs commands
		p := newParser(&cs)
		c.Assert(p.Parse(strings.Fields(l)), qt.IsNil, qt.Commentf("%s", l))
		_, ok := p.Subcommand().(runner)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", l))
	}
}

func TestEngineSettings(t *testing.T) {
	c := qt.New(t)
	c.Setenv("FESCUELATCH_STANDIN_COLD_START", "3s")
	var cs commands
	line := "engine --listen 127.0.0.1:1 --versions m@1 m@2 --quality m@1=0.9 m@2=0.5 --ignore-fencing"
	c.Assert(newParser(&cs).Parse(strings.Fields(line)), qt.IsNil)
	c.Assert(cs.Engine.Versions, qt.DeepEquals, []fescuelatch.VersionID{"m@1", "m@2"})
	c.Assert(cs.Engine.Quality, qt.DeepEquals, map[fescuelatch.VersionID]float64{"m@1": 0.9, "m@2": 0.5})
	c.Assert(cs.Engine.ColdStart, qt.Equals, 3*time.Second)
	c.Assert(cs.Engine.IgnoreFencing, qt.IsTrue)
}
