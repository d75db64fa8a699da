package quality

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
)

// require fails t unless ok. A rapid.T is not a testing.TB.
func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}

// drawEvidence draws evidence of a few origins, some of it invalid.
func drawEvidence(t *rapid.T) fescuelatch.Evidence {
	rated := rapid.Float64Range(0, 50).Draw(t, "rated")
	attempts := rapid.Float64Range(0, 50).Draw(t, "attempts")
	since := rapid.IntRange(-9000, 100).Draw(t, "since")
	return fescuelatch.Evidence{
		Origin:   rapid.SampledFrom([]fescuelatch.Incarnation{"a", "b", "c", "d", "e"}).Draw(t, "origin"),
		Version:  rapid.SampledFrom([]fescuelatch.VersionID{"triage@base", "triage@small", "other"}).Draw(t, "version"),
		Since:    epoch.Add(time.Duration(since) * time.Second),
		Updated:  epoch.Add(time.Duration(since+rapid.IntRange(-1, 9000).Draw(t, "length")) * time.Second),
		Rated:    rated,
		Good:     rated * rapid.Float64Range(0, 1.01).Draw(t, "good"),
		Attempts: attempts,
		Failed:   attempts * rapid.Float64Range(0, 1.01).Draw(t, "failed"),
		Alarm:    rapid.Float64Range(0, 12).Draw(t, "alarm"),
	}
}

// TestMergeProperties checks that merging is independent of the order, grouping
// and repetition of evidence, and that memory is bounded. It excludes the pooled
// statistic, which depends on the order of arrival; see TestMergeRatings.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawEvidence), 0, 30).Draw(t, "evidence")
		shuffled := rapid.Permutation(append(list, list...)).Draw(t, "shuffled")
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		a, b := New("a", Settings{MaxOrigins: limit}), New("a", Settings{MaxOrigins: limit})
		a.Configure(epoch, versions)
		b.Configure(epoch, versions)
		a.Merge(epoch, list)
		for i := range shuffled {
			b.Merge(epoch, shuffled[i:i+1])
			for _, r := range b.records {
				r.counts(epoch, &b.settings)
			}
		}
		for _, v := range versions {
			require(t, len(a.records[v.ID].peers) <= limit, "%d origins", len(a.records[v.ID].peers))
			require(t, slices.Equal(a.records[v.ID].peers, b.records[v.ID].peers), "%v", a.records[v.ID].peers)
			x, y := a.records[v.ID].counts(epoch, &a.settings), b.records[v.ID].counts(epoch, &b.settings)
			require(t, x == y, "%+v and %+v", x, y)
			require(t, b.Estimate(epoch, v.ID) == a.Estimate(epoch, v.ID), "%v", a.Estimate(epoch, v.ID))
			require(t, b.Health(epoch, v.ID) == a.Health(epoch, v.ID), "%v", a.Health(epoch, v.ID))
		}
	})
}

// TestModelProperties applies random operations and checks that estimates are
// ordered and in range, that evidence is valid for other daemons, and that a
// quarantined version is suspect before it is good again.
func TestModelProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := newModel("a"), epoch
		last := fescuelatch.HealthGood
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 200).Draw(t, "steps")
		score := rapid.Float64Range(-0.5, 1.5)
		for _, step := range steps {
			switch step {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			case 1:
				e := drawEvidence(t)
				e.LogRatio = rapid.Float64Range(-20, 20).Draw(t, "log ratio")
				e.Pooled = rapid.Float64Range(0, 12).Draw(t, "pooled")
				m.Merge(now, []fescuelatch.Evidence{e})
			case 2:
				m.ObserveAttempt(now, fescuelatch.AttemptResult{Version: "triage@small", Endpoint: "e1", Status: fescuelatch.AttemptBroken})
			default:
				m.ObserveRating(now, "triage@small", score.Draw(t, "score"))
			}
			h := m.Health(now, "triage@small")
			require(t, last != fescuelatch.HealthQuarantined || h != fescuelatch.HealthGood, "%s after %s", h, last)
			last = h
			e := m.Estimate(now, "triage@small")
			require(t, 0 <= e.Low && e.Low <= e.High && e.High <= 1 && 0 <= e.Mean && e.Mean <= 1, "%+v", e)
		}
		for _, e := range m.Evidence(now) {
			require(t, valid(now, &e, &m.settings), "%+v", e)
		}
	})
}
