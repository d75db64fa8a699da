package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program and arguments are those of the deploy file.
var command = []string{"target/fescuelatchd", "direct"}

// daemon is a machine's process of the system.
type daemon struct {
	name, zone, ip                    string
	callers, ready, control, settings string
	process                           *exec.Cmd
	ended                             chan struct{}
	log                               *os.File
}

// newDaemons writes the settings of machines with addresses of their own.
func newDaemons(dir, storeAddress string, zones []string, ips []string) ([]*daemon, error) {
	var ds []*daemon
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)], ip: ip}
		for _, a := range []*string{&d.callers, &d.ready, &d.control} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
			if err != nil {
				return nil, err
			}
			*a = l.Addr().String()
			defer l.Close()
		}
		d.settings = filepath.Join(dir, d.name+".toml")
		ds = append(ds, d)
	}
	var seeds, domains []string
	for _, d := range ds[:min(3, len(ds))] {
		seeds = append(seeds, fmt.Sprintf("%q", d.control))
	}
	for _, z := range zones {
		domains = append(domains, z+" = \"eu-dublin\"")
	}
	for _, d := range ds {
		text := fmt.Sprintf(settingsText, d.name, d.ip, d.zone, strings.Join(seeds, ","), strings.Join(domains, "\n"), d.callers, d.ready, d.control, storeAddress)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return ds, nil
}

// settingsText holds the settings of kgt-dublin.
const settingsText = `node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "eu-dublin"
port_range = [7340,7355]
seeds = [%s]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[zones]
%s
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
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

func (d *daemon) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(command[0], command[1:]...)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FESCUELATCH_NODE_FILE=" + d.settings}
	p.Stdout, p.Stderr = log, log
	// It ends with this program, also if that is killed.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	d.process, d.ended, d.log = p, make(chan struct{}), log
	go func() {
		_ = p.Wait()
		close(d.ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.ended
	_ = d.log.Close()
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(most time.Duration) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := c.Get("http://" + d.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
