package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file tests that packed capacity counts are decoded correctly while
// daemons have different generations.

func TestSparesWhileGenerationsDiffer(t *testing.T) {
	c := qt.New(t)
	d := new(Daemon)
	for g := range fescuelatch.Generation(maxNumberings + 1) {
		conf := &fescuelatch.Configuration{Generation: g + 1, Inventory: fescuelatch.Inventory{
			Models: []fescuelatch.Model{{ID: "m"}}, Versions: []fescuelatch.Version{{ID: "m@2", Model: "m"}},
		}}
		if g > 0 {
			// The new version sorts before the existing one.
			conf.Inventory.Versions = append(conf.Inventory.Versions, fescuelatch.Version{ID: "m@1", Model: "m"})
		}
		v, err := fescuelatch.NewView(conf)
		c.Assert(err, qt.IsNil)
		if g == 1 {
			h := &peer.Hello{Generation: 1, Counts: peer.Counts{0, 5, 0, 8}}
			d.numberings.forView(v)
			c.Assert(d.sparesOf(h, peerState{}), qt.DeepEquals, []fescuelatch.Spare{{Version: "m@2", Free: 5, Slots: 8}})
		}
		d.numberings.forView(v)
	}
	before := peerState{hello: peer.Hello{Incarnation: "i", Spares: []fescuelatch.Spare{{Version: "m@2", Free: 1}}}}
	unknown := &peer.Hello{Incarnation: "i", Generation: 1, Counts: peer.Counts{0, 5, 0, 8}}
	c.Assert(d.sparesOf(unknown, before), qt.DeepEquals, before.hello.Spares)
	unknown.Incarnation = "j"
	c.Assert(d.sparesOf(unknown, before), qt.HasLen, 0)
	c.Assert(d.sparesOf(&before.hello, peerState{}), qt.DeepEquals, before.hello.Spares)
}
