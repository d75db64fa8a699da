// Command rig runs the scripts of the review. It starts the daemons of the deploy file as
// processes on loopback addresses, with stand-ins of the platform's store, the workers, the
// operator and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is what a case works with.
type rig struct {
	dir     string // temporary
	record  *record
	store   *store
	daemons []*daemon
	trouble bool
}

var cases = map[string]func(*rig) (broken bool, err error){
	"silence": runSilence,
	"cut":     runCut,
	"deadly":  runDeadly,
	"revoked": runRevoked,
	"slashes": runSlashes,
}

// most bounds a run.
const most = 115 * time.Second

func main() { os.Exit(run0()) }

func run0() int {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		return runUnframedWorker(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &rig{dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, trouble %v", os.Args[1], r.trouble)
	defer r.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- result{broken, err}
	}()
	select {
	case e := <-done:
		switch {
		case e.err != nil:
			rec.add("the case could not run: %v", e.err)
			fmt.Fprintln(os.Stderr, e.err)
			return exitNotRun
		case e.broken:
			rec.add("the rule was broken")
			fmt.Println("the rule was broken")
			return exitBroken
		}
		rec.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case <-time.After(most):
		rec.add("the case took too long")
		return exitNotRun
	}
}

// end ends all processes.
func (r *rig) end() {
	for _, d := range r.daemons {
		d.kill()
	}
	if r.store != nil {
		r.store.close()
	}
}

// zones are those of kgt-dublin.
var zones = []string{"dub-a", "dub-b", "dub-c"}

// begin starts the store with a configuration, and daemons, and waits until these are ready.
func (r *rig) begin(config map[string]any, workers func() error, daemons int) error {
	var err error
	if r.store, err = newStore("127.0.0.1"); err != nil {
		return err
	}
	r.store.put("op/config", config)
	if err := workers(); err != nil {
		return err
	}
	var ips []string
	for i := range daemons {
		ips = append(ips, fmt.Sprintf("127.10.%d.40", i+1))
	}
	if r.daemons, err = newDaemons(r.dir, r.store.address, zones, ips); err != nil {
		return err
	}
	for _, d := range r.daemons {
		if err := d.start(r.dir); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if !d.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready after 15 s", d.name)
		}
	}
	// All are in touch after stable_window_ms.
	time.Sleep(stableWindow + 500*time.Millisecond)
	return nil
}

const stableWindow = 3 * time.Second
