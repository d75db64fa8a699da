package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fescuelatch"
)

// This file tests properties of ownership under faults, and that the property
// checks detect mutants of the protocol.

var faultGenerator = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.IntRange(faultNone, faultKindCount-1).Draw(t, "kind"),
		A:    rapid.IntRange(0, simMaxMembers-1).Draw(t, "a"),
		B:    rapid.IntRange(0, simMaxMembers-1).Draw(t, "b"),
		Run:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "run")) * time.Millisecond,
	}
})

// runScenario runs a scenario and reports the first broken invariant.
func runScenario(s *simulation, faults []fault) error {
	for _, x := range faults {
		s.inject(x)
		if err := s.run(x.Run); err != nil {
			return err
		}
	}
	return nil
}

// checkOwners returns an error unless, in each connected part, exactly one
// daemon owns each endpoint and all daemons of the part agree on it.
func (s *simulation) checkOwners() error {
	for i, d := range s.daemons {
		if d == nil || d.paused || d.table.ineligible() {
			continue
		}
		for _, e := range s.domain.Endpoints {
			vm, ok := d.table.OwnerOf(s.clock(d), e.Endpoint.ID)
			if !ok {
				return errors.Errorf("%s has no owner for %s", d.vm, e.Endpoint.ID)
			}
			if !s.owns(i, vm, e.Endpoint.ID) {
				return errors.Errorf("%s treats %s as the owner of %s, which does not own it", d.vm, vm, e.Endpoint.ID)
			}
		}
	}
	return nil
}

// owns reports whether vm is reachable from daemon i and owns e.
func (s *simulation) owns(i int, vm fescuelatch.VMID, e fescuelatch.EndpointID) bool {
	for j, d := range s.daemons {
		if d == nil || d.vm != vm || d.paused || s.cut[i][j] || s.cut[j][i] {
			continue
		}
		for _, o := range d.table.Owned(s.clock(d)) {
			if o.Endpoint.ID == e {
				return true
			}
		}
	}
	return false
}

// split partitions the daemons into two parts by the bits of mask.
func (s *simulation) split(mask int) {
	for i := range s.daemons {
		for j := range s.daemons {
			s.cut[i][j] = mask>>i&1 != mask>>j&1
		}
	}
}

// convergenceTime bounds the time until each connected part has an owner for
// each endpoint. It covers the inactivity timeout, a second such wait of daemons
// that have not joined, and lost or late messages.
func convergenceTime(s Settings) time.Duration {
	return 2*s.TakeoverTimeout + simMaxLateDelay + 6*s.HeartbeatInterval
}

// TestColdSlotsUnderFaults checks that neither the shares in use nor the work
// at a cold endpoint exceed its slots under any faults, and that each
// connected part has owners within a bounded time after the faults stop.
func TestColdSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, simMaxMembers).Draw(t, "members")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), members, mutant{})
		faults := rapid.SliceOfN(faultGenerator, 0, 40).Draw(t, "faults")
		if err := runScenario(s, faults); err != nil {
			t.Fatal(err)
		}
		s.split(rapid.IntRange(0, 1<<members-1).Draw(t, "part"))
		if err := s.run(convergenceTime(s.settings)); err != nil {
			t.Fatal(err)
		}
		s.lossy = false
		if err := s.run(convergenceTime(s.settings)); err != nil {
			t.Fatal(err)
		}
		if err := s.checkOwners(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFullShareReturns checks that owners use all cold slots again once the
// links work and the list of VMs has been read.
func TestFullShareReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, simMaxMembers).Draw(t, "members")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), members, mutant{})
		if err := runScenario(s, rapid.SliceOfN(faultGenerator, 0, 20).Draw(t, "faults")); err != nil {
			t.Fatal(err)
		}
		s.inject(fault{Kind: faultHeal})
		s.lossy = false
		for i := range s.daemons {
			s.resume(i)
		}
		for range 3 {
			if err := s.run(convergenceTime(s.settings)); err != nil {
				t.Fatal(err)
			}
			for i := range s.daemons {
				s.readList(i)
			}
		}
		if err := s.checkOwners(); err != nil {
			t.Fatal(err)
		}
		for _, d := range s.daemons {
			if d == nil {
				continue
			}
			for _, o := range d.table.Owned(s.clock(d)) {
				if o.Share != 1 {
					t.Fatalf("%s uses %v of %s", d.vm, o.Share, o.Endpoint.ID)
				}
			}
		}
	})
}

