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

// This file tests that the changes of many operators at once are linearizable.

const (
	writers = 8
	// writes is the number of changes that each of them wants accepted.
	writes = 4
)

// proposed is the input of an operation: a change on a base, or a read
// without a name.
type proposed struct {
	name string
	base fescuelatch.Generation
}

// told is the output of an operation: the outcome of a change, or the names of
// the changes that were read.
type told struct {
	kind  configstore.ErrorKind
	names string
}

// changes is the model: the names of the accepted changes, sorted.
var changes = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{" "} },
	Step: func(state, input, output any) []any {
		names, in, out := state.(string), input.(proposed), output.(told)
		next := sorted(names + in.name)
		fits := fescuelatch.Generation(len(strings.Fields(names))) == in.base
		stored := slices.Contains(strings.Fields(names), in.name)
		switch {
		case in.name == "":
			return only(out.names == names, names)
		case out.kind == accepted && stored:
			return []any{names}
		case out.kind == accepted:
			return only(fits, next)
		case out.kind == configstore.KindConflict:
			return only(!stored && !fits, names)
		case out.kind == configstore.KindUnknown && fits:
			return []any{names, next}
		default:
			return []any{names}
		}
	},
}).ToModel()

// sorted puts names that are separated by spaces into order.
func sorted(names string) string {
	return strings.Join(slices.Sorted(slices.Values(strings.Fields(names))), " ") + " "
}

func only(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// lateKV delivers some writes late and loses some answers.
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
		return fescuelatch.KVTxnResult{}, memory.Lost("transaction")
	case u < 0.35:
		_, _ = k.KV.Txn(ctx, t)
		return fescuelatch.KVTxnResult{}, memory.Lost("transaction")
	case u < 0.45:
		return fescuelatch.KVTxnResult{}, memory.Unavailable("transaction")
	}
	time.Sleep(delay / 4)
	return k.KV.Txn(ctx, t)
}

// race is a history of writers.
type race struct {
	store *configstore.Store
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *race) note(writer int, in proposed, f func() told) told {
	call := time.Since(r.start).Nanoseconds()
	out := f()
	end := time.Since(r.start).Nanoseconds()
	if out.kind == configstore.KindUnknown {
		// It may take effect at any later time.
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: writer, Input: in, Call: call, Output: out, Return: end})
	return out
}

func (r *race) read(c *qt.C, writer int) *fescuelatch.Configuration {
	var now *fescuelatch.Configuration
	r.note(writer, proposed{}, func() told {
		var err error
		now, err = r.store.Load(context.Background())
		c.Check(err, qt.IsNil)
		names := ""
		for _, m := range now.Inventory.Models {
			names += string(m.ID) + " "
		}
		return told{names: sorted(names)}
	})
	return now
}

// write proposes changes until enough are accepted. It repeats the same one
// while its outcome is not known, at times without patience.
func (r *race) write(c *qt.C, writer int, random *rand.Rand) {
	for n, got := 0, 0; got < writes; n++ {
		base := r.read(c, writer)
		d := addModel(base, fmt.Sprintf("m-%d-%03d", writer, n))
		if r.settle(c, writer, d, random) == accepted {
			got++
		}
	}
}

// settle proposes d until its outcome is known. Once a call has ended as
// unknown, one that ends as unavailable says nothing of that call.
func (r *race) settle(c *qt.C, writer int, d *fescuelatch.Change, random *rand.Rand) configstore.ErrorKind {
	unknown := false
	for {
		kind := r.propose(c, writer, d, time.Duration(1+random.IntN(1000))*time.Millisecond)
		unknown = unknown || kind == configstore.KindUnknown
		if !unknown || (kind != configstore.KindUnknown && kind != configstore.KindUnavailable) {
			return kind
		}
	}
}

func (r *race) propose(c *qt.C, writer int, d *fescuelatch.Change, patience time.Duration) configstore.ErrorKind {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	in := proposed{name: strings.TrimPrefix(string(d.ID), "change-"), base: d.Base}
	return r.note(writer, in, func() told {
		_, err := r.store.Propose(ctx, d)
		if err == nil {
			return told{kind: accepted}
		}
		var e *configstore.Error
		c.Check(err, qt.ErrorAs, &e)
		if e.Kind == configstore.KindConflict {
			c.Check(e.Winner.Generation(), qt.Equals, d.Generation())
			c.Check(e.Winner.ID, qt.Not(qt.Equals), d.ID)
		}
		return told{kind: e.Kind}
	}).kind
}

func TestManyWritersAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			kv := &lateKV{KV: new(memory.KV), random: rand.New(rand.NewPCG(seed, 0))}
			s := newStore(kv.KV)
			s.KV = kv
			r := &race{store: s, start: time.Now()}
			var wg sync.WaitGroup
			for n := range writers {
				wg.Go(func() { r.write(c, n, rand.New(rand.NewPCG(seed, uint64(n)+1))) })
			}
			wg.Wait()
			kv.late.Wait()
			last := r.read(c, 0)
			c.Check(last.Inventory.Models, qt.HasLen, writers*writes)
			c.Check(porcupine.CheckOperationsTimeout(changes, r.ops, 10*time.Second), qt.Equals, porcupine.Ok)
			count := make(map[configstore.ErrorKind]int)
			for _, o := range r.ops {
				count[o.Output.(told).kind]++
			}
			t.Logf("%v", count)
		})
	}
}
