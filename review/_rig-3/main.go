// Command _rig-3 plays the scripted cases of the third review. It starts the system's own daemons,
// and stand-ins of the platform's store, workers and clients, and judges what clients and workers
// have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest bounds the time of a case.
const longest = 110 * time.Second

// cases holds the function of each case. It returns an exit code, or why the case could not run.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"spoiled": spoiled, "taken-away": takenAway, "failing": failing, "limit": limit, "names": names,
}

// The children of the main thread end with it, also if it is killed.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := workerMain(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _rig-3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
			s.log("the case has taken too long")
		}
		s.close()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, trouble %t", name, trouble)
	code, err := cases[name](s, trouble)
	if err != nil {
		s.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.copyLogs()
	s.log("exit code %d", code)
	fmt.Println(name, "exit code", code)
	return code
}
