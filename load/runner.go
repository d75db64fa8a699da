package load

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/caller"
)

// This file defines runners, which send the calls of a plan on schedule.

const (
	maxInFlight     = 4096
	maxTargetTries  = 3
	healthInterval  = 500 * time.Millisecond
	healthTimeout   = 2 * time.Second
	dialTimeout     = time.Second
	answerGrace     = 5 * time.Second // beyond the caller's own timeout
	idleConnections = 256
)

// Target is a caller address. If Health is valid, the target receives new
// calls only while GET /ready there returns 200, as behind a load balancer.
type Target struct {
	Caller netip.AddrPort
	Health netip.AddrPort
}

// Runner sends calls. Each Runner serves a single run.
type Runner struct {
	Targets []Target
	// Keys holds the bearer key of each account.
	Keys map[fescuelatch.AccountID]string
	// OnRecord, if set, is called at the end of each call, never concurrently.
	OnRecord func(*Record)

	client   *http.Client
	start    time.Time
	mu       sync.Mutex
	sessions map[string]string // tokens by plain session identifier
	down     map[netip.AddrPort]bool
	records  []Record
	summary  *Summary
}

// Run sends the calls and returns their summary and all records, in the order
// in which the calls ended. Calls that are not yet due when ctx ends are not
// sent.
func (u *Runner) Run(ctx context.Context, calls []Call) ([]Record, *Summary) {
	u.client = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}}
	u.sessions = make(map[string]string)
	u.down = make(map[netip.AddrPort]bool)
	u.summary = NewSummary()
	u.start = time.Now()
	healthCtx, stop := context.WithCancel(ctx)
	var health sync.WaitGroup
	health.Go(func() { u.watchHealth(healthCtx) })
	u.sendAll(ctx, calls)
	stop()
	health.Wait()
	u.client.CloseIdleConnections()
	return u.records, u.summary
}

// sendAll sends each call at its time and waits for all answers.
func (u *Runner) sendAll(ctx context.Context, calls []Call) {
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range calls {
		c := &calls[n]
		if !sleepUntil(ctx, u.start.Add(c.At)) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			u.addRecord(&Record{Call: *c, Sent: time.Now(), Message: "too many calls in flight; not sent"})
			continue
		}
		wg.Go(func() {
			u.addRecord(u.send(context.WithoutCancel(ctx), c))
			<-slots
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// send makes one call. Like a load balancer, it skips targets that refuse the
// connection; it never resends a request.
func (u *Runner) send(ctx context.Context, c *Call) *Record {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+answerGrace)
	defer cancel()
	r := &Record{Call: *c, Sent: time.Now(), SessionSent: u.session(c)}
	resp, err := u.dispatch(ctx, r)
	if err != nil {
		r.Ended = time.Now()
		r.Total = r.Ended.Sub(r.Sent)
		r.Message = err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	receive(r, resp, func(gap time.Duration) { u.addGap(r, gap) })
	u.storeToken(c, resp.Header.Get(caller.HeaderSession))
	return r
}

func (u *Runner) dispatch(ctx context.Context, r *Record) (*http.Response, error) {
	var err error
	for n := range maxTargetTries {
		t := u.target(r.Choice + n)
		var req *http.Request
		req, err = newRequest(ctx, &r.Call, t.Caller.String(), u.Keys[r.Account], r.SessionSent)
		if err != nil {
			return nil, err
		}
		var resp *http.Response
		resp, err = u.client.Do(req)
		if err == nil || !isDialError(err) {
			r.Target = t.Caller.String()
			return resp, err
		}
	}
	return nil, &Error{"send", KindUnreachable, err}
}

// isDialError reports whether err occurred before any byte was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// target returns target n modulo the number of available targets. If none is
// available, it uses all.
func (u *Runner) target(n int) Target {
	u.mu.Lock()
	defer u.mu.Unlock()
	var up []Target
	for _, t := range u.Targets {
		if !u.down[t.Caller] {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		up = u.Targets
	}
	return up[n%len(up)]
}

func (u *Runner) session(c *Call) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t, ok := u.sessions[c.Session]; ok && c.KeepsToken {
		return t
	}
	return c.Session
}

// storeToken stores the latest token of a session.
func (u *Runner) storeToken(c *Call, token string) {
	if c.Session == "" || token == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sessions[c.Session] = token
}

func (u *Runner) addGap(r *Record, gap time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.First > 0 {
		u.summary.addGap(gap)
	}
}

func (u *Runner) addRecord(r *Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.records = append(u.records, *r)
	u.summary.Add(r)
	if u.OnRecord != nil {
		u.OnRecord(r)
	}
}

// watchHealth polls the health of each target until ctx ends.
func (u *Runner) watchHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		var wg sync.WaitGroup
		for _, a := range u.Targets {
			if a.Health.IsValid() {
				wg.Go(func() { u.setDown(a.Caller, !ready(ctx, client, a.Health)) })
			}
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (u *Runner) setDown(a netip.AddrPort, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down[a] = down
}

func ready(ctx context.Context, c *http.Client, a netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
