package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/engine"
	"fescuelatch/fleet"
	"fescuelatch/openai"
)

// This file defines the comparison of calls through a daemon with direct calls
// to an engine.

const (
	latencyCalls  = 60
	latencyTokens = 4
)

// Latency compares direct calls with calls through a daemon.
type Latency struct {
	Calls  int        `json:"calls-each"`
	Tokens int        `json:"tokens"`
	First  Comparison `json:"first-token"`
	End    Comparison `json:"end"`
}

// Comparison holds medians and their ratio.
type Comparison struct {
	Direct  time.Duration `json:"direct"`
	Through time.Duration `json:"through-daemon"`
	Ratio   float64       `json:"ratio"`
}

// latencySamples holds the latencies of each call.
type latencySamples struct{ firstToken, end []time.Duration }

// compareLatency calls an engine and a daemon alternately.
func compareLatency(ctx context.Context, f *fleet.Fleet) (Latency, error) {
	i := &f.Configuration.Inventory
	a := f.Configuration.Rules.Accounts[0].ID
	var direct, through latencySamples
	for n := range latencyCalls {
		err := direct.measureCall(ctx, i.Endpoints[0].Address, string(i.Versions[0].ID), http.Header{engine.HeaderAttempt: {fmt.Sprint("direct.", n)}})
		if err != nil {
			return Latency{}, err
		}
		if err := through.measureCall(ctx, i.VMs[0].Caller, string(model), http.Header{"Authorization": {"Bearer " + f.Keys[a]}}); err != nil {
			return Latency{}, err
		}
	}
	return Latency{
		Calls: latencyCalls, Tokens: latencyTokens,
		First: compare(direct.firstToken, through.firstToken), End: compare(direct.end, through.end),
	}, nil
}

func compare(direct, through []time.Duration) Comparison {
	c := Comparison{Direct: median(direct), Through: median(through)}
	c.Ratio = c.Through.Seconds() / c.Direct.Seconds()
	return c
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// measureCall makes and measures one call.
func (s *latencySamples) measureCall(ctx context.Context, to netip.AddrPort, model string, h http.Header) error {
	body, err := json.Marshal(openai.ChatRequest{
		Model: model, MaxTokens: latencyTokens, Stream: true,
		Messages: []openai.Message{{Role: "user", Content: json.RawMessage(`"nonce:latency compare"`)}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	r.Header = h
	r.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", to, resp.Status)
	}
	return s.readAnswer(resp.Body, start)
}

// readAnswer reads a streamed answer to a request sent at start.
func (s *latencySamples) readAnswer(body io.Reader, start time.Time) error {
	var first time.Duration
	err := openai.ReadStream(body, func(c *openai.Chunk) error {
		if first == 0 && c.Text() != "" {
			first = time.Since(start)
		}
		return nil
	})
	if err != nil {
		return errors.WithStack(err)
	}
	s.firstToken = append(s.firstToken, first)
	s.end = append(s.end, time.Since(start))
	return nil
}
