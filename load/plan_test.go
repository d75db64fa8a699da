package load_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/load"
)

func profile() *load.Profile {
	return &load.Profile{
		Rate: 100, Duration: 20 * time.Second, Seed: 7, Run: "r",
		Mix: load.DefaultMix(),
		Accounts: []load.Account{
			{
				ID: "large", Weight: 3,
				Models:   []fescuelatch.ModelID{"triage"},
				Versions: []fescuelatch.VersionID{"triage@1"},
				Others:   []fescuelatch.VersionID{"review@1"},
				Calls: []load.ServiceCall{
					{Service: "desk", Operation: fescuelatch.Operation{ID: "ban"}},
					{Service: "desk", Operation: fescuelatch.Operation{ID: "history", Idempotent: true}},
				},
			},
			{ID: "small", Weight: 1, Versions: []fescuelatch.VersionID{"review@1"}},
		},
	}
}

func TestPlanIsRepeatable(t *testing.T) {
	c := qt.New(t)
	a, err := load.Plan(profile())
	c.Assert(err, qt.IsNil)
	b, err := load.Plan(profile())
	c.Assert(err, qt.IsNil)
	c.Assert(a, qt.DeepEquals, b)
	p := profile()
	p.Seed = 8
	d, err := load.Plan(p)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Not(qt.DeepEquals), a)
}

func TestPlanKeepsRateAndWeights(t *testing.T) {
	c := qt.New(t)
	calls, err := load.Plan(profile())
	c.Assert(err, qt.IsNil)
	var first, large float64
	var last time.Duration
	for _, k := range calls {
		c.Assert(k.At >= last, qt.IsTrue)
		last = k.At
		if k.Repeat {
			continue
		}
		first++
		if k.Account == "large" {
			large++
		}
	}
	// Allow four standard deviations of the counts.
	const mean = 2000
	c.Assert(math.Abs(first-mean) < 4*math.Sqrt(mean), qt.IsTrue, qt.Commentf("%v calls", first))
	c.Assert(math.Abs(large/first-0.75) < 4*math.Sqrt(0.75*0.25/mean), qt.IsTrue, qt.Commentf("%v", large/first))
}

func TestPlanRepeatsShareKeyAndNonce(t *testing.T) {
	c := qt.New(t)
	calls, err := load.Plan(profile())
	c.Assert(err, qt.IsNil)
	byNonce := make(map[string]load.Call)
	var repeats int
	for _, k := range calls {
		f, ok := byNonce[k.Nonce]
		if !ok {
			c.Assert(k.Repeat, qt.IsFalse)
			byNonce[k.Nonce] = k
			continue
		}
		repeats++
		c.Assert(k.Repeat, qt.IsTrue)
		c.Assert(k.Key, qt.Not(qt.Equals), "")
		c.Assert(k.Key, qt.Equals, f.Key)
		c.Assert(k.Choice, qt.Equals, f.Choice+1)
	}
	c.Assert(repeats > 0, qt.IsTrue)
}

func TestPlanBursts(t *testing.T) {
	c := qt.New(t)
	p := profile()
	p.Rate = 0
	p.Bursts = []load.Burst{{Account: "small", From: 2 * time.Second, To: 4 * time.Second, Rate: 200}}
	calls, err := load.Plan(p)
	c.Assert(err, qt.IsNil)
	c.Assert(len(calls) > 300, qt.IsTrue)
	for _, k := range calls {
		c.Assert(k.Account, qt.Equals, fescuelatch.AccountID("small"))
		c.Assert(k.At >= 2*time.Second, qt.IsTrue)
	}
}

func TestPlanFaults(t *testing.T) {
	tests := []struct {
		name string
		edit func(*load.Profile)
	}{
		{"no duration", func(p *load.Profile) { p.Duration = 0 }},
		{"no account", func(p *load.Profile) { p.Accounts = nil }},
		{"negative rate", func(p *load.Profile) { p.Rate = -1 }},
		{"too many calls", func(p *load.Profile) { p.Rate = 1e9 }},
		{"unknown account", func(p *load.Profile) { p.Bursts = []load.Burst{{Account: "none"}} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := profile()
			test.edit(p)
			_, err := load.Plan(p)
			qt.Assert(t, err, qt.ErrorMatches, "plan: profile: .*")
		})
	}
}

func TestCheckAnswer(t *testing.T) {
	tests := []struct {
		name string
		text string
		want load.AnswerFault
	}{
		{"whole", "nonce:a w0 w1 end:a", load.FaultNone},
		{"whole and marked bad", "nonce:a w0 marker:bad end:a", load.FaultNone},
		{"empty", "", load.FaultPartial},
		{"cut", "nonce:a w0", load.FaultPartial},
		{"no end marker", "nonce:a w0 w1 w2", load.FaultPartial},
		{"no start marker", "w0 w1 w2 end:a", load.FaultPartial},
		{"a token missing", "nonce:a w0 end:a", load.FaultPartial},
		{"answer of another request", "nonce:b w0 w1 end:b", load.FaultForeign},
		{"spliced", "nonce:a w0 w1 end:b", load.FaultForeign},
		{"duplicated", "nonce:a w0 w1 end:a nonce:a w0 w1 end:a", load.FaultSurplus},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, load.CheckAnswer(test.text, "a", 2), qt.Equals, test.want)
		})
	}
}
