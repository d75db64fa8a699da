package placement

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
)

func drawTarget(t *rapid.T) fescuelatch.Target {
	id := rapid.StringMatching("[a-z]{3}").Draw(t, "id")
	s := fescuelatch.Target{
		Spare:      rapid.IntRange(-2, 10).Draw(t, "spare"),
		Sent:       rapid.IntRange(0, 12).Draw(t, "sent"),
		Local:      rapid.Bool().Draw(t, "local"),
		ReportedAt: epoch.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond),
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		s.Endpoint, s.Local, s.Sent = fescuelatch.EndpointID(id), true, 0
	case 1:
		s.VM, s.Own, s.Local, s.Sent = fescuelatch.VMID(id), true, true, 0
	default:
		s.VM = fescuelatch.VMID(id)
	}
	return s
}

// nearest returns the nearest tier in which a target has spare capacity left.
func nearest(targets []fescuelatch.Target) (tier, bool) {
	for t := tierOwn; t <= tierRemote; t++ {
		if slices.ContainsFunc(targets, func(s fescuelatch.Target) bool { return tierOf(&s) == t && s.Spare > s.Sent }) {
			return t, true
		}
	}
	return 0, false
}

// TestChooseProperties checks the invariants of every choice.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SliceOfN(rapid.Custom(drawTarget), 0, 12).Draw(t, "targets")
		r := fescuelatch.Request{
			Prefix:    rapid.SampledFrom([]uint64{0, 1, 2}).Draw(t, "prefix"),
			Forwarded: rapid.Bool().Draw(t, "forwarded"),
		}
		u := rapid.Float64Range(0, 0.999999).Draw(t, "u")
		var p Policy
		i := p.Choose(epoch, &r, targets, u)
		if i != p.Choose(epoch, &r, targets, u) {
			t.Fatalf("the choice differs for the same arguments")
		}
		near, spare := nearest(targets)
		switch {
		case i < none || i >= len(targets):
			t.Fatalf("index %d of %d", i, len(targets))
		case i == none && spare && !r.Forwarded:
			t.Fatalf("no choice although a target has spare capacity")
		case i == none && slices.ContainsFunc(targets, func(s fescuelatch.Target) bool { return tierOf(&s) <= farthestTier(&r) }):
			t.Fatalf("no choice although a target is within the farthest tier")
		case i == none:
			return
		case r.Forwarded && tierOf(&targets[i]) != tierOwn:
			t.Fatalf("a forwarded request is forwarded again")
		case spare && tierOf(&targets[i]) > near:
			t.Fatalf("target %d is farther than tier %d", i, near)
		case spare && near == tierOwn && targets[i].Spare <= 0:
			t.Fatalf("own endpoint %d is full", i)
		}
	})
}
