package main

import (
	"bufio"
	"encoding/json"
	"fmt"
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

// This file defines the rig: the record, the platform's store, and the processes of daemons and
// workers.

const (
	// heartbeat is heartbeat_ms of the settings; an entry is removed after lostBeats of silence.
	heartbeat = 1200 * time.Millisecond
	lostBeats = 3
	// readyTime bounds the start of the daemons.
	readyTime = 20 * time.Second
)

// rig holds what a case has started.
type rig struct {
	trouble bool
	zones   []string // of the deployment
	began   time.Time
	folder  string // for temporary files
	store   *fakeplatform.Store

	mu      sync.Mutex
	record  *os.File
	workers []*workerProcess
	daemons []*daemonProcess
	links   []*fakeplatform.Link
	closed  bool
	done    chan struct{}
}

func newRig(record string) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-rig-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", zones: []string{"dub-a", "dub-b", "dub-c"}, began: time.Now(), folder: folder, store: fakeplatform.NewStore(), record: f, done: make(chan struct{})}
	r.note("trouble: %v", r.trouble)
	go r.beat()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and the platform.
func (r *rig) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	workers, daemons, links := r.workers, r.daemons, r.links
	r.mu.Unlock()
	close(r.done)
	for _, d := range daemons {
		d.kill()
	}
	for _, w := range workers {
		w.kill()
	}
	for _, k := range links {
		k.Close()
	}
	r.store.Close()
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// beat writes the entries of the workers that are alive, and removes those of the others after
// lostBeats, until the rig is closed.
func (r *rig) beat() {
	for {
		r.mu.Lock()
		workers := r.workers
		r.mu.Unlock()
		for _, w := range workers {
			w.beat()
		}
		select {
		case <-time.After(heartbeat):
		case <-r.done:
			return
		}
	}
}

// workerProcess is a worker.
type workerProcess struct {
	rig               *rig
	id, service, zone string
	address           string
	born              int64
	command           *exec.Cmd

	mu       sync.Mutex
	state    string // "" once its entry is removed
	sequence int
	missed   int
	killed   bool
	told     []workerEvent
}

// startWorker starts a worker and registers it.
func (r *rig) startWorker(id, service, zone string, flags ...string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &workerProcess{rig: r, id: id, service: service, zone: zone, state: "ready", born: time.Now().UnixMilli()}
	w.command = exec.Command(self, append([]string{"worker", "--id", id}, flags...)...)
	w.command.Stderr = os.Stderr
	out, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s tells no address", id)
	}
	var first workerEvent
	if err := json.Unmarshal(lines.Bytes(), &first); err != nil {
		return nil, err
	}
	w.address = first.Address
	go w.listen(lines)
	r.mu.Lock()
	r.workers = append(append([]*workerProcess(nil), r.workers...), w)
	r.mu.Unlock()
	w.beat()
	r.note("worker %s of %s in %s listens at %s", id, service, zone, w.address)
	return w, nil
}

// startWorkers starts a worker of a service in each of the zones.
func (r *rig) startWorkers(service string, zones []string, flags ...string) ([]*workerProcess, error) {
	var workers []*workerProcess
	for n, zone := range zones {
		w, err := r.startWorker(fmt.Sprintf("i-%s-%d", service, n), service, zone, flags...)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// listen records what the worker tells.
func (w *workerProcess) listen(lines *bufio.Scanner) {
	for lines.Scan() {
		var e workerEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		w.mu.Lock()
		w.told = append(w.told, e)
		w.mu.Unlock()
		w.rig.note("worker %s: %s %s %s %s %s", w.id, e.Event, e.Call, e.Path, e.Model, e.Note)
	}
}

// events returns what the worker has told.
func (w *workerProcess) events() []workerEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]workerEvent(nil), w.told...)
}

// beat writes the worker's entry, or counts that it is missing.
func (w *workerProcess) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.state == "":
	case !w.killed:
		w.writeLocked()
	default:
		if w.missed++; w.missed >= lostBeats {
			w.state = ""
			w.rig.store.Delete("servers/" + w.id)
		}
	}
}

func (w *workerProcess) writeLocked() {
	w.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "capacity": 64, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.rig.store.Put("servers/"+w.id, string(b))
}

