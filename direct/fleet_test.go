package direct_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file defines several daemons on one platform, and loads, for tests.

// fleet is several daemons on one platform.
type fleet struct {
	*site
	callers []netip.AddrPort
	stops   []func() // ends a daemon
}

func newFleet(t *testing.T, service string, daemons, endpoints int) *fleet {
	s := newSite(t, service, endpoints)
	f := &fleet{site: s}
	for n := range daemons {
		if n > 0 {
			s.startDaemon(t, fmt.Sprintf("vm-%d", n+1))
		}
		s.awaitReady()
		stop, stopped := s.stop, s.stopped
		f.callers = append(f.callers, s.callers)
		f.stops = append(f.stops, func() {
			stop()
			<-stopped
		})
	}
	return f
}

// useLast directs the calls to the daemon that was started last.
func (f *fleet) useLast() { f.callers = []netip.AddrPort{f.site.callers} }

// load is a steady rate of calls. The first daemon gets busiestShare of them, and the
// rest are spread evenly over all daemons.
type load struct {
	perSecond    float64
	busiestShare float64
	method, host string
	path, body   string
	// unlike reports that each call asks for something else.
	unlike bool
	// header returns names and values of the header of a call.
	header func() []string
}

// lookups is a load of calls that may be repeated.
func lookups(perSecond, busiestShare float64) load {
	return load{
		perSecond: perSecond, busiestShare: busiestShare, method: http.MethodGet, host: "desk.example", path: "/look/",
		header: func() []string { return nil },
	}
}

// play sends calls for a time and returns how many were answered.
func (f *fleet) play(l load, during time.Duration) (sent, answered int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	interval := time.Duration(float64(time.Second) / l.perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(during); time.Now().Before(end); sent++ {
		<-ticker.C
		to := f.callers[0]
		if rand.Float64() >= l.busiestShare {
			to = f.callers[rand.IntN(len(f.callers))]
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			id := fmt.Sprintf("%x", rand.Uint64())
			path := l.path
			if l.unlike {
				path += "?call=" + id
			}
			q, err := fakeplatform.NewCall(ctx, to, l.method, l.host, path, id, callerKey, 3*time.Second)
			f.Check(err, qt.IsNil)
			if l.body != "" {
				q.Body, q.ContentLength = io.NopCloser(strings.NewReader(l.body)), int64(len(l.body))
			}
			header := l.header()
			for i := 0; i+1 < len(header); i += 2 {
				q.Header.Set(header[i], header[i+1])
			}
			res, err := client.Do(q)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if err == nil && res.StatusCode == http.StatusOK {
				answered++
			}
		})
	}
	calls.Wait()
	return sent, answered
}
