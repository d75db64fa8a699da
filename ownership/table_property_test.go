package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file defines the properties of ownership under faults, and the
// mutants that the properties reject.

var faultGenerator = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.IntRange(faultNone, faultKinds-1).Draw(t, "kind"),
		A:    rapid.IntRange(0, simMembersMax-1).Draw(t, "a"),
		B:    rapid.IntRange(0, simMembersMax-1).Draw(t, "b"),
		Run:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "run")) * time.Millisecond,
	}
})

// play runs a scenario and reports the first broken invariant.
func play(f *fleet, faults []fault) error {
	for _, x := range faults {
		f.inject(x)
		if err := f.run(x.Run); err != nil {
			return err
		}
	}
	return nil
}

// settled reports whether, in each connected part, exactly one daemon owns
// each endpoint and all daemons of the part know it.
func (f *fleet) settled() error {
	for i, d := range f.daemons {
		if d == nil || d.paused || d.table.idle() {
			continue
		}
		for _, e := range f.domain.Endpoints {
			vm, ok := d.table.OwnerOf(f.clock(d), e.Endpoint.ID)
			if !ok {
				return errors.Errorf("%s knows no owner of %s", d.vm, e.Endpoint.ID)
			}
			if !f.owns(i, vm, e.Endpoint.ID) {
				return errors.Errorf("%s takes %s for the owner of %s", d.vm, vm, e.Endpoint.ID)
			}
		}
	}
	return nil
}

// owns reports whether vm can be reached from daemon i and owns e.
func (f *fleet) owns(i int, vm fescuelatch.VMID, e fescuelatch.EndpointID) bool {
	for j, d := range f.daemons {
		if d == nil || d.vm != vm || d.paused || f.cut[i][j] || f.cut[j][i] {
			continue
		}
		for _, o := range d.table.Owned(f.clock(d)) {
			if o.Endpoint.ID == e {
				return true
			}
		}
	}
	return false
}

// split cuts the fleet into two parts by the bits of mask.
func (f *fleet) split(mask int) {
	for i := range f.daemons {
		for j := range f.daemons {
			f.cut[i][j] = mask>>i&1 != mask>>j&1
		}
	}
}

// settleTime bounds the time until each connected part has an owner for each
// endpoint. Members fall silent, unjoined ones wait as long again, and some
// messages are lost or late.
func settleTime(s Settings) time.Duration {
	return 2*s.TakeoverAfter + simHopLate + 6*s.HeartbeatEvery
}

// TestColdSlotsUnderFaults checks that neither the parts in use nor the work
// at a cold endpoint exceed its slots, whatever the faults, and that each
// connected part has owners within a bounded time once faults stop.
func TestColdSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, simMembersMax).Draw(t, "members")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), members, mutant{})
		faults := rapid.SliceOfN(faultGenerator, 0, 40).Draw(t, "faults")
		if err := play(f, faults); err != nil {
			t.Fatal(err)
		}
		f.split(rapid.IntRange(0, 1<<members-1).Draw(t, "part"))
		if err := f.run(settleTime(f.set)); err != nil {
			t.Fatal(err)
		}
		f.loss = false
		if err := f.run(settleTime(f.set)); err != nil {
			t.Fatal(err)
		}
		if err := f.settled(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestWholeShareReturns checks that owners use all cold slots again once the
// links work and the list of VMs has been read.
func TestWholeShareReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, simMembersMax).Draw(t, "members")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), members, mutant{})
		if err := play(f, rapid.SliceOfN(faultGenerator, 0, 20).Draw(t, "faults")); err != nil {
			t.Fatal(err)
		}
		f.inject(fault{Kind: faultHeal})
		f.loss = false
		for i := range f.daemons {
			f.resume(i)
		}
		for range 3 {
			if err := f.run(settleTime(f.set)); err != nil {
				t.Fatal(err)
			}
			for i := range f.daemons {
				f.readList(i)
			}
		}
		if err := f.settled(); err != nil {
			t.Fatal(err)
		}
		for _, d := range f.daemons {
			if d == nil {
				continue
			}
			for _, o := range d.table.Owned(f.clock(d)) {
				if o.Share != 1 {
					t.Fatalf("%s uses %v of %s", d.vm, o.Share, o.Endpoint.ID)
				}
			}
		}
	})
}

// Numbers of scenarios that are tried with the protocol as it is, and at most
// against one mutant.
const (
	controlTries = 20
	mutantTries  = 1000
)

// TestMutantsAreRejected checks that the properties see faults of the
// protocol, in scenarios that hold with the protocol as it is.
func TestMutantsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name   string
		from   uint64 // first seed
		faults func(*rand.Rand) []fault
		mutant mutant
	}{
		{"lease outlasts the promise", 30, randomFaults, mutant{settings: func(s *Settings) { s.LeaseFor = 2 * s.TakeoverAfter }}},
		{"lease counts from receipt", 190, randomFaults, mutant{leaseFromReceipt: true}},
		{"no wait for load reports", 0, randomFaults, mutant{settings: func(s *Settings) { s.ReportLag = 0 }}},
		{"share is not divided", 0, randomFaults, mutant{wholeShare: true}},
		{"promises to a daemon that has not joined", 30, randomFaults, mutant{alwaysJoined: true}},
		{"list of VMs counts at once", 10, restartFaults, mutant{settings: func(s *Settings) { s.GoneAfter = 0 }}},
		{"resumes without asking", 0, pauseFaults, mutant{blindResume: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for n := range uint64(controlTries) {
				if err := playSeed(test.from+n, test.faults, mutant{}); err != nil {
					t.Errorf("seed %d without mutant: %v", test.from+n, err)
				}
			}
			for n := range uint64(mutantTries) {
				seed := test.from + n
				if err := playSeed(seed, test.faults, test.mutant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no fault seen in %d scenarios", mutantTries)
		})
	}
}

func playSeed(seed uint64, faults func(*rand.Rand) []fault, m mutant) error {
	r := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(seed, 2+r.IntN(simMembersMax-1), m)
	return play(f, faults(r))
}

// restartFaults replaces a VM and cuts it off while the list lags.
func restartFaults(r *rand.Rand) []fault {
	some := func() time.Duration { return time.Duration(r.IntN(6000)) * time.Millisecond }
	var faults []fault
	for range 8 {
		a, b := r.IntN(2), r.IntN(2)
		faults = append(faults,
			fault{Kind: faultKill, A: a, Run: some()},
			fault{Kind: faultStart, A: a, Run: some()},
			fault{Kind: faultCut, A: a, B: 1 - a, Run: 0},
			fault{Kind: faultList, A: b, Run: some()},
			fault{Kind: faultHeal, Run: some()})
	}
	return faults
}

// pauseFaults pauses daemons for about as long as others wait to take over.
func pauseFaults(r *rand.Rand) []fault {
	some := func() time.Duration { return time.Duration(r.IntN(8000)) * time.Millisecond }
	var faults []fault
	for range 8 {
		a := r.IntN(simMembersMax)
		faults = append(faults, fault{Kind: faultPause, A: a, Run: some()}, fault{Kind: faultResume, A: a, Run: some()})
	}
	return faults
}

func randomFaults(r *rand.Rand) []fault {
	faults := make([]fault, 40)
	for i := range faults {
		faults[i] = fault{
			Kind: r.IntN(faultKinds),
			A:    r.IntN(simMembersMax),
			B:    r.IntN(simMembersMax),
			Run:  time.Duration(r.IntN(3000)) * time.Millisecond,
		}
	}
	return faults
}
