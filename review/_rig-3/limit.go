package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// door is the address at which one daemon reaches the store, which can turn it away.
type door struct {
	address netip.AddrPort
	away    atomic.Bool
}

func (s *site) newDoor() (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &door{address: netip.MustParseAddrPort(l.Addr().String())}
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.store.Address().String()})
	p.FlushInterval = -1
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.away.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			p.ServeHTTP(w, r)
		}))
	}()
	return g, nil
}

// addDaemonAtDoor adds a daemon that reaches the store at an address of its own.
func (s *site) addDaemonAtDoor(name, zone string) (*door, error) {
	g, err := s.newDoor()
	if err != nil {
		return nil, err
	}
	s.storeAddress = g.address
	_, err = s.addDaemon(name, zone)
	return g, err
}

// limit: the store turns one machine away, and meanwhile a machine is added in its zone. Workers
// limit their rate.
func limit(s *site, trouble bool) (int, error) {
	const (
		perSecond    = 40  // that a worker takes
		offered      = 300 // requests a second that clients send to each daemon
		stableWindow = 3 * time.Second
		before       = 6 * time.Second
		awayTime     = 8 * time.Second
	)
	s.store.Put("op/config", configuration(3, 2000, `,
  {"name":"r-read","host":"ficu95.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"tracker","max_attempts":1,"public":false}`, "", ""))
	var workers []*worker
	for i := range 4 {
		w, err := s.addWorker(fmt.Sprintf("i-limited-%d", i), "tracker", "-quiet", "-limit", strconv.Itoa(perSecond))
		if err != nil {
			return failed, err
		}
		workers = append(workers, w)
	}
	turnedAway, err := s.addDaemonAtDoor("edge-0", "dub-a")
	if err != nil {
		return failed, err
	}
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := s.addDaemonAtDoor(name, "dub-b"); err != nil {
			return failed, err
		}
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, d := range s.daemons {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.offer(d, offered, stop)
		}()
	}
	time.Sleep(before)
	if trouble {
		s.log("the store turns edge-0 away")
		turnedAway.away.Store(true)
	}
	time.Sleep(500 * time.Millisecond)
	s.log("machine edge-3 is added in dub-a; no clients are sent there")
	if _, err := s.addDaemonAtDoor("edge-3", "dub-a"); err != nil {
		return failed, err
	}
	time.Sleep(awayTime - 500*time.Millisecond)
	if trouble {
		s.log("the store serves edge-0 again")
		turnedAway.away.Store(false)
	}
	close(stop)
	wait.Wait()
	code := held
	for _, w := range workers {
		at := w.arrivals()
		if len(at) == 0 {
			return failed, fmt.Errorf("worker %s got no requests", w.id)
		}
		first := at[0]
		late := slices.DeleteFunc(slices.Clone(at), func(t int64) bool { return t-first < stableWindow.Milliseconds() })
		most, from := busiest(late, 4*time.Second)
		allowed := 1.5*perSecond*4 + 5
		s.log("worker %s, which names a limit of %d a second: %d requests, at most %d in 4 s, from %.3f s after it first named it; %.0f are allowed",
			w.id, perSecond, len(at), most, float64(from-first)/1000, allowed)
		s.log("arrivals at %s, in ms after the first: %s", w.id, offsets(at))
		if float64(most) > allowed {
			s.log("LIMIT: worker %s got %d requests in 4 s", w.id, most)
			code = broken
		}
	}
	return code, nil
}

// busiest returns the largest number of times within a window, and its first one.
func busiest(at []int64, window time.Duration) (most int, from int64) {
	for i, j := 0, 0; j < len(at); j++ {
		for at[j]-at[i] > window.Milliseconds() {
			i++
		}
		if j-i+1 > most {
			most, from = j-i+1, at[i]
		}
	}
	return most, from
}

func offsets(at []int64) string {
	var b []byte
	for _, t := range at {
		b = strconv.AppendInt(b, t-at[0], 10)
		b = append(b, ' ')
	}
	return string(b)
}

// offer sends requests to a daemon at a rate, and records the answers of each second.
func (s *site) offer(d *daemon, perSecond int, stop <-chan struct{}) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}, Timeout: 2 * time.Second}
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	counts := make(map[int]int)
	var wait sync.WaitGroup
	defer wait.Wait()
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case <-stop:
			return
		case <-report.C:
			mu.Lock()
			s.log("clients of %s got, by status in the last second: %v", d.name, counts)
			clear(counts)
			mu.Unlock()
		case <-t.C:
			wait.Add(1)
			go func() {
				defer wait.Done()
				status := get(c, d)
				mu.Lock()
				counts[status]++
				mu.Unlock()
			}()
		}
	}
}

// get sends one request, and returns the status of its answer or 0.
func get(c *http.Client, d *daemon) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+d.front.String()+"/read/status", http.NoBody)
	if err != nil {
		return 0
	}
	setHeaders(q, newCall(), key, 2*time.Second)
	res, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
