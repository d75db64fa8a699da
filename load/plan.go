package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines plans: the calls of a run, generated from the profile's seed.

// Call is one planned call of a caller.
type Call struct {
	Number int `json:"number"`
	// At is the offset of the call from the start of the run.
	At      time.Duration         `json:"at"`
	Account fescuelatch.AccountID `json:"account"`
	// Choice selects the first target to try.
	Choice int `json:"choice"`
	// Nonce identifies the request; the answer echoes it.
	Nonce string `json:"nonce"`
	// Key is the idempotency key, if any. Repeat reports whether an
	// earlier call has the same key and body.
	Key     string        `json:"key,omitempty"`
	Repeat  bool          `json:"repeat,omitempty"`
	Timeout time.Duration `json:"timeout"`

	// Model is a model, a version or "auto".
	Model    string  `json:"model,omitempty"`
	Quality  float64 `json:"quality,omitempty"`
	Streamed bool    `json:"streamed,omitempty"`
	Tokens   int     `json:"tokens,omitempty"`
	Prefix   int     `json:"prefix,omitempty"`
	Priority string  `json:"priority,omitempty"`
	// Session is a plain session identifier. With KeepsToken, the caller
	// sends the latest token that an answer returned for it instead.
	Session    string `json:"session,omitempty"`
	KeepsToken bool   `json:"keeps-token,omitempty"`

	Service    fescuelatch.ServiceID   `json:"service,omitempty"`
	Operation  fescuelatch.OperationID `json:"operation,omitempty"`
	Idempotent bool                    `json:"idempotent,omitempty"`
}

// IsService reports whether c calls a plain service.
func (c *Call) IsService() bool { return c.Service != "" }

const (
	anyModel           = "auto"
	maxCalls           = 1_000_000
	choiceRange        = 1 << 16
	prefixesPerAccount = 3
	sessionsPerAccount = 6
	maxRepeatDelay     = 2 * time.Second
	minOwnQuality      = 0.70
	maxOwnQuality      = 0.94
	highPriorityShare  = 0.1
	lowPriorityShare   = 0.2
)

// planner generates calls. All random choices use its random source.
type planner struct {
	profile *Profile
	rand    *rand.Rand
	calls   []Call
}

// Plan returns the calls of a run ordered by time. Equal profiles
// give equal plans.
func Plan(p *Profile) ([]Call, error) {
	if p.Rate < 0 || p.Duration <= 0 || len(p.Accounts) == 0 {
		return nil, &Error{"plan", KindProfile, errors.New("requires a non-negative rate, a positive duration and accounts")}
	}
	if p.Rate*p.Duration.Seconds() > maxCalls {
		return nil, &Error{"plan", KindProfile, errors.Errorf("rate and duration give more than %d calls", maxCalls)}
	}
	l := &planner{profile: p, rand: rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b97f4a7c15))}
	for _, at := range l.arrivals(0, p.Duration, p.Rate) {
		l.add(at, l.account())
	}
	for _, b := range p.Bursts {
		a, ok := findAccount(p.Accounts, b.Account)
		if !ok {
			return nil, &Error{"plan", KindProfile, errors.Errorf("burst names unknown account %q", b.Account)}
		}
		for _, at := range l.arrivals(b.From, b.To, b.Rate) {
			l.add(at, a)
		}
	}
	sort.SliceStable(l.calls, func(i, j int) bool { return l.calls[i].At < l.calls[j].At })
	return l.calls, nil
}

func findAccount(as []Account, id fescuelatch.AccountID) (*Account, bool) {
	for n := range as {
		if as[n].ID == id {
			return &as[n], true
		}
	}
	return nil, false
}

// arrivals returns the times of a Poisson process of the given rate in
// [from, to).
func (l *planner) arrivals(from, to time.Duration, rate float64) []time.Duration {
	if rate <= 0 {
		return nil
	}
	var ts []time.Duration
	for t := from; ; {
		t += time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
		if t >= to {
			return ts
		}
		ts = append(ts, t)
	}
}

