package failure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/fleet"
	"fescuelatch/fleet/fleettest"
	"fescuelatch/openai"
)

// This file defines the fleets for the tests of cold starts, sessions and
// answers, and a caller that checks each answer against the request's nonce.

const (
	trafficModel   = "triage"
	trafficAccount = "daily"
	versionOld     = fescuelatch.VersionID("triage@1")
	versionNew     = fescuelatch.VersionID("triage@2")

	engineSlots = 8
	coldSlots   = 2
)

// trafficPrograms returns the directory of the programs and builds them if
// TestMain has not done so.
func trafficPrograms(t *testing.T) string {
	t.Helper()
	if d := fleettest.Bin(); d != "" {
		return d
	}
	d := t.TempDir() + string(filepath.Separator)
	c := exec.Command("go", "build", "-o", d, "fescuelatch/cmd/fescuelatchd", "fescuelatch/cmd/standin")
	out, err := c.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return d
}

// trafficVM returns the n-th VM of a failure domain with number d.
func trafficVM(domain fescuelatch.DomainID, d, n int) fescuelatch.VM {
	address := func(port int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("127.79.%d.%d:%d", d, n, port))
	}
	return fescuelatch.VM{
		ID: fescuelatch.VMID(fmt.Sprintf("%s-%d", domain, n)), Domain: domain,
		Peer: address(7100), Caller: address(7200), Operator: address(7300),
	}
}

// trafficConfiguration returns a configuration of failure domain "a" with
// VMs a-1 to a-N and engines e-1 to e-M, and of failure domain "b" with the
// VM b-1, which forwards all requests. Both versions always give good answers
// at the same cost; new sessions begin with versionOld.
func trafficConfiguration(vms, engines int) *fescuelatch.Configuration {
	c := &fescuelatch.Configuration{
		Inventory: fescuelatch.Inventory{
			Domains: []fescuelatch.FailureDomain{{ID: "a"}, {ID: "b"}},
			VMs:     []fescuelatch.VM{trafficVM("b", 2, 1)},
			Models:  []fescuelatch.Model{{ID: trafficModel}},
			Versions: []fescuelatch.Version{
				{ID: versionOld, Model: trafficModel, Quality: 1, Weight: 1},
				{ID: versionNew, Model: trafficModel, Quality: 1, Weight: 0},
			},
			Pools: []fescuelatch.Pool{{
				ID: "models", Versions: []fescuelatch.VersionID{versionOld, versionNew},
				Slots: engineSlots, ColdSlots: coldSlots,
			}},
		},
		Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{{
			ID: trafficAccount, KeyHashes: []string{fescuelatch.HashKey("other")},
			Models: []fescuelatch.ModelID{trafficModel}, DefaultQuality: 0.8,
		}}},
	}
	for n := 1; n <= vms; n++ {
		c.Inventory.VMs = append(c.Inventory.VMs, trafficVM("a", 1, n))
	}
	for n := 1; n <= engines; n++ {
		c.Inventory.Endpoints = append(c.Inventory.Endpoints, fescuelatch.Endpoint{
			ID: fescuelatch.EndpointID(fmt.Sprintf("e-%d", n)), Pool: "models", Domain: "a",
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.79.1.%d:7400", 100+n)),
		})
	}
	return c
}

// traffic is a running fleet with an HTTP client for its callers.
type traffic struct {
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	http *http.Client
}

func startTraffic(t *testing.T, vms, engines int) *traffic {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	f := fleet.StartTest(t, fleet.Options{Configuration: trafficConfiguration(vms, engines), Bin: trafficPrograms(t)})
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(h.CloseIdleConnections)
	return &traffic{Fleet: f, t: t, ctx: ctx, http: h}
}

// chatRequest is a chat completion request to a VM.
type chatRequest struct {
	vm      fescuelatch.VMID
	nonce   string
	tokens  int
	stream  bool
	session string
	move    bool
	timeout time.Duration
}

// text returns the only correct answer to the request.
func (q *chatRequest) text() string {
	words := []string{"nonce:" + q.nonce}
	for n := range q.tokens {
		words = append(words, "w"+strconv.Itoa(n))
	}
	return strings.Join(append(words, "end:"+q.nonce), " ")
}

