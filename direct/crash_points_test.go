package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests which crashes daemons recognise.

// crashAfter returns the behaviour of an endpoint that crashes on certain requests once begin
// has returned. Other requests are answered as b does.
func crashAfter(begin fakeplatform.Behaviour, b fakeplatform.Behaviour) func(*fakeplatform.Supervised) fakeplatform.Behaviour {
	return func(s *fakeplatform.Supervised) fakeplatform.Behaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if !crashing(&fakeplatform.Request{Method: r.Method, Target: r.RequestURI, Header: r.Header, Body: string(body)}) {
				b(w, r)
				return
			}
			begin(w, r)
			s.Crash()
			panic(http.ErrAbortHandler)
		}
	}
}

// partOfAnswer sends the head of an answer without length and some of its body. Its connection
// ends with the process.
func partOfAnswer(contentType, body string, header ...string) fakeplatform.Behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		c, b, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nFescuelatch-Attempt-Id: %s\r\nFescuelatch-Response-Signature: s\r\n%s\r\n%s", contentType, r.Header.Get("Fescuelatch-Attempt-Id"), strings.Join(header, ""), body)
		_ = b.Flush()
		time.Sleep(20 * time.Millisecond)
		go func() {
			time.Sleep(10 * time.Millisecond) // The process has ended.
			_ = c.Close()
		}()
	}
}

// closesFirst closes the connection a moment before the process ends.
func closesFirst(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = c.Close()
	time.Sleep(20 * time.Millisecond)
}

// partOfFramedAnswer sends a part of an answer with a length.
func partOfFramedAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
}

// staysOpen leaves the connection open, as a process does whose end is not seen on it.
func staysOpen(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	time.AfterFunc(20*time.Second, func() { _ = c.Close() })
}

// TestCrashWithinAnswerIsNoCrash guards against daemons that send a request to one endpoint after
// the other, as each crashes at another point than before the answer.
func TestCrashWithinAnswerIsNoCrash(t *testing.T) {
	const parts = "a0:40,b0:30,p7:10"
	stream := sameRequest(5, http.MethodPost, "lm.example", "/write/dead", crashingBody, parts)
	lookup := sameRequest(5, http.MethodGet, "desk.example", "/look/dead", "", "")
	ban := sameRequest(5, http.MethodPost, "desk.example", "/ban/dead", "", "")
	tests := []struct {
		name    string
		request load
		begin   fakeplatform.Behaviour
		alone   bool // no other requests
	}{
		{"lookup with length, part of the body", lookup, partOfFramedAnswer, false},
		{"lookup without length, part of the body", lookup, partOfAnswer("text/plain", "half"), false},
		{"stream without length, one event", stream, partOfAnswer("text/event-stream", "id: 1\ndata: event 1\n\n"), false},
		{"stream, two events at once", stream, furtherEvents(2, 0), false},
		{"stream, four events in 0.8 s", stream, furtherEvents(4, 200*time.Millisecond), false},
		{"the connection ends before the process", lookup, closesFirst, false},
		{"the connection ends before the process, alone", lookup, closesFirst, true},
		{"the connection stays open", lookup, staysOpen, false},
		{"the connection stays open, alone", lookup, staysOpen, true},
		{"the connection of a stream stays open", stream, staysOpen, false},
		{"not repeatable, without length, part of the body", ban, partOfAnswer("text/plain", "half"), false},
		{"lookup without length, part of the body, announced end", lookup, partOfAnswer("text/plain", "half", "Connection: close\r\n"), false},
		{"stream without length, one event, announced end", stream, partOfAnswer("text/event-stream", "id: 1\ndata: event 1\n\n", "Connection: close\r\n"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const during = 10 * time.Second
			service, answer := "lm", shortStream
			others := sameRequest(40, http.MethodPost, "lm.example", "/write/x", "", "a0:40,b0:30,p8:10")
			if test.request.host == "desk.example" {
				service, answer = "desk", plainAnswer
				others = sameRequest(40, http.MethodGet, "desk.example", "/look/x", "", "")
			}
			f, all := newSupervisedFleet(t, service, 4, 8, crashAfter(test.begin, answer))
			f.play(others, time.Second)
			var plays sync.WaitGroup
			told, sent, answered := 0, 0, 0
			plays.Go(func() { _, told = f.play(test.request, during) })
			if !test.alone {
				sent, answered = f.play(others, during)
			}
			plays.Wait()
			crashes := crashTimes(all)
			f.Logf("%d crashes, %d callers have an answer that looks complete, %d of %d others answered", len(crashes), told, answered, sent)
			f.Check(told, qt.Equals, 0)
			if len(crashes) >= allowedCrashes {
				got := triesAfter(all, crashes[allowedCrashes-1].Add(learningTime))
				f.Check(got <= allowedLater, qt.IsTrue, qt.Commentf("%d tries later than %s after the third of %d crashes", got, learningTime, len(crashes)))
			}
		})
	}
}

// TestGracefulStopBlocksRequest guards against requests that are held responsible for the end of
// endpoints which refuse connections before they have answered their last requests.
func TestGracefulStopBlocksRequest(t *testing.T) {
	const (
		stops = 11
		pause = 600 * time.Millisecond
	)
	tests := []struct {
		name, service string
		request       func(n int) load
		answer        fakeplatform.Behaviour
	}{
		{"lookups", "desk", func(n int) load {
			return sameRequest(4, http.MethodGet, "desk.example", fmt.Sprint("/look/", n), "", "")
		}, slowly(500*time.Millisecond, plainAnswer)},
		{"streams", "lm", func(n int) load {
			return sameRequest(4, http.MethodPost, "lm.example", "/write/x", fmt.Sprint(n), "a0:40,b0:30,p8:10")
		}, slowly(300*time.Millisecond, shortStream)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const requests = 5
			f, all := newSupervisedFleet(t, test.service, 4, 8, fakeplatform.Sound(test.answer))
			var plays sync.WaitGroup
			plays.Go(func() {
				for n := range stops {
					time.Sleep(pause)
					all[n%len(all)].Stop()
				}
			})
			for n := range requests {
				plays.Go(func() {
					sent, answered := f.play(test.request(n), (stops+1)*pause)
					f.Check(answered >= sent*95/100, qt.IsTrue, qt.Commentf("%d of %d answered", answered, sent))
				})
			}
			plays.Wait()
			time.Sleep(2 * restartAfter)
			for n := range requests {
				sent, answered := f.play(test.request(n), 600*time.Millisecond)
				f.Check(answered, qt.Equals, sent, qt.Commentf("request %d", n))
			}
		})
	}
}