// account picks a random account by weight.
func (l *planner) account() *Account {
	as := l.profile.Accounts
	var sum float64
	for _, a := range as {
		sum += a.Weight
	}
	u := l.rand.Float64() * sum
	for n := range as {
		u -= as[n].Weight
		if u < 0 {
			return &as[n]
		}
	}
	return &as[len(as)-1]
}

func (l *planner) chance(share float64) bool { return l.rand.Float64() < share }

// add appends a random call of account a at the given time and, for some
// keyed calls, a repeat.
func (l *planner) add(at time.Duration, a *Account) {
	c := Call{
		Number:  len(l.calls),
		At:      at,
		Account: a.ID,
		Choice:  l.rand.IntN(choiceRange),
		Timeout: l.profile.Mix.Timeout,
	}
	c.Nonce = fmt.Sprintf("%s-%d", l.profile.Run, c.Number)
	hasModel := len(a.Models) > 0 || len(a.Versions) > 0
	switch {
	case len(a.Calls) > 0 && (!hasModel || l.chance(l.profile.Mix.Service)):
		l.service(&c, a)
	case hasModel:
		l.model(&c, a)
	default:
		return
	}
	l.calls = append(l.calls, c)
	if c.Key != "" && l.chance(l.profile.Mix.Repeated) {
		l.repeat(c)
	}
}

func (l *planner) service(c *Call, a *Account) {
	s := a.Calls[l.rand.IntN(len(a.Calls))]
	c.Service = s.Service
	c.Operation = s.Operation.ID
	c.Idempotent = s.Operation.Idempotent
	if !l.chance(l.profile.Mix.Keyless) {
		c.Key = "key-" + c.Nonce
	}
}

func (l *planner) model(c *Call, a *Account) {
	m := &l.profile.Mix
	c.Idempotent = true
	c.Model = l.modelName(a)
	c.Streamed = l.chance(m.Streamed)
	c.Tokens = m.MinTokens + l.rand.IntN(m.MaxTokens-m.MinTokens+1)
	c.Prefix = l.rand.IntN(prefixesPerAccount)
	c.Priority = l.priority()
	if l.chance(m.RequiredQuality) {
		c.Quality = minOwnQuality + l.rand.Float64()*(maxOwnQuality-minOwnQuality)
	}
	if l.chance(m.Session) {
		n := l.rand.IntN(sessionsPerAccount)
		c.Session = fmt.Sprintf("session-%s-%s-%s-%d", l.profile.Run, a.ID, c.Model, n)
		c.KeepsToken = n%2 == 0
	}
	if l.chance(m.KeyedModel) {
		c.Key = "key-" + c.Nonce
	}
}

// modelName picks "auto", a version or a model. A Forbidden share names a
// version that a may not use.
func (l *planner) modelName(a *Account) string {
	m := &l.profile.Mix
	if len(a.Others) > 0 && l.chance(m.Forbidden) {
		return string(a.Others[l.rand.IntN(len(a.Others))])
	}
	u := l.rand.Float64()
	switch {
	case u < m.Auto:
		return anyModel
	case u < m.Auto+m.Pinned || len(a.Models) == 0:
		return string(a.Versions[l.rand.IntN(len(a.Versions))])
	default:
		return string(a.Models[l.rand.IntN(len(a.Models))])
	}
}

func (l *planner) priority() string {
	u := l.rand.Float64()
	switch {
	case u < highPriorityShare:
		return "high"
	case u < highPriorityShare+lowPriorityShare:
		return "low"
	default:
		return "normal"
	}
}

// repeat appends the same request for the next target after a random delay,
// possibly while the first call is still in flight.
func (l *planner) repeat(c Call) {
	c.Number = len(l.calls)
	c.At += time.Duration(l.rand.Float64() * float64(maxRepeatDelay))
	c.Choice++
	c.Repeat = true
	l.calls = append(l.calls, c)
}
