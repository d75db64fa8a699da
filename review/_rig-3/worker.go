package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines workers, which are separate processes. A worker speaks HTTP/1.1 itself, so that
// it decides where the bytes of its answers end. It writes a line to its standard output for each
// request that it runs, and takes one-word orders on its standard input.

// worker is a worker process as its case sees it.
type worker struct {
	site    *site
	id      string
	service string
	address netip.AddrPort
	cmd     *exec.Cmd
	orders  io.WriteCloser
	ended   chan struct{}
	times   chan int64
	born    int64
	state   atomic.Value // of the entry: "ready" or "draining", or "" for none

	mu   sync.Mutex
	runs map[string]bool // identifiers of requests that it began to run
}

// addWorker starts a worker process and registers it.
func (s *site) addWorker(id, service string, args ...string) (*worker, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &worker{
		site: s, id: id, service: service, ended: make(chan struct{}), times: make(chan int64, 1<<20),
		born: time.Now().UnixMilli(), runs: make(map[string]bool),
	}
	w.cmd = exec.Command(self, append([]string{"worker", "-id", id}, args...)...)
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if w.orders, err = w.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	w.cmd.Stderr = os.Stderr
	if err := w.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s does not start", id)
	}
	if w.address, err = netip.ParseAddrPort(lines.Text()); err != nil {
		return nil, err
	}
	go func() {
		for lines.Scan() {
			w.take(lines.Text())
		}
		_ = w.cmd.Wait()
		close(w.ended)
	}()
	s.workers = append(s.workers, w)
	s.log("worker %s starts at %s", id, w.address)
	w.state.Store("ready")
	go w.beat()
	return w, nil
}

// take records a line of the process.
func (w *worker) take(line string) {
	if t, ok := strings.CutPrefix(line, "at "); ok {
		// The process writes whole numbers.
		n, _ := strconv.ParseInt(t, 10, 64)
		w.times <- n
		return
	}
	if line == "end" {
		close(w.times)
		return
	}
	if call, ok := strings.CutPrefix(line, "runs "); ok {
		w.mu.Lock()
		w.runs[strings.Fields(call)[0]] = true
		w.mu.Unlock()
	}
	w.site.log("worker %s %s", w.id, line)
}

// hasRun reports whether the worker began to run a request.
func (w *worker) hasRun(call string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[call]
}

// arrivals returns when requests arrived, in Unix milliseconds.
func (w *worker) arrivals() []int64 {
	w.order("times")
	var at []int64
	for t := range w.times {
		at = append(at, t)
	}
	return at
}

// beat writes the entry of the worker regularly, as long as it has one.
func (w *worker) beat() {
	for n := 1; ; n++ {
		state := w.state.Load().(string)
		if state == "" {
			return
		}
		w.put(state, n)
		select {
		case <-w.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) put(state string, sequence int) {
	w.site.store.Put("servers/"+w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dub-a","version":"v1","capacity":16,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		w.service, w.address, state, sequence, w.born))
}

// lateSequence is above that of any regular entry of a case.
const lateSequence = 1 << 20

// drain reports that the worker leaves, and has it say so in its answers.
func (w *worker) drain() {
	w.state.Store("draining")
	w.put("draining", lateSequence)
	w.order("leave")
}

func (w *worker) order(word string) { _, _ = fmt.Fprintln(w.orders, word) }

// kill ends the process at once.
func (w *worker) kill() {
	w.state.Store("")
	_ = w.cmd.Process.Kill()
	<-w.ended
}

// exit has the process exit.
func (w *worker) exit() {
	w.state.Store("")
	w.order("exit")
	<-w.ended
	w.site.store.Delete("servers/" + w.id)
}

// workerProcess is the process of a worker.
type workerProcess struct {
	id      string
	mode    string
	pieces  int
	size    int
	gap     time.Duration
	spoil   int64
	page    int
	limit   string
	quiet   bool
	leaving atomic.Bool
	faulty  atomic.Bool
	runs    atomic.Int64
	// answers counts those while it is faulty.
	answers atomic.Int64

	mu    sync.Mutex
	times []int64 // of arrivals
}

// workerMain is the main function of a worker process.
func workerMain(args []string) error {
	p := new(workerProcess)
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&p.id, "id", "", "identifier")
	f.StringVar(&p.mode, "mode", "plain", "how it answers: plain, unframed or grey")
	f.IntVar(&p.pieces, "pieces", 1, "pieces of an answer")
	f.IntVar(&p.size, "size", 800, "bytes of a piece")
	f.DurationVar(&p.gap, "gap", 0, "time between two pieces")
	f.Int64Var(&p.spoil, "spoil", 0, "while faulty, spoils each answer of this number")
	f.IntVar(&p.page, "page", 0, "bytes of the page with which it fails, in mode grey")
	f.StringVar(&p.limit, "limit", "", "requests a second that it takes")
	f.BoolVar(&p.quiet, "quiet", false, "writes no line for each request")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	go p.takeOrders()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go p.serve(c)
	}
}

func (p *workerProcess) takeOrders() {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		switch in.Text() {
		case "leave":
			p.leaving.Store(true)
		case "exit":
			os.Exit(0)
		case "fail", "spoil":
			p.faulty.Store(true)
		case "recover":
			p.faulty.Store(false)
		case "times":
			p.mu.Lock()
			for _, t := range p.times {
				fmt.Println("at", t)
			}
			fmt.Println("end")
			p.mu.Unlock()
		}
	}
	os.Exit(0) // The case has ended.
}