// Number of scenarios for the unmodified protocol, and the maximum per mutant.
const (
	controlScenarios   = 20
	maxMutantScenarios = 1000
)

// TestMutantsAreRejected checks that the properties detect defects of the
// protocol, in scenarios that the unmodified protocol passes.
func TestMutantsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name   string
		from   uint64 // first seed
		faults func(*rand.Rand) []fault
		mutant mutant
	}{
		{"lease outlasts the promise", 30, randomFaults, mutant{settings: func(s *Settings) { s.LeaseDuration = 2 * s.TakeoverTimeout }}},
		{"lease counts from receipt", 190, randomFaults, mutant{leaseFromReceipt: true}},
		{"no wait for load reports", 0, randomFaults, mutant{settings: func(s *Settings) { s.ReportLag = 0 }}},
		{"share is not divided", 0, randomFaults, mutant{fullShare: true}},
		{"promises to a daemon that has not joined", 30, randomFaults, mutant{alwaysJoined: true}},
		{"no wait before the list of VMs counts", 10, restartFaults, mutant{settings: func(s *Settings) { s.MaxListLag = 0 }}},
		{"dispatches with stale ownership after a pause", 0, pauseFaults, mutant{staleResume: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for n := range uint64(controlScenarios) {
				if err := runSeed(test.from+n, test.faults, mutant{}); err != nil {
					t.Errorf("seed %d without mutant: %v", test.from+n, err)
				}
			}
			for n := range uint64(maxMutantScenarios) {
				seed := test.from + n
				if err := runSeed(seed, test.faults, test.mutant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("mutant not detected in %d scenarios", maxMutantScenarios)
		})
	}
}

func runSeed(seed uint64, faults func(*rand.Rand) []fault, m mutant) error {
	r := rand.New(rand.NewPCG(seed, 2))
	s := newSimulation(seed, 2+r.IntN(simMaxMembers-1), m)
	return runScenario(s, faults(r))
}

// restartFaults restarts a daemon and cuts its link while the list lags.
func restartFaults(r *rand.Rand) []fault {
	randomTime := func() time.Duration { return time.Duration(r.IntN(6000)) * time.Millisecond }
	var faults []fault
	for range 8 {
		a, b := r.IntN(2), r.IntN(2)
		faults = append(faults,
			fault{Kind: faultKill, A: a, Run: randomTime()},
			fault{Kind: faultStart, A: a, Run: randomTime()},
			fault{Kind: faultCut, A: a, B: 1 - a, Run: 0},
			fault{Kind: faultList, A: b, Run: randomTime()},
			fault{Kind: faultHeal, Run: randomTime()})
	}
	return faults
}

// pauseFaults pauses daemons for about as long as the takeover timeout.
func pauseFaults(r *rand.Rand) []fault {
	randomTime := func() time.Duration { return time.Duration(r.IntN(8000)) * time.Millisecond }
	var faults []fault
	for range 8 {
		a := r.IntN(simMaxMembers)
		faults = append(faults, fault{Kind: faultPause, A: a, Run: randomTime()}, fault{Kind: faultResume, A: a, Run: randomTime()})
	}
	return faults
}

func randomFaults(r *rand.Rand) []fault {
	faults := make([]fault, 40)
	for i := range faults {
		faults[i] = fault{
			Kind: r.IntN(faultKindCount),
			A:    r.IntN(simMaxMembers),
			B:    r.IntN(simMaxMembers),
			Run:  time.Duration(r.IntN(3000)) * time.Millisecond,
		}
	}
	return faults
}
