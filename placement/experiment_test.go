package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	lru "github.com/hashicorp/golang-lru/v2"

	"fescuelatch"
)

// This file compares policies in a simulation. Senders choose among servers whose
// spare capacity is reported with a lag, or exactly for own endpoints.

const seeds = 5

// scenario describes a fleet of servers and its load.
type scenario struct {
	senders  int
	slots    []int
	load     float64       // of all slots
	lag      time.Duration // between reports; 0 for own endpoints
	prefixes uint64        // 0 for requests without a prefix
	requests int
}

// meanServiceTime is the mean time that a request occupies a slot.
const meanServiceTime = time.Second

// cachedPrefixes is the number of prefixes that a server caches.
const cachedPrefixes = 40

// server runs requests in its slots and queues those that find no free slot.
type server struct {
	slots, running int
	waiting        int
	reported       int
	cache          *lru.Cache[uint64, bool]
}

// completion is the end of a request at a server.
type completion struct {
	at     time.Time
	server int
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation runs one policy in one scenario.
type simulation struct {
	scenario
	policy      fescuelatch.PlacementPolicy
	random      *rand.Rand
	now         time.Time
	reportAt    time.Time
	servers     []server
	targets     []fescuelatch.Target
	sent        [][]int
	completions completions

	full, hits int
}

// result holds shares of all requests.
type result struct {
	// full is the share that found all slots of the server in use, and hits
	// the share that found their prefix cached.
	full, hits float64
}

func run(s scenario, p fescuelatch.PlacementPolicy, seed uint64) result {
	m := &simulation{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 5)), now: epoch, reportAt: epoch}
	total := 0
	for i, n := range s.slots {
		name := fmt.Sprintf("target-%d", i)
		target := fescuelatch.Target{Local: true, VM: fescuelatch.VMID(name)}
		if s.lag == 0 {
			target = fescuelatch.Target{Local: true, Endpoint: fescuelatch.EndpointID(name)}
		}
		m.targets = append(m.targets, target)
		c, err := lru.New[uint64, bool](cachedPrefixes)
		if err != nil {
			panic(err)
		}
		m.servers = append(m.servers, server{slots: n, reported: n, cache: c})
		total += n
	}
	for range s.senders {
		m.sent = append(m.sent, make([]int, len(s.slots)))
	}
	gap := float64(meanServiceTime) / (s.load * float64(total))
	for range s.requests {
		m.now = m.now.Add(time.Duration(m.random.ExpFloat64() * gap))
		m.advance()
		m.send()
	}
	n := float64(s.requests)
	return result{float64(m.full) / n, float64(m.hits) / n}
}

// advance completes requests and publishes reports that are due.
func (m *simulation) advance() {
	for len(m.completions) > 0 && !m.completions[0].at.After(m.now) {
		e := heap.Pop(&m.completions).(completion)
		t := &m.servers[e.server]
		t.running--
		if t.waiting > 0 {
			t.waiting--
			m.start(e.server, e.at)
		}
	}
	if m.now.Sub(m.reportAt) < m.lag {
		return
	}
	m.reportAt = m.now
	for i := range m.servers {
		t := &m.servers[i]
		t.reported = t.slots - t.running - t.waiting
	}
	for _, s := range m.sent {
		clear(s)
	}
}

func (m *simulation) start(i int, at time.Time) {
	m.servers[i].running++
	hold := time.Duration(m.random.ExpFloat64() * float64(meanServiceTime))
	heap.Push(&m.completions, completion{at.Add(hold), i})
}

// send sends a request from a random sender.
func (m *simulation) send() {
	sender := m.random.IntN(m.senders)
	var r fescuelatch.Request
	if m.prefixes > 0 {
		// Cubing makes low prefixes popular.
		r.Prefix = 1 + uint64(math.Pow(m.random.Float64(), 3)*float64(m.prefixes))
	}
	for i := range m.targets {
		s := &m.targets[i]
		s.Spare, s.ReportedAt = m.servers[i].reported, m.reportAt
		if m.lag > 0 {
			s.Sent = m.sent[sender][i]
		}
	}
	i := m.policy.Choose(m.now, &r, m.targets, m.random.Float64())
	t := &m.servers[i]
	m.sent[sender][i]++
	if r.Prefix != 0 {
		if t.cache.Contains(r.Prefix) {
			m.hits++
		}
		t.cache.Add(r.Prefix, true)
	}
	if t.running < t.slots {
		m.start(i, m.now)
		return
	}
	m.full++
	t.waiting++
}

// policies are the compared policies; the first must beat the others.
var policies = []struct {
	name   string
	policy fescuelatch.PlacementPolicy
}{{"policy", &Policy{}}, {"least loaded", LeastLoaded{}}, {"random", Random{}}}

// mean runs a policy over all seeds.
func mean(s scenario, p fescuelatch.PlacementPolicy) result {
	var sum result
	for seed := range uint64(seeds) {
		r := run(s, p, seed)
		sum.full += r.full / seeds
		sum.hits += r.hits / seeds
	}
	return sum
}

// TestHerding compares the shares of requests that find their server full.
func TestHerding(t *testing.T) {
	mixed := []int{10, 10, 10, 10, 20, 20, 20, 40, 40, 40}
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, load := range []float64{0.6, 0.8, 0.9} {
			s := scenario{senders: 20, slots: mixed, load: load, lag: lag, requests: 20000}
			var full []float64
			for _, c := range policies {
				full = append(full, mean(s, c.policy).full)
			}
			t.Logf("lag %v, load %.1f: policy %.3f, least loaded %.3f, random %.3f find the server full", lag, load, full[0], full[1], full[2])
			qt.Check(t, full[0] < full[1] && full[0] < full[2], qt.IsTrue)
		}
	}
}

// TestPrefixHits requires 1.5 times the cache hits of the baselines while nine of
// ten requests start at once.
func TestPrefixHits(t *testing.T) {
	tests := []struct {
		name string
		s    scenario
	}{
		{"own endpoints", scenario{senders: 1, slots: []int{16, 16, 16, 16, 16, 16}, load: 0.7, prefixes: 200, requests: 20000}},
		{"other daemons", scenario{senders: 10, slots: []int{32, 32, 32, 32, 32, 32}, load: 0.7, lag: 2 * time.Second, prefixes: 200, requests: 20000}},
	}
	for _, test := range tests {
		var results []result
		for _, c := range policies {
			r := mean(test.s, c.policy)
			t.Logf("%s, %-12s: %.3f hits, %.3f find the server full", test.name, c.name, r.hits, r.full)
			results = append(results, r)
		}
		qt.Check(t, results[0].hits >= 1.5*max(results[1].hits, results[2].hits), qt.IsTrue)
		qt.Check(t, results[0].full <= 0.1, qt.IsTrue)
	}
}

func BenchmarkChoose(b *testing.B) {
	targets := make([]fescuelatch.Target, 52)
	for i := range targets {
		targets[i] = local(fescuelatch.VMID(fmt.Sprintf("vm-%d", i)), i%7)
	}
	for _, prefix := range []uint64{0, 42} {
		b.Run(fmt.Sprintf("prefix %d", prefix), func(b *testing.B) {
			var p Policy
			r := fescuelatch.Request{Prefix: prefix}
			b.ReportAllocs()
			for i := range b.N {
				p.Choose(epoch, &r, targets, float64(i%100)/100)
			}
		})
	}
}
