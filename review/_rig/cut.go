package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// wholeBody is the body of each answer of an unframed worker.
var wholeBody = strings.Repeat("award 41: report received. ", 30)

// runUnframedWorker is the process of a plain worker, whose answers have neither a length nor
// chunks and end with their connections. It says on its output when it has sent the first half
// of an answer, and sends the rest a moment later.
func runUnframedWorker(id, address string) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("error", err)
		return exitNotRun
	}
	fmt.Println("listening", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go func() {
			defer c.Close()
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			call := q.Header.Get("Fescuelatch-Attempt-Id")
			if want := q.Header.Get("Fescuelatch-Target-Instance"); want != id {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nFescuelatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return
			}
			fmt.Println("runs", call, q.URL.Path)
			closes := ""
			if q.Method == http.MethodGet {
				closes = "Connection: close\r\n"
			}
			half := len(wholeBody) / 2
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%sFescuelatch-Attempt-Id: %s\r\nFescuelatch-Response-Signature: sig-%s-%s\r\n\r\n%s",
				closes, call, id, call, wholeBody[:half])
			fmt.Println("half", call)
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(c, wholeBody[half:])
			fmt.Println("whole", call)
		}()
	}
}

// workerProcess is such a process and its registration.
type workerProcess struct {
	id, zone, address string
	process           *exec.Cmd
	said              chan string
	born              int64
	down              bool
}

func (k *workerProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	address := k.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	k.process = exec.Command(self, "worker", k.id, address)
	k.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := k.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := k.process.Start(); err != nil {
		return err
	}
	k.said = make(chan string, 100)
	lines := bufio.NewScanner(out)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "listening ") {
		return fmt.Errorf("worker %s says %q", k.id, lines.Text())
	}
	k.address, k.born, k.down = strings.TrimPrefix(lines.Text(), "listening "), time.Now().UnixMilli(), false
	said := k.said
	go func() {
		for lines.Scan() {
			said <- lines.Text()
		}
	}()
	return nil
}

func (k *workerProcess) kill() {
	_ = k.process.Process.Signal(syscall.SIGKILL)
	_ = k.process.Wait()
}

func (k *workerProcess) register(s *store, sequence int) {
	if k.down {
		return // A worker that has crashed writes nothing.
	}
	s.put("servers/"+k.id, map[string]any{
		"service": "wuno96b", "address": k.address, "zone": k.zone, "version": "v1", "capacity": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": k.born,
	})
}

// runCut has a worker's process be killed in the middle of an answer that has neither a length
// nor chunks.
func runCut(r *rig) (bool, error) {
	config := poolConfig()
	plain := func(name, prefix, kind string, attempts int) any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": "wuno96b", "max_attempts": attempts, "public": false,
		}
	}
	config["routes"] = []any{plain("r-read", "/read/", "idempotent", 2), plain("r-once", "/once/", "non_idempotent", 1)}
	config["services"] = []any{map[string]any{
		"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	}}
	var workers []*workerProcess
	defer func() {
		for _, k := range workers {
			k.kill()
		}
	}()
	sequence := 0
	register := func() {
		sequence++
		for _, k := range workers {
			k.register(r.store, sequence)
		}
	}
	err := r.begin(config, func() error {
		for i, z := range zones {
			k := &workerProcess{id: fmt.Sprintf("i-%d", i+1), zone: z}
			if err := k.start(); err != nil {
				return err
			}
			workers = append(workers, k)
		}
		register()
		return nil
	}, len(zones))
	if err != nil {
		return false, err
	}
	broken := false
	for round := range 4 {
		register()
		method, path := "GET", "/read/award/41"
		if round%2 == 1 {
			method, path = "POST", "/once/award/41"
		}
		c := newCall(method, path)
		d := r.daemons[round%len(r.daemons)]
		answered := make(chan bool)
		var status int
		var signature, body string
		go func() {
			defer close(answered)
			status, signature, body, c.err = c.fetch(d, r.record)
		}()
		hit, err := r.awaitHalf(workers, answered)
		if err != nil {
			return false, err
		}
		if r.trouble && hit != nil {
			r.record.add("the process of worker %s is killed", hit.id)
			hit.down = true
			hit.kill()
		}
		<-answered
		whole := body == wholeBody
		r.record.add("client gets %d for %s, signature %q, %d of %d bytes, complete %v", status, c.id, signature, len(body), len(wholeBody), c.err == nil)
		if c.err == nil && status/100 == 2 && !whole {
			r.record.add("%s has got a success that looks complete, and is not the worker's whole body", c.id)
			broken = true
		}
		if hit != nil && hit.down {
			time.Sleep(2500 * time.Millisecond)
			r.store.remove("servers/" + hit.id)
			time.Sleep(2 * time.Second)
			if err := hit.start(); err != nil {
				return false, err
			}
			r.record.add("worker %s is back", hit.id)
		}
		register()
		time.Sleep(1500 * time.Millisecond)
	}
	return broken, nil
}

// awaitHalf waits until a worker has sent half of an answer, and returns it.
func (r *rig) awaitHalf(workers []*workerProcess, answered chan bool) (*workerProcess, error) {
	for end := time.After(5 * time.Second); ; {
		for _, k := range workers {
			select {
			case line := <-k.said:
				r.record.add("worker %s: %s", k.id, line)
				if strings.HasPrefix(line, "half ") {
					return k, nil
				}
			default:
			}
		}
		select {
		case <-answered:
			return nil, nil
		case <-end:
			return nil, fmt.Errorf("no worker has got the request")
		case <-time.After(time.Millisecond):
		}
	}
}

// fetch sends the attempt and returns the status, signature and body of its answer, and an error
// if that is not complete.
func (c *call) fetch(d *daemon, rec *record) (int, string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callers+c.path, http.NoBody)
	if err != nil {
		return 0, "", "", err
	}
	q.Host = host
	q.Header.Set("Fescuelatch-Attempt-Id", c.id)
	q.Header.Set("Fescuelatch-Deadline-Ms", "4000")
	q.Header.Set("X-Api-Key", c.key)
	rec.add("client sends %s %s %s to %s", c.id, c.method, c.path, d.name)
	res, err := transport.RoundTrip(q)
	if err != nil {
		return 0, "", "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header.Get("Fescuelatch-Response-Signature"), string(b), err
}
