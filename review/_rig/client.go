package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

var lastCall atomic.Int64

// call is a client attempt and what became of it.
type call struct {
	id, method, path, parts string
	key                     string
	deadline                time.Duration
	body                    string

	sent, ended time.Time
	status      int
	events      int
	err         error // how the answer ended, nil if it is complete
}

func newCall(method, path string) *call {
	return &call{id: fmt.Sprintf("%016x", 0x1c41000000000000+lastCall.Add(1)), method: method, path: path, key: key, deadline: 20 * time.Second}
}

// send sends the attempt to a daemon. onEvent, when set, is called for each event.
func (c *call) send(d *daemon, rec *record, onEvent func(n int)) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		c.err = err
		return
	}
	q.Host = host
	q.Header.Set("Fescuelatch-Attempt-Id", c.id)
	q.Header.Set("Fescuelatch-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	q.Header.Set("X-Api-Key", c.key)
	if c.parts != "" {
		q.Header.Set("Fescuelatch-Model", "daka510000")
		q.Header.Set("Fescuelatch-Token-Usage", "1460,80")
		q.Header.Set("Fescuelatch-Prefix-Hash", c.parts)
	}
	c.sent = time.Now()
	rec.add("client sends %s %s %s to %s (parts %s)", c.id, c.method, c.path, d.name, c.parts)
	defer func() {
		c.ended = time.Now()
		how := "complete"
		if c.err != nil {
			how = "not complete: " + c.err.Error()
		}
		rec.add("client gets %d for %s, %d events, after %v, %s", c.status, c.id, c.events, c.ended.Sub(c.sent).Round(time.Millisecond), how)
	}()
	res, err := transport.RoundTrip(q)
	if err != nil {
		c.err = err
		return
	}
	defer res.Body.Close()
	c.status = res.StatusCode
	b := bufio.NewReader(res.Body)
	for {
		line, err := b.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			c.events++
			if onEvent != nil {
				onEvent(c.events)
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			c.err = err
			return
		}
	}
}

var transport = &http.Transport{DisableCompression: true}