// reply is the reply to a chatRequest.
type reply struct {
	ask        *chatRequest
	status     int
	request    fescuelatch.RequestID
	version    fescuelatch.VersionID
	session    string
	outcome    fescuelatch.Outcome
	retryAfter string
	code       string
	text       string
	// firstText is the arrival time of the first text of a stream.
	firstText time.Time
	// models are the versions named in the chunks or the answer.
	models map[string]bool
	// done reports the end mark of a stream or a complete answer with status
	// 200.
	done bool
	// failed reports whether the reply contained an error object.
	failed bool
	// err is a transport or decoding error before the end of the answer.
	err error
}

// verdict classifies a reply.
type verdict string

const (
	// verdictWhole is the complete, correct answer.
	verdictWhole verdict = "whole"
	// verdictCut is a partial answer that is reported as such.
	verdictCut verdict = "cut"
	// verdictFailed is an error without any answer text.
	verdictFailed verdict = "failed"
	// verdictLooksWhole is an end mark after an incomplete answer or an
	// error.
	verdictLooksWhole verdict = "looks-whole"
	// verdictForeign is text that does not belong to the answer.
	verdictForeign verdict = "foreign"
	// verdictSpliced is an answer that names several versions, or text of a
	// version other than the one in the header.
	verdictSpliced verdict = "spliced"
	// verdictTruncated is a partial answer without an end mark, an error or a
	// broken connection.
	verdictTruncated verdict = "untold"
)

func (r *reply) verdict() verdict {
	whole := r.ask.text()
	switch {
	case !strings.HasPrefix(whole, r.text):
		return verdictForeign
	case len(r.models) > 1 || r.text != "" && !r.models[string(r.version)]:
		return verdictSpliced
	case r.done && (r.text != whole || r.failed):
		return verdictLooksWhole
	case r.done:
		return verdictWhole
	case !r.failed && r.err == nil:
		return verdictTruncated
	case r.text == "":
		return verdictFailed
	}
	return verdictCut
}

// send sends a request and reads its reply.
func (f *traffic) send(q *chatRequest) *reply {
	r := &reply{ask: q, models: make(map[string]bool)}
	var to netip.AddrPort
	for _, m := range f.Configuration.Inventory.VMs {
		if m.ID == q.vm {
			to = m.Caller
		}
	}
	body := map[string]any{
		"model": trafficModel, "max_tokens": q.tokens, "stream": q.stream,
		"messages": []map[string]string{{"role": "user", "content": "nonce:" + q.nonce + " text"}},
	}
	b, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(f.ctx, q.timeout+5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+f.Keys[trafficAccount])
	req.Header.Set(caller.HeaderTimeout, q.timeout.String())
	if q.session != "" {
		req.Header.Set(caller.HeaderSession, q.session)
	}
	if q.move {
		req.Header.Set(caller.HeaderSessionMove, "allow")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.readHead(resp)
	if q.stream && resp.StatusCode == http.StatusOK {
		r.readStream(resp)
	} else {
		r.readWhole(resp)
	}
	return r
}

func (r *reply) readHead(resp *http.Response) {
	r.status = resp.StatusCode
	r.request = fescuelatch.RequestID(resp.Header.Get(caller.HeaderRequestID))
	r.version = fescuelatch.VersionID(resp.Header.Get(caller.HeaderVersion))
	r.session = resp.Header.Get(caller.HeaderSession)
	r.outcome = fescuelatch.Outcome(resp.Header.Get(caller.HeaderOutcome))
	r.retryAfter = resp.Header.Get(caller.HeaderRetryAfter)
}

// responseBody is an answer, a stream event or an error.
type responseBody struct {
	Model   string `json:"model"`
	Choices []struct {
		Message openai.Message `json:"message"`
		Delta   openai.Message `json:"delta"`
	} `json:"choices"`
	Error *openai.ErrorObject `json:"error"`
}

func (r *reply) add(p *responseBody) {
	if p.Error != nil {
		r.failed = true
		r.code = p.Error.Code
		return
	}
	r.models[p.Model] = true
	for _, c := range p.Choices {
		r.text += c.Message.Text() + c.Delta.Text()
	}
}

func (r *reply) readWhole(resp *http.Response) {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return
	}
	var p responseBody
	if r.err = json.Unmarshal(b, &p); r.err != nil {
		return
	}
	r.add(&p)
	r.done = resp.StatusCode == http.StatusOK
}

