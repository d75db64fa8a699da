package configstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/keyvalue/memory"
)

// This file tests that changes of concurrent operators are linearizable.

const (
	writers = 8
	// changesPerWriter is the number of changes that each writer gets accepted.
	changesPerWriter = 4
)

// changeInput is the input of an operation: a change and its base, or a read if
// name is empty.
type changeInput struct {
	name string
	base fescuelatch.Generation
}

// changeOutput is the output of an operation: the outcome of a change, or the
// names of the changes that were read.
type changeOutput struct {
	kind  configstore.ErrorKind
	names string
}

// changesModel is the sequential model. Its state is the sorted names of the
// accepted changes.
var changesModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{" "} },
	Step: func(state, input, output any) []any {
		names, in, out := state.(string), input.(changeInput), output.(changeOutput)
		next := sortedNames(names + in.name)
		baseIsHead := fescuelatch.Generation(len(strings.Fields(names))) == in.base
		stored := slices.Contains(strings.Fields(names), in.name)
		switch {
		case in.name == "":
			return stateIf(out.names == names, names)
		case out.kind == accepted && stored:
			return []any{names}
		case out.kind == accepted:
			return stateIf(baseIsHead, next)
		case out.kind == configstore.KindConflict:
			return stateIf(!stored && !baseIsHead, names)
		case out.kind == configstore.KindUnknown && baseIsHead:
			return []any{names, next}
		default:
			return []any{names}
		}
	},
}).ToModel()

// sortedNames sorts names that are separated by spaces.
func sortedNames(names string) string {
	return strings.Join(slices.Sorted(slices.Values(strings.Fields(names))), " ") + " "
}

func stateIf(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// lateKV delays some writes and loses some responses.
type lateKV struct {
	*memory.KV
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

func (k *lateKV) draw() (float64, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.random.Float64(), time.Duration(k.random.IntN(2000)) * time.Microsecond
}

func (k *lateKV) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	u, delay := k.draw()
	switch {
	case u < 0.1:
		k.late.Go(func() {
			time.Sleep(delay)
			_, _ = k.KV.Txn(context.Background(), t)
		})
		return fescuelatch.KVTxnResult{}, memory.ResponseLost("transaction")
	case u < 0.35:
		_, _ = k.KV.Txn(ctx, t)
		return fescuelatch.KVTxnResult{}, memory.ResponseLost("transaction")
	case u < 0.45:
		return fescuelatch.KVTxnResult{}, memory.Unavailable("transaction")
	}
	time.Sleep(delay / 4)
	return k.KV.Txn(ctx, t)
}

// recorder runs operations of concurrent writers and records their history.
type recorder struct {
	store *configstore.Store
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) record(writer int, in changeInput, f func() changeOutput) changeOutput {
	call := time.Since(r.start).Nanoseconds()
	out := f()
	end := time.Since(r.start).Nanoseconds()
	if out.kind == configstore.KindUnknown {
		// The change may take effect at any later time.
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: writer, Input: in, Call: call, Output: out, Return: end})
	return out
}

func (r *recorder) read(c *qt.C, writer int) *fescuelatch.Configuration {
	var current *fescuelatch.Configuration
	r.record(writer, changeInput{}, func() changeOutput {
		var err error
		current, err = r.store.Load(context.Background())
		c.Check(err, qt.IsNil)
		names := ""
		for _, m := range current.Inventory.Models {
			names += string(m.ID) + " "
		}
		return changeOutput{names: sortedNames(names)}
	})
	return current
}

// write proposes changes until changesPerWriter are accepted.
func (r *recorder) write(c *qt.C, writer int, random *rand.Rand) {
	for n, accepts := 0, 0; accepts < changesPerWriter; n++ {
		base := r.read(c, writer)
		d := addModel(base, fmt.Sprintf("m-%d-%03d", writer, n))
		if r.proposeUntilKnown(c, writer, d, random) == accepted {
			accepts++
		}
	}
}

// proposeUntilKnown proposes d, with random timeouts, until its outcome is
// known. A KindUnavailable after a call with an unknown outcome does not
// determine that outcome.
func (r *recorder) proposeUntilKnown(c *qt.C, writer int, d *fescuelatch.Change, random *rand.Rand) configstore.ErrorKind {
	unknown := false
	for {
		kind := r.propose(c, writer, d, time.Duration(1+random.IntN(1000))*time.Millisecond)
		unknown = unknown || kind == configstore.KindUnknown
		if !unknown || (kind != configstore.KindUnknown && kind != configstore.KindUnavailable) {
			return kind
		}
	}
}

func (r *recorder) propose(c *qt.C, writer int, d *fescuelatch.Change, timeout time.Duration) configstore.ErrorKind {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	in := changeInput{name: strings.TrimPrefix(string(d.ID), "change-"), base: d.Base}
	return r.record(writer, in, func() changeOutput {
		_, err := r.store.Propose(ctx, d)
		if err == nil {
			return changeOutput{kind: accepted}
		}
		var e *configstore.Error
		c.Check(err, qt.ErrorAs, &e)
		if e.Kind == configstore.KindConflict {
			c.Check(e.Winner.Generation(), qt.Equals, d.Generation())
			c.Check(e.Winner.ID, qt.Not(qt.Equals), d.ID)
		}
		return changeOutput{kind: e.Kind}
	}).kind
}

func TestConcurrentWritersAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			kv := &lateKV{KV: new(memory.KV), random: rand.New(rand.NewPCG(seed, 0))}
			s := newStore(kv.KV)
			s.KV = kv
			r := &recorder{store: s, start: time.Now()}
			var wg sync.WaitGroup
			for n := range writers {
				wg.Go(func() { r.write(c, n, rand.New(rand.NewPCG(seed, uint64(n)+1))) })
			}
			wg.Wait()
			kv.late.Wait()
			last := r.read(c, 0)
			c.Check(last.Inventory.Models, qt.HasLen, writers*changesPerWriter)
			c.Check(porcupine.CheckOperationsTimeout(changesModel, r.ops, 10*time.Second), qt.Equals, porcupine.Ok)
			count := make(map[configstore.ErrorKind]int)
			for _, o := range r.ops {
				count[o.Output.(changeOutput).kind]++
			}
			t.Logf("%v", count)
		})
	}
}
