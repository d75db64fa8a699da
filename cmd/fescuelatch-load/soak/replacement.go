package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fescuelatch/internal/process"
)

// This file defines how daemons are replaced by daemons of another build, one after the
// other, and back.

const (
	// minReplacementInterval and maxReplacementInterval bound the time between the starts of
	// two replacements.
	minReplacementInterval = 300 * time.Millisecond
	maxReplacementInterval = 2 * time.Second
	// maxDowntime bounds the time until a replaced daemon starts.
	maxDowntime = 500 * time.Millisecond
	// buildsStream is the random stream of the builds at the start.
	buildsStream = 3
)

// build is a build of the daemon.
type build struct {
	program string
	earlier bool
}

// String describes the build in violations.
func (b build) String() string {
	if b.earlier {
		return " (earlier build)"
	}
	return ""
}

// current returns the daemon's process and its build.
func (d *daemon) current() (*process.Process, build) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.build
}

// String names the daemon and its build in violations.
func (d *daemon) String() string {
	_, b := d.current()
	return d.VM + b.String()
}

// setNextBuild sets the build of later processes.
func (d *daemon) setNextBuild(b build) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = b
}

// current and earlier return the builds of a soak. They are the same without an earlier
// program.
func (s *soak) current() build { return build{program: s.Program} }

func (s *soak) earlier() build {
	if s.EarlierProgram == "" {
		return s.current()
	}
	return build{s.EarlierProgram, true}
}

// drawBuilds draws the builds with which n daemons start: only the earlier one or both.
func (s *soak) drawBuilds(n int) []build {
	random := rand.New(rand.NewPCG(s.Seed, buildsStream))
	all := make([]build, n)
	mixed := random.IntN(2) == 0
	for i := range all {
		all[i] = s.earlier()
		if mixed && random.IntN(2) == 0 {
			all[i] = s.current()
		}
	}
	return all
}

// replacements draws which daemon is replaced next, how, and by which build.
type replacements struct {
	s      *soak
	random *rand.Rand
	next   int
	to     build
}

// replaceDaemons replaces daemons until ctx ends.
func (s *soak) replaceDaemons(ctx context.Context, random *rand.Rand) {
	s.injectFaults(ctx, newReplacements(s, random).draw)
}

func newReplacements(s *soak, random *rand.Rand) *replacements {
	return &replacements{s: s, random: random, to: s.current()}
}

// draw returns the replacement of the next daemon. After all of them, and sometimes sooner,
// the daemons are replaced by the other build in the opposite order.
func (r *replacements) draw() drawnFault {
	wait := minReplacementInterval + time.Duration(r.random.Int64N(int64(maxReplacementInterval-minReplacementInterval)))
	down := time.Duration(r.random.Int64N(int64(maxDowntime)))
	way, kills := r.random.IntN(8), r.random.IntN(4) == 0
	if r.next == len(r.s.daemons) || r.next > 0 && way == 0 {
		if r.to == r.s.current() {
			r.to = r.s.earlier()
		} else {
			r.to = r.s.current()
		}
		r.next = 0
	}
	d, to := r.s.daemons[r.next], r.to
	if to.earlier {
		d = r.s.daemons[len(r.s.daemons)-1-r.next]
	}
	r.next++
	end, verb := d.stop, "stop"
	if kills {
		end, verb = d.kill, "kill"
	}
	f := fault{fmt.Sprintf("%s %s and start it%s again", verb, d.VM, to), false, func() {
		d.setNextBuild(to)
		end()
	}, func() {
		if err := d.start(); err != nil {
			r.s.addViolation("%s failed to start: %v", d, err)
		}
	}}
	return drawnFault{f, wait, down}
}
