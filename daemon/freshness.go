package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuelatch"
)

// This file defines what a daemon does when it finds that its process was
// paused: what it has in force may have been superseded meanwhile, so it
// asks before it starts new work.

const (
	// pausedAfter is the time without a tick that counts as a pause. What a
	// shorter pause misses arrives in time by heartbeat.
	pausedAfter = 2 * time.Second
	// refreshTimeout bounds the questions after a pause. A daemon that can
	// reach nobody then goes on with what it has.
	refreshTimeout = time.Second
)

// freshness detects pauses of the process. Its zero value is ready to use.
type freshness struct {
	mu   sync.Mutex
	last time.Time
	// pending is closed when the check after a pause has ended, and nil when
	// none is under way.
	pending chan struct{}
}

// touch notes that the process runs at now. After a pause it calls check in
// the background, once.
func (f *freshness) touch(now time.Time, check func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := !f.last.IsZero() && now.Sub(f.last) > pausedAfter
	if now.After(f.last) {
		f.last = now
	}
	if !paused || f.pending != nil {
		return
	}
	done := make(chan struct{})
	f.pending = done
	go func() {
		check()
		f.mu.Lock()
		f.pending = nil
		f.mu.Unlock()
		close(done)
	}()
}

// wait returns once no check is under way, or when ctx ends.
func (f *freshness) wait(ctx context.Context) {
	f.mu.Lock()
	pending := f.pending
	f.mu.Unlock()
	if pending == nil {
		return
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// touch notes that the process runs.
func (d *Daemon) touch() { d.fresh.touch(time.Now(), d.refresh) }

// awaitFresh waits, after a pause of the process, until this daemon has asked
// for a later configuration.
func (d *Daemon) awaitFresh(ctx context.Context) {
	d.touch()
	d.fresh.wait(ctx)
}

// refresh asks the platform, the daemons of the own failure domain and one
// of each other for a later configuration. The platform's answer is enough.
func (d *Daemon) refresh() {
	d.log.Info("the process was paused")
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	g := new(errgroup.Group)
	g.Go(func() error {
		if d.catchUp(ctx) {
			cancel()
		}
		return nil
	})
	for _, m := range append(d.members(), d.contacts()...) {
		g.Go(func() error { d.heartbeat(ctx, m); return nil })
	}
	_ = g.Wait()
}

// contacts returns an entry VM of each other failure domain.
func (d *Daemon) contacts() []fescuelatch.VM {
	v := d.holder.View()
	if v == nil {
		return nil
	}
	var ms []fescuelatch.VM
	for _, id := range v.Domains() {
		if in := v.VMsIn(id); id != d.options.Domain && len(in) > 0 {
			ms = append(ms, in[rand.IntN(len(in))])
		}
	}
	return ms
}
