package fleet

import "context"

// This file defines the start of a fleet in a test.

// TB is the part of testing.TB that StartTest needs.
type TB interface {
	Helper()
	Cleanup(f func())
	Fatalf(format string, args ...any)
	// ArtifactDir returns a directory that `go test -artifacts` keeps.
	ArtifactDir() string
}

// StartTest starts a fleet and closes it when the test ends, whether it
// passes or fails. If o.Dir is empty, the logs go to the test's artifacts.
func StartTest(tb TB, o Options) *Fleet {
	tb.Helper()
	if o.Dir == "" {
		o.Dir = tb.ArtifactDir()
	}
	f, err := Start(context.Background(), o)
	if err != nil {
		tb.Fatalf("start fleet: %v", err)
	}
	tb.Cleanup(f.Close)
	return f
}
