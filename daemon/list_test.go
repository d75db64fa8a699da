package daemon_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/keyvalue/memory"
)

// This file tests that one daemon of a failure domain reads the list of VMs,
// that the others act on its data, and that they read the list themselves when
// it cannot.

// listStub is a list of VMs that counts reads.
type listStub struct {
	mu    sync.Mutex
	vms   []fescuelatch.ListedVM
	reads int
}

// VMs implements fescuelatch.VMList. An empty list simulates an outage.
func (l *listStub) VMs(context.Context) ([]fescuelatch.ListedVM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if len(l.vms) == 0 {
		return nil, io.EOF
	}
	return l.vms, nil
}

// set replaces the list and returns the number of reads so far.
func (l *listStub) set(s fescuelatch.ListedVMState) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = nil
	if s != "" {
		l.vms = []fescuelatch.ListedVM{{ID: "vm-1", State: fescuelatch.ListedLive}, {ID: "vm-2", State: fescuelatch.ListedLive}, {ID: "e", State: s}}
	}
	return l.reads
}

func TestListIsReadByOne(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	conf := twoVMs(c)
	seed(c, kv, conf)
	vms := conf.Inventory.VMs
	lists := []*listStub{{}, {}}
	for i, m := range vms {
		lists[i].set(fescuelatch.ListedLive)
		startWith(c, kv, m, nil, lists[i])
	}
	eventuallyOneOwner(c, vms[0], vms[1])
	c.Assert(owner(vms[0]), qt.Equals, fescuelatch.VMID("vm-2"), qt.Commentf("the owner must not be the daemon that reads the list"))
	eventuallyAnswered(c, vms[1])
	// Only the first daemon reads the list; the second receives the result.
	reads := lists[1].set(fescuelatch.ListedLive)
	lists[0].set(fescuelatch.ListedLeaving)
	eventuallyRefused(c, vms[1], 4*time.Second)
	c.Assert(lists[1].set(fescuelatch.ListedLive), qt.Equals, reads)
	// The first daemon cannot read any more, so the second reads the list
	// itself.
	lists[0].set("")
	eventuallyAnswered(c, vms[1])
	lists[1].set(fescuelatch.ListedLeaving)
	eventuallyRefused(c, vms[1], 4*time.Second)
	// The first daemon can read again, and the second uses its data.
	lists[0].set(fescuelatch.ListedLive)
	eventuallyAnswered(c, vms[1])
	reads = lists[1].set(fescuelatch.ListedLive)
	time.Sleep(4 * time.Second)
	c.Assert(lists[1].set(fescuelatch.ListedLive), qt.Equals, reads)
}

// eventuallyRefused waits until a daemon refuses requests.
func eventuallyRefused(c *qt.C, m fescuelatch.VM, timeout time.Duration) {
	for started := time.Now(); time.Since(started) < timeout; time.Sleep(pollInterval) {
		if outcome, err := chatOutcome(m); err == nil && outcome == "not-run" {
			return
		}
	}
	c.Fatalf("%s still answers", m.ID)
}