// drain tells the worker that it is to leave, and writes that it does.
func (w *workerProcess) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.command.Process.Signal(syscall.SIGTERM)
	w.state = "draining"
	w.writeLocked()
	w.rig.note("worker %s is draining", w.id)
}

// kill kills the worker's process.
func (w *workerProcess) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return
	}
	w.killed = true
	_ = w.command.Process.Kill()
	_ = w.command.Wait()
	w.rig.noteUnlessClosed("worker %s is killed", w.id)
}

// noteUnlessClosed writes a line to the record while the case runs.
func (r *rig) noteUnlessClosed(format string, args ...any) {
	select {
	case <-r.done:
	default:
		r.note(format, args...)
	}
}

// daemonProcess is a daemon, started with the command of the deploy file.
type daemonProcess struct {
	rig                      *rig
	name, zone               string
	frontend, ready, control string
	platform                 netip.AddrPort
	file                     string
	command                  *exec.Cmd
	// store and paths are the links to the store and to the workers, by their identifiers, if
	// the case has asked for them.
	store *fakeplatform.Link
	paths map[string]*fakeplatform.Link
}

// newDaemon returns a daemon with an address of its own, which has not been started.
func (r *rig) newDaemon(n int, zone string) (*daemonProcess, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 30+time.Now().UnixNano()/1000%60, 1+os.Getpid()%250, n+1)
	d := &daemonProcess{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, platform: r.store.Address()}
	for _, to := range []*string{&d.frontend, &d.ready, &d.control} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		*to = l.Addr().String()
	}
	d.file = filepath.Join(r.folder, d.name+".toml")
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	return d, nil
}

// newDaemons returns a daemon in each of the zones.
func (r *rig) newDaemons(zones []string) ([]*daemonProcess, error) {
	var daemons []*daemonProcess
	for n, zone := range zones {
		d, err := r.newDaemon(n, zone)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	return daemons, nil
}

// startAll starts daemons and waits until they are ready.
func (r *rig) startAll(daemons []*daemonProcess) error {
	for _, d := range daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// start starts the daemon's process.
func (d *daemonProcess) start() error {
	ip, _, _ := net.SplitHostPort(d.frontend)
	zones := strings.Join(d.rig.zones, " = \"eu-dublin\"\n") + " = \"eu-dublin\""
	settings := strings.NewReplacer("ZONES", zones, "NAME", d.name, "ZONE", d.zone, "IP", ip, "FRONTEND", d.frontend, "READY", d.ready,
		"CONTROL", d.control, "PLATFORM", d.platform.String()).Replace(settingsFile)
	if err := os.WriteFile(d.file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.rig.folder, d.name+".log"))
	if err != nil {
		return err
	}
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		if log, err = os.Create(filepath.Join(keep, d.name+".log")); err != nil {
			return err
		}
	}
	defer func() { _ = log.Close() }()
	d.command = exec.Command("target/fescuelatchd", "direct")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FESCUELATCH_NODE_FILE=" + d.file}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.rig.note("daemon %s in %s serves clients at %s", d.name, d.zone, d.frontend)
	return nil
}

// kill kills the daemon's process and waits for its end.
func (d *daemonProcess) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
}

// awaitReady waits until all daemons answer that they are ready.
func (r *rig) awaitReady() error {
	end := time.Now().Add(readyTime)
	for _, d := range r.daemons {
		for {
			res, err := http.Get("http://" + d.ready + "/v1/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s does not become ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all daemons are ready")
	return nil
}

// settingsFile is the settings file of a daemon, like that of a small deployment.
const settingsFile = `node_name = "NAME"
role = "router"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "IP"
zone = "ZONE"
region = "eu-dublin"
port_range = [7340, 7355]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]
[zones]
ZONES
[listen]
frontend = "FRONTEND"
ready = "READY"
control_plane = "CONTROL"
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
revoke_partitioned = false
revoke_ms = 5000
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
reuse_window_s = 9
session_s = 5
[platform]
address = "PLATFORM"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// mustParse parses an address that a process has told.
func mustParse(address string) netip.AddrPort { return netip.MustParseAddrPort(address) }