// serve serves the requests of a connection, one at a time.
func (p *workerProcess) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !p.answer(c, r) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (p *workerProcess) answer(c net.Conn, r *http.Request) bool {
	call := r.Header.Get("Fescuelatch-Attempt-Id")
	if t := r.Header.Get("Fescuelatch-Target-Instance"); t != "" && t != p.id {
		p.write(c, http.StatusMisdirectedRequest, call, "", "Fescuelatch-Instance-Id: "+p.id)
		return true
	}
	n := p.runs.Add(1)
	p.mu.Lock()
	p.times = append(p.times, time.Now().UnixMilli())
	p.mu.Unlock()
	if !p.quiet {
		fmt.Printf("runs %s %s %s, its run %d\n", call, r.Method, r.RequestURI, n)
	}
	signature := "Fescuelatch-Response-Signature: " + p.id + "." + call
	text := strings.Repeat("x", p.size)
	switch {
	case p.spoil > 0 && p.faulty.Load() && p.answers.Add(1)%p.spoil == 0:
		fmt.Printf("spoils its answer to %s\n", call)
		const page = "<html><body><h1>It works!</h1></body></html>\n"
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: "+strconv.Itoa(len(page))+"\r\n\r\n"+page)
	case p.mode == "unframed":
		p.writeUnframed(c, call, signature)
		return false
	case p.mode == "grey" && p.faulty.Load() && p.answers.Add(1)%5 < 2:
		fmt.Printf("has run %s, and fails it with 503 and %d bytes\n", call, p.page)
		p.write(c, http.StatusServiceUnavailable, call, strings.Repeat("x", p.page), signature)
	case p.limit != "":
		p.write(c, http.StatusOK, call, text, signature, "Server-Limit: "+p.limit)
	default:
		p.write(c, http.StatusOK, call, text, signature)
	}
	return true
}

// head returns the head of an answer without its framing.
func (p *workerProcess) head(status int, call string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nFescuelatch-Attempt-Id: %s\r\nContent-Type: text/plain\r\n", status, http.StatusText(status), call)
	if p.leaving.Load() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	for _, m := range more {
		b.WriteString(m + "\r\n")
	}
	return b.String()
}

// write writes an answer with a length.
func (p *workerProcess) write(c net.Conn, status int, call, text string, more ...string) {
	// An error means that the caller has left.
	_, _ = io.WriteString(c, p.head(status, call, append(more, "Content-Length: "+strconv.Itoa(len(text)))...)+"\r\n"+text)
}

// writeUnframed writes an answer with neither a length nor chunks, which ends with its connection.
func (p *workerProcess) writeUnframed(c net.Conn, call, signature string) {
	if _, err := io.WriteString(c, p.head(http.StatusOK, call, signature, "Connection: close")+"\r\n"); err != nil {
		return
	}
	for n := range p.pieces {
		line := fmt.Sprintf("line %08d ", n)
		if _, err := io.WriteString(c, line+strings.Repeat(".", p.size-len(line)-1)+"\n"); err != nil {
			fmt.Printf("answer to %s is not taken: %v\n", call, err)
			return
		}
		time.Sleep(p.gap)
	}
	fmt.Printf("has answered %s with %d bytes\n", call, p.pieces*p.size)
}
