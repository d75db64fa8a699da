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

// This file compares policies offline. Senders choose among targets whose
// spare capacity they know with a lag, or exactly when the targets are their
// own endpoints.

const seeds = 5

// scenario describes a fleet of targets and the load on it.
type scenario struct {
	senders  int
	slots    []int
	load     float64       // of all slots
	lag      time.Duration // between reports; 0 for own endpoints
	prefixes uint64        // 0 for requests without a prefix
	requests int
}

// holdTime is the mean time that a request holds a slot.
const holdTime = time.Second

// cachedPrefixes is the number of prefixes that a target remembers.
const cachedPrefixes = 40

// target serves requests in its slots; what finds them full waits.
type target struct {
	slots, running int
	waiting        int
	reported       int
	cache          *lru.Cache[uint64, bool]
}

// ending is the end of a request at a target.
type ending struct {
	at     time.Time
	target int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation runs one policy in one scenario.
type simulation struct {
	scenario
	policy   fescuelatch.PlacementPolicy
	random   *rand.Rand
	now      time.Time
	reportAt time.Time
	targets  []target
	spots    []fescuelatch.Spot
	sent     [][]int
	endings  endings

	full, hits int
}

// result holds shares of all requests.
type result struct {
	// full is the share that found all slots of its target in use, and hits
	// the share that found its prefix.
	full, hits float64
}

func run(s scenario, p fescuelatch.PlacementPolicy, seed uint64) result {
	m := &simulation{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 5)), now: epoch, reportAt: epoch}
	total := 0
	for i, n := range s.slots {
		name := fmt.Sprintf("target-%d", i)
		spot := fescuelatch.Spot{Local: true, VM: fescuelatch.VMID(name)}
		if s.lag == 0 {
			spot = fescuelatch.Spot{Local: true, Endpoint: fescuelatch.EndpointID(name)}
		}
		m.spots = append(m.spots, spot)
		c, err := lru.New[uint64, bool](cachedPrefixes)
		if err != nil {
			panic(err)
		}
		m.targets = append(m.targets, target{slots: n, reported: n, cache: c})
		total += n
	}
	for range s.senders {
		m.sent = append(m.sent, make([]int, len(s.slots)))
	}
	gap := float64(holdTime) / (s.load * float64(total))
	for range s.requests {
		m.now = m.now.Add(time.Duration(m.random.ExpFloat64() * gap))
		m.advance()
		m.place()
	}
	n := float64(s.requests)
	return result{float64(m.full) / n, float64(m.hits) / n}
}

// advance ends requests and publishes reports that are due.
func (m *simulation) advance() {
	for len(m.endings) > 0 && !m.endings[0].at.After(m.now) {
		e := heap.Pop(&m.endings).(ending)
		t := &m.targets[e.target]
		t.running--
		if t.waiting > 0 {
			t.waiting--
			m.start(e.target, e.at)
		}
	}
	if m.now.Sub(m.reportAt) < m.lag {
		return
	}
	m.reportAt = m.now
	for i := range m.targets {
		t := &m.targets[i]
		t.reported = t.slots - t.running - t.waiting
	}
	for _, s := range m.sent {
		clear(s)
	}
}

func (m *simulation) start(i int, at time.Time) {
	m.targets[i].running++
	hold := time.Duration(m.random.ExpFloat64() * float64(holdTime))
	heap.Push(&m.endings, ending{at.Add(hold), i})
}

// place lets one sender choose.
func (m *simulation) place() {
	sender := m.random.IntN(m.senders)
	var r fescuelatch.Request
	if m.prefixes > 0 {
		// The cube makes low prefixes popular.
		r.Prefix = 1 + uint64(math.Pow(m.random.Float64(), 3)*float64(m.prefixes))
	}
	for i := range m.spots {
		s := &m.spots[i]
		s.Spare, s.Seen = m.targets[i].reported, m.reportAt
		if m.lag > 0 {
			s.Sent = m.sent[sender][i]
		}
	}
	i := m.policy.Choose(m.now, &r, m.spots, m.random.Float64())
	t := &m.targets[i]
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

// contenders are the policies that an experiment compares, the first against
// the others.
var contenders = []struct {
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

// TestHerding compares the share of requests that find their target full.
func TestHerding(t *testing.T) {
	mixed := []int{10, 10, 10, 10, 20, 20, 20, 40, 40, 40}
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, load := range []float64{0.6, 0.8, 0.9} {
			s := scenario{senders: 20, slots: mixed, load: load, lag: lag, requests: 20000}
			var full []float64
			for _, c := range contenders {
				full = append(full, mean(s, c.policy).full)
			}
			t.Logf("lag %v, load %.1f: policy %.3f, least loaded %.3f, random %.3f find the target full", lag, load, full[0], full[1], full[2])
			qt.Check(t, full[0] < full[1] && full[0] < full[2], qt.IsTrue)
		}
	}
}

// TestPrefixHits requires that affinity finds half as many prefixes again as
// the baselines do, while nine of ten requests start at once.
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
		for _, c := range contenders {
			r := mean(test.s, c.policy)
			t.Logf("%s, %-12s: %.3f hits, %.3f find the target full", test.name, c.name, r.hits, r.full)
			results = append(results, r)
		}
		qt.Check(t, results[0].hits >= 1.5*max(results[1].hits, results[2].hits), qt.IsTrue)
		qt.Check(t, results[0].full <= 0.1, qt.IsTrue)
	}
}

func BenchmarkChoose(b *testing.B) {
	spots := make([]fescuelatch.Spot, 52)
	for i := range spots {
		spots[i] = local(fescuelatch.VMID(fmt.Sprintf("vm-%d", i)), i%7)
	}
	for _, prefix := range []uint64{0, 42} {
		b.Run(fmt.Sprintf("prefix %d", prefix), func(b *testing.B) {
			var p Policy
			r := fescuelatch.Request{Prefix: prefix}
			b.ReportAllocs()
			for i := range b.N {
				p.Choose(epoch, &r, spots, float64(i%100)/100)
			}
		})
	}
}
