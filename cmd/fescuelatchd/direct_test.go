package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/direct"
	"fescuelatch/platform"
)

// This file tests the settings of a daemon on the users' platform.

const directSettings = `
node_name = "edge-1"
zone = "a"
[listen]
frontend = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
[limits]
memory_mb = MEMORY
[platform]
address = "127.0.0.1:8223"
`

func writeSettings(c *qt.C, memory string) {
	name := filepath.Join(c.TempDir(), "node.toml")
	c.Assert(os.WriteFile(name, []byte(strings.ReplaceAll(directSettings, "MEMORY", memory)), 0o600), qt.IsNil)
	c.Setenv(platform.SettingsVariable, name)
}

func TestDirectSettings(t *testing.T) {
	tests := []struct{ name, level, memory, fault string }{
		{"valid", "info", "100", ""},
		{"unknown level", "loud", "100", "settings: --log-level.*"},
		{"negative memory", "info", "-1", "parse settings: invalid: limits.memory_mb is negative"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			writeSettings(c, test.memory)
			d := directCommand{LogLevel: test.level, MetricsPort: 9464}
			err := d.read()
			if test.fault != "" {
				c.Check(err, qt.ErrorMatches, test.fault)
				return
			}
			c.Assert(err, qt.IsNil)
			o := d.options(slog.Default())
			c.Check(o.Metrics.String(), qt.Equals, "127.0.0.1:9464")
			c.Check(string(o.VM), qt.Equals, "edge-1")
		})
	}
}

// TestReload checks that a reload applies a changed memory limit and changed bounds, and that
// invalid settings change nothing.
func TestReload(t *testing.T) {
	c := qt.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	var lines bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	var applied []direct.DynamicSettings
	apply := func(s *platform.Settings) {
		setMemoryLimit(s)
		applied = append(applied, bounds(s))
	}
	writeSettings(c, "2000\n[bounds]\nretry_budget_ratio = 0.7\nexposure_share = 0.3\ngrace_s = 4\nconfig_apply_ms = 1500")
	reload(log, "signal", apply)
	c.Assert(applied, qt.HasLen, 1)
	c.Check(applied[0].Retries.Ratio, qt.Equals, 0.7)
	c.Check(applied[0].Rollout.Exposure, qt.Equals, 0.3)
	c.Check(applied[0].StopGrace, qt.Equals, 4*time.Second)
	c.Check(applied[0].ApplyTime, qt.Equals, 1500*time.Millisecond)
	limit := debug.SetMemoryLimit(-1)
	c.Check(limit, qt.Equals, int64(memoryLimitShare*2000*megabyte))
	writeSettings(c, "-5")
	reload(log, "file", apply)
	c.Check(applied, qt.HasLen, 1)
	c.Check(debug.SetMemoryLimit(-1), qt.Equals, limit)
	c.Check(strings.Contains(lines.String(), "keeping the previous settings"), qt.IsTrue)
}
