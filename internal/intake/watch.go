package intake

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"fescuelatch/internal/pause"
)

// This file defines what is shown of a budget.

// watchInterval is the time between two looks, and so between two log lines on refusals.
const watchInterval = time.Second

// Watch shows the use of the budget and what was refused, in metrics and in the log, until ctx
// ends.
func (b *Budget) Watch(ctx context.Context, s tally.Scope, log *slog.Logger) {
	w := watch{s, log, make(map[Refusal]int64)}
	for pause.For(ctx, watchInterval) {
		w.show(b.Usage())
	}
}

// watch is what has been shown of a budget.
type watch struct {
	scope tally.Scope
	log   *slog.Logger
	seen  map[Refusal]int64
}

func (w *watch) show(u Usage) {
	w.scope.Gauge("intake_limit_bytes").Update(float64(u.Limit))
	w.scope.Gauge("intake_connections").Update(float64(u.Connections))
	w.scope.Gauge("intake_links").Update(float64(u.Links))
	for _, k := range Kinds() {
		w.scope.Tagged(map[string]string{"kind": string(k)}).Gauge("intake_bytes").Update(float64(u.Used[k]))
	}
	refused := make(map[string]int64)
	for r, n := range u.Refused {
		if more := n - w.seen[r]; more > 0 {
			refused[fmt.Sprintf("%s-%s", r.Kind, r.Reason)] = more
			w.scope.Tagged(map[string]string{"kind": string(r.Kind), "reason": string(r.Reason)}).Counter("intake_refused").Inc(more)
		}
		w.seen[r] = n
	}
	if len(refused) > 0 {
		w.log.Warn("callers hold too much memory or too many connections", "refused", refused, "limit", u.Limit, "answer-limit", u.AnswerLimit,
			"used", u.Used, "account", u.Account, "account-bytes", u.AccountBytes, "connections", u.Connections, "max-connections", u.Most, "links", u.Links)
	}
}