func (r *reply) readStream(resp *http.Response) {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.done = true
		default:
			var p responseBody
			if r.err = json.Unmarshal([]byte(data), &p); r.err != nil {
				return
			}
			r.add(&p)
			if r.firstText.IsZero() && r.text != "" {
				r.firstText = time.Now()
			}
		}
	}
	r.err = lines.Err()
	r.outcome = fescuelatch.Outcome(resp.Trailer.Get(caller.HeaderOutcome))
}

// replies collects the replies of concurrent callers.
type replies struct {
	mu  sync.Mutex
	all []*reply
}

func (s *replies) add(r *reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, r)
}

// count counts replies by the value that by returns.
func count[K comparable](s *replies, by func(*reply) K) map[K]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := make(map[K]int)
	for _, r := range s.all {
		n[by(r)]++
	}
	return n
}

// checkVerdicts checks that no caller got another's answer or an incomplete one
// that looks complete, and returns the number of replies by verdict.
func (s *replies) checkVerdicts(c *qt.C) map[verdict]int {
	for _, r := range s.all {
		switch v := r.verdict(); v {
		case verdictWhole, verdictCut, verdictFailed:
		default:
			c.Errorf("%s: request %s at %s (stream %v): status %d, versions %v, done %v, error %q, text %q",
				v, r.request, r.ask.vm, r.ask.stream, r.status, r.models, r.done, r.code, r.text)
		}
	}
	n := count(s, (*reply).verdict)
	c.Logf("replies: %v, errors: %v", n, count(s, func(r *reply) string { return r.code }))
	return n
}

// flood calls the VMs from concurrent callers until the returned function is
// called. Each caller waits for its answer, and 100 ms more after a failure.
func (f *traffic) flood(seed uint64, callers, tokens int, vms ...fescuelatch.VMID) (*replies, func()) {
	const pause = 100 * time.Millisecond
	s := new(replies)
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				r := f.send(&chatRequest{
					vm: vms[random.IntN(len(vms))], nonce: fmt.Sprintf("%d-%d-%d", seed, n, k),
					tokens: tokens, stream: random.IntN(2) == 0, timeout: 4 * time.Second,
				})
				s.add(r)
				if !r.done {
					time.Sleep(pause)
				}
			}
		})
	}
	stop := func() {
		cancel()
		wg.Wait()
	}
	f.t.Cleanup(stop)
	return s, stop
}

// owner returns the owner of an endpoint as reported by the daemon of m.
func (f *traffic) owner(m fescuelatch.VMID, e fescuelatch.EndpointID) fescuelatch.VMID {
	f.t.Helper()
	s, err := f.Operator(m).Status(f.ctx)
	qt.Assert(f.t, err, qt.IsNil)
	for _, q := range s.Endpoints {
		if q.ID == e {
			return q.Owner
		}
	}
	return ""
}

// endpointLog returns the log of an engine.
func (f *traffic) endpointLog(e fescuelatch.EndpointID) fleet.EndpointLog {
	f.t.Helper()
	ls, err := f.EndpointLogs(f.ctx)
	qt.Assert(f.t, err, qt.IsNil)
	for _, l := range ls {
		if l.Endpoint.ID == e {
			return l
		}
	}
	f.t.Fatalf("no endpoint %s", e)
	return fleet.EndpointLog{}
}

// waitFor polls ok until it returns true and fails the test after d.
func (f *traffic) waitFor(d time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(d); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out after %v waiting for: %s", d, what)
		}
	}
}

// awaitServing waits until a VM answers a call.
func (f *traffic) awaitServing(m fescuelatch.VMID) {
	f.t.Helper()
	n := 0
	f.waitFor(15*time.Second, string(m)+" serves", func() bool {
		n++
		return f.send(&chatRequest{vm: m, nonce: fmt.Sprintf("first-%d", n), tokens: 2, timeout: 3 * time.Second}).done
	})
}
