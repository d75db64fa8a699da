package admission

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/usage"
)

// This file defines the shares of client accounts. The work that an account has started
// lately is compared with what it usually starts, and its growth with that of all accounts:
// a burst of all accounts puts none over its share, and a large account may stay large.
// The work at other daemons counts as far as it is known.

// faded is a sum whose terms decay exponentially with their age.
type faded struct {
	sum float64
	at  time.Time
}

func (f *faded) value(now time.Time, mean time.Duration) float64 {
	if f.sum == 0 || !now.After(f.at) {
		return f.sum
	}
	return f.sum * math.Exp(-float64(now.Sub(f.at))/float64(mean))
}

func (f *faded) add(now time.Time, mean time.Duration, x float64) {
	f.sum = f.value(now, mean) + x
	f.at = now
}

// use is the work that has been started, lately and usually.
type use struct {
	// account is empty for the work of several accounts.
	account       fescuelatch.AccountID
	recent, usual faded
	// told is when other daemons were told of it.
	told time.Time
	// level caches how far an account is over its share at a time, and byTotals whether that
	// is by the work at all daemons.
	level    int
	byTotals bool
	levelAt  time.Time
}

func (u *use) add(now time.Time, cost float64) {
	u.recent.add(now, recentTime, cost)
	u.usual.add(now, usualTime, cost)
}

// shares is the use of the endpoints of a model by account.
type shares struct {
	model    fescuelatch.ModelID
	fleet    *fleet
	since    time.Time
	all      use
	requests faded
	accounts map[fescuelatch.AccountID]*use
	others   use
	swept    time.Time
}

func newShares(now time.Time) *shares {
	return &shares{since: now, accounts: make(map[fescuelatch.AccountID]*use), fleet: new(fleet)}
}

// of returns the use of an account.
func (s *shares) of(now time.Time, a fescuelatch.AccountID) *use {
	u := s.accounts[a]
	if u != nil {
		return u
	}
	if len(s.accounts) >= maxAccounts && now.Sub(s.swept) >= recentTime {
		s.sweep(now)
		s.swept = now
	}
	if len(s.accounts) >= maxAccounts {
		return &s.others
	}
	u = &use{account: a}
	s.accounts[a] = u
	return u
}

// sweep forgets the accounts that have been idle for so long that nothing is left to count.
func (s *shares) sweep(now time.Time) {
	for a, u := range s.accounts {
		if now.Sub(u.usual.at) > 4*usualTime {
			delete(s.accounts, a)
		}
	}
}

// add counts started work.
func (s *shares) add(now time.Time, u *use, cost float64) {
	u.add(now, cost)
	s.all.add(now, cost)
	s.requests.add(now, usualTime, 1)
	u.levelAt = time.Time{}
}

// growth returns the ratio of recent to usual work, which is at least a given value. slack is
// work that either may have had by chance.
func growth(w usage.Work, least, slack float64) float64 {
	return (w.Recent + slack) / (max(w.Usual, least) + slack)
}

// work returns the work of this daemon, which has been counted for a time. Until usualTime has
// passed, what is usual is known from a shorter time.
func work(now time.Time, u *use, counted time.Duration) usage.Work {
	return usage.Work{
		Recent: u.recent.value(now, recentTime) / coverage(counted, recentTime),
		Usual:  u.usual.value(now, usualTime) / coverage(counted, usualTime) * float64(recentTime) / float64(usualTime),
	}
}

// toldAge is the time for which work counts as observed at least when it is added to that of
// other daemons: a daemon that has just started does not know what is usual.
func (s *shares) toldAge(now time.Time) time.Duration { return max(s.age(now), recentTime) }

func (s *shares) age(now time.Time) time.Duration { return max(now.Sub(s.since), time.Millisecond) }

// coverage returns the share of an exponential mean that a time since its start covers.
func coverage(age, mean time.Duration) float64 { return 1 - math.Exp(-float64(age)/float64(mean)) }

// over returns the ratio of an account's growth to that of all accounts.
func (s *shares) over(now time.Time, u *use) float64 {
	requests := s.requests.value(now, usualTime)
	if requests < certainWork {
		return 1
	}
	slack := certainWork * s.all.usual.value(now, usualTime) / requests
	account, all, accounts := work(now, u, s.age(now)), work(now, &s.all, s.age(now)), len(s.accounts)
	if others, ok := s.fleet.of(now, s.model); ok && u.account != "" {
		w, named := others.account(u.account)
		if !named {
			return 1
		}
		account, all = work(now, u, s.toldAge(now)).Plus(w), work(now, &s.all, s.toldAge(now)).Plus(others.all)
		accounts = max(accounts, others.accounts)
	}
	// Each account may have as much as the mean one.
	mean := all.Usual / float64(accounts+1)
	return growth(account, mean, slack) / growth(all, 0, slack)
}

// levelTime is how long a level counts unless its account starts work.
const levelTime = 50 * time.Millisecond

// levelOf returns how far an account is over its share: 0 if it is not, then 1 for each
// doubling.
func (s *shares) levelOf(now time.Time, u *use) int {
	if u.levelAt.IsZero() || now.Sub(u.levelAt) >= levelTime {
		u.levelAt, u.level, u.byTotals = now, 0, u.account != "" && s.fleet.knows(now, s.model)
		if over := s.over(now, u); over > overShare {
			u.level = 1 + int(math.Log2(over/overShare))
		}
	}
	return u.level
}

// overByTotals reports whether an account is over its share by the work at all daemons.
func (s *shares) overByTotals(now time.Time, u *use) bool {
	return s.levelOf(now, u) > 0 && u.byTotals
}

// costOf returns the work of a request in units of one without tokens.
func costOf(r *fescuelatch.Request) float64 {
	return min(1+float64(r.PromptTokens+outputCost*r.OutputTokens)/costUnit, maxCost)
}
