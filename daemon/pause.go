package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuelatch"
)

// This file defines the detection of process pauses. The active configuration
// may have been superseded during a pause, so the daemon checks for a later one
// before it starts new work.

const (
	// pauseThreshold is the time without a tick that counts as a pause. What a
	// shorter pause misses arrives in time by heartbeat.
	pauseThreshold = 2 * time.Second
	// refreshTimeout bounds the check after a pause. A daemon that can reach no
	// one then continues with its current configuration.
	refreshTimeout = time.Second
)

// pauseDetector detects pauses of the process. Its zero value is ready to use.
type pauseDetector struct {
	mu   sync.Mutex
	last time.Time
	// pending is closed when the check after a pause has ended, and nil when
	// none is in progress.
	pending chan struct{}
}

// touch records that the process runs at now. After a pause it calls check
// once, in the background.
func (p *pauseDetector) touch(now time.Time, check func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := !p.last.IsZero() && now.Sub(p.last) > pauseThreshold
	if now.After(p.last) {
		p.last = now
	}
	if !paused || p.pending != nil {
		return
	}
	done := make(chan struct{})
	p.pending = done
	go func() {
		check()
		p.mu.Lock()
		p.pending = nil
		p.mu.Unlock()
		close(done)
	}()
}

// wait returns once no check is in progress, or when ctx ends.
func (p *pauseDetector) wait(ctx context.Context) {
	p.mu.Lock()
	pending := p.pending
	p.mu.Unlock()
	if pending == nil {
		return
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// touch records that the process runs.
func (d *Daemon) touch() { d.pauses.touch(time.Now(), d.refresh) }

// awaitRefresh waits for the configuration check if the process was paused.
func (d *Daemon) awaitRefresh(ctx context.Context) {
	d.touch()
	d.pauses.wait(ctx)
}

// refresh requests a later configuration from the platform, the daemons of the
// own failure domain and one daemon of each other failure domain. It stops
// early if the platform replies.
func (d *Daemon) refresh() {
	d.log.Info("process was paused; checking for a later configuration")
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	g := new(errgroup.Group)
	g.Go(func() error {
		if d.catchUp(ctx) {
			cancel()
		}
		return nil
	})
	for _, m := range append(d.members(), d.domainContacts()...) {
		g.Go(func() error { d.heartbeat(ctx, m); return nil })
	}
	_ = g.Wait()
}

// domainContacts returns an entry VM of each other failure domain.
func (d *Daemon) domainContacts() []fescuelatch.VM {
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
