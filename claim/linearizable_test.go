package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests that concurrent claims of a key are linearizable.

type opKind int

const (
	opClaim opKind = iota
	opRelease
	opFinish
)

// claimInput is the input of an operation, claim.State its output.
type claimInput struct {
	kind     opKind
	key      string
	claimant string
}

const notMade claim.State = "not-made"

const (
	free     = "free"
	finished = "finished"
)

// claimModel models one key, which is free, held by a claimant or finished.
var claimModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range h {
			byKey[o.Input.(claimInput).key] = append(byKey[o.Input.(claimInput).key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return free },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(claimInput), output.(claim.State)
		switch in.kind {
		case opRelease:
			return state == in.claimant, free
		case opFinish:
			return state == in.claimant, finished
		}
		switch out {
		case claim.StateAcquired:
			return state == free, in.claimant
		case claim.StateInProgress:
			return state != free && state != finished, state
		case claim.StateFinished:
			return state == finished, state
		default:
			return out == notMade, state
		}
	},
}

// history records the operations of concurrent goroutines.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) do(client int, in claimInput, f func() (claim.State, bool)) {
	call := time.Since(h.start).Nanoseconds()
	out, ended := f()
	end := time.Since(h.start).Nanoseconds()
	if !ended {
		// The operation may take effect at any later time.
		end = time.Hour.Nanoseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// randomFaults drops a fifth of the answers and rejects a tenth of the writes.
func randomFaults(seed uint64) func(memory.Call) memory.Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(call memory.Call) memory.Fault {
		if call.Op != "transaction" {
			return memory.Fault{}
		}
		f := memory.Fault{Delay: time.Duration(random.IntN(300)) * time.Microsecond}
		switch u := random.Float64(); {
		case u < 0.2:
			f.After = memory.ResponseLost(call.Op)
		case u < 0.3:
			f.Before = memory.Unavailable(call.Op)
		}
		return f
	}
}

func recordHistory(seed uint64) []porcupine.Operation {
	kv := &memory.KV{Faults: randomFaults(seed)}
	b := &keyvalue.Batcher{KV: kv, Interval: time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { b.Run(ctx) })
	h := &history{start: time.Now()}
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Go(func() {
			c := &claim.Claimer{Submitter: b, Granter: kv, Now: time.Now, Timeout: 10 * time.Second}
			random := rand.New(rand.NewPCG(seed, uint64(client)+1))
			for n := range 8 {
				claimAndEnd(h, c, client, n, random)
			}
		})
	}
	clients.Wait()
	cancel()
	wg.Wait()
	return h.ops
}

// claimAndEnd makes one claim and, if it is held, releases or finishes it.
func claimAndEnd(h *history, c *claim.Claimer, client, n int, random *rand.Rand) {
	ctx := context.Background()
	in := claimInput{kind: opClaim, key: fmt.Sprint("key-", random.IntN(3)), claimant: fmt.Sprintf("claimant-%d-%d", client, n)}
	var l *claim.Claim
	h.do(client, in, func() (claim.State, bool) {
		var err error
		l, err = c.Claim(ctx, claim.Request{
			Account: "desk", Key: in.key, Fingerprint: "f", Claimant: in.claimant, Deadline: time.Now().Add(time.Hour),
		})
		if err != nil {
			return notMade, true
		}
		return l.State, true
	})
	if l == nil || l.State != claim.StateAcquired {
		return
	}
	if random.IntN(4) > 0 {
		in.kind = opRelease
		h.do(client, in, func() (claim.State, bool) { return "", l.Release(ctx) == nil })
		return
	}
	l.Dispatch()
	in.kind = opFinish
	h.do(client, in, func() (claim.State, bool) {
		return "", l.Finish(ctx, fescuelatch.OutcomeAnswered, nil) == nil
	})
}

func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ops := recordHistory(seed)
			c.Check(porcupine.CheckOperationsTimeout(claimModel, ops, 5*time.Second), qt.Equals, porcupine.Ok)
		})
	}
}
