package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines a small deployment: the stand-in of the store, daemons as separate processes,
// and the record of what was seen.

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 1200 * time.Millisecond

// site is a deployment on loopback addresses.
type site struct {
	store   *fakeplatform.Store
	dir     string
	daemons []*daemon
	workers []*worker
	began   time.Time
	// storeAddress is where the next daemon reaches the store, if not at its own address.
	storeAddress netip.AddrPort

	mu     sync.Mutex
	record *os.File
	closed bool
}

// daemon is a process of the system.
type daemon struct {
	name                  string
	front, ready, control netip.AddrPort
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

func newSite(recordFile string) (*site, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &site{store: fakeplatform.NewStore(), dir: dir, began: time.Now(), record: f}, nil
}

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (s *site) close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	for _, w := range s.workers {
		w.kill()
	}
	for _, d := range s.daemons {
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
	s.store.Close()
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// loopback returns a random loopback address. Each daemon has its own, as the port of its metrics
// is fixed.
func loopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(32 + rand.IntN(190)), byte(rand.IntN(250)), byte(2 + rand.IntN(240))})
}

// freePort returns an address with a free port.
func freePort(at netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(at, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

const settings = `node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "eu-dublin"
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[zones]
dub-a = "eu-dublin"
dub-b = "eu-dublin"
[listen]
frontend = %q
ready = %q
control_plane = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
retry_budget_extra = 56
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
cold_factor = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
event_latency_ms = 120
session_s = 5
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// addDaemon prepares a daemon; start starts it.
func (s *site) addDaemon(name, zone string) (*daemon, error) {
	ip := loopback()
	d := &daemon{name: name}
	for _, a := range []*netip.AddrPort{&d.front, &d.ready, &d.control} {
		var err error
		if *a, err = freePort(ip); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for _, o := range s.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", o.control))
	}
	text := fmt.Sprintf(settings, name, ip, zone, strings.Join(seeds[:min(len(seeds), 3)], ","), d.front, d.ready, d.control, s.storeFor())
	if err := os.WriteFile(s.settingsOf(name), []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, s.start(d)
}

// storeFor returns where the next daemon reaches the store.
func (s *site) storeFor() netip.AddrPort {
	if s.storeAddress.IsValid() {
		return s.storeAddress
	}
	return s.store.Address()
}

func (s *site) settingsOf(name string) string { return filepath.Join(s.dir, name+".toml") }

// start starts a daemon with the command of the deploy file.
func (s *site) start(d *daemon) error {
	out, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/fescuelatchd", "direct")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C.UTF-8", "FESCUELATCH_NODE_FILE=" + s.settingsOf(d.name)}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	d.ended = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	s.log("daemon %s starts: frontend %s, ready %s", d.name, d.front, d.ready)
	return nil
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady(within time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for _, d := range s.daemons {
		for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
			res, err := c.Get("http://" + d.ready.String() + "/v1/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					s.log("daemon %s is ready", d.name)
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready after %s", d.name, within)
			}
		}
	}
	return nil
}

// copyLogs keeps the logs of the daemons for a look at them, if LOGS names a folder.
func (s *site) copyLogs() {
	to := os.Getenv("LOGS")
	if to == "" {
		return
	}
	for _, d := range s.daemons {
		in, err := os.Open(filepath.Join(s.dir, d.name+".log"))
		if err != nil {
			continue
		}
		if out, err := os.Create(filepath.Join(to, d.name+".log")); err == nil {
			_, _ = io.Copy(out, in)
			_ = out.Close()
		}
		_ = in.Close()
	}
}
