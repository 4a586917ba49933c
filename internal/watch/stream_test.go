package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func Example_pause() {
	for _, n := range []int{0, 1, 2, 5, 39, 40, 1 << 40} {
		fmt.Printf("%.2f to %.2f\n", Backoff(n, 0.1, 5, 1), Backoff(n, 0.1, 5, 0))
	}
	// Output:
	// 0.05 to 0.10
	// 0.10 to 0.20
	// 0.20 to 0.40
	// 1.60 to 3.20
	// 2.50 to 5.00
	// 2.50 to 5.00
	// 2.50 to 5.00
}

type line struct{ N int }

// Every way a stream can break: it is told, and the stream is asked for anew.
func TestFollow(t *testing.T) {
	defer goleak.VerifyNone(t)
	var try atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		flush := func() { http.NewResponseController(w).Flush() }
		switch try.Add(1) {
		case 1: // an error
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case 2: // ends after a line
			io.WriteString(w, "{\"n\":1}\n\n")
		case 3: // a line cut off
			io.WriteString(w, "{\"n\":2}\n{\"n\":")
		case 4: // no JSON
			io.WriteString(w, "{\"n\":3}\nhello\n{\"n\":99}\n")
		case 5: // refused by the taker
			io.WriteString(w, "{\"n\":-1}\n{\"n\":99}\n")
		case 6: // falls silent
			io.WriteString(w, "{\"n\":4}\n")
			flush()
			<-req.Context().Done()
		case 7: // broken off
			io.WriteString(w, "{\"n\":5}\n")
			flush()
			panic(http.ErrAbortHandler)
		default:
			io.WriteString(w, "{\"n\":6}\n")
			flush()
			<-req.Context().Done()
		}
	}))
	defer srv.Close()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var got []string
	lost := 0
	Follow(ctx, Source{URL: srv.URL, SilenceSeconds: 0.3, BackoffMinSeconds: 0.001, BackoffMaxSeconds: 0.002, Client: &http.Client{Transport: tr},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		func(l *line) error {
			if l.N < 0 {
				return errors.New("below 0")
			}
			got = append(got, fmt.Sprint(l.N))
			if l.N == 6 {
				cancel()
			}
			return nil
		}, func() { lost++ })
	if s := strings.Join(got, " "); s != "1 2 3 4 5 6" || lost != 5 {
		t.Errorf("lines %s, lost %d times", s, lost)
	}
}

// follow plays what a service does with each try, until the object numbered 9 is taken; it gives what was taken, and the log.
func follow(t *testing.T, edit func(*Source), tries ...func(say func(string), gone <-chan struct{})) (got, log string) {
	t.Helper()
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		i := min(int(n.Add(1)), len(tries)+1) - 1
		say := func(text string) {
			io.WriteString(w, text)
			http.NewResponseController(w).Flush()
		}
		if i == len(tries) {
			say("{\"n\":9}\n")
			<-req.Context().Done()
			return
		}
		tries[i](say, req.Context().Done())
	}))
	defer srv.Close()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out strings.Builder
	s := Source{URL: srv.URL, SilenceSeconds: 0.3, BackoffMinSeconds: 0.001, BackoffMaxSeconds: 0.002, Client: &http.Client{Transport: tr}, Log: slog.New(slog.NewTextHandler(&out, nil))}
	if edit != nil {
		edit(&s)
	}
	var all []string
	Follow(ctx, s, func(l *line) error {
		all = append(all, fmt.Sprint(l.N))
		if l.N == 9 {
			cancel()
		}
		return nil
	}, func() {})
	return strings.Join(all, " "), out.String()
}

// An object may come over several lines and in any pieces, and several may come at once.
func TestLayout(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, _ := follow(t, nil, func(say func(string), _ <-chan struct{}) {
		say("{\n  \"n\": 1\n}\n\n{\n\n\t\"n\":\n2}")
		for _, c := range "\n \n{\"n\" : 3 }{\"n\":4}\r\n{\"x\":\"}{\\\"\",\"n\":5}" {
			say(string(c))
		}
		say("{\"n\":6}{\"n\":7}{\"n\"")
		say(":8}\n")
	})
	if got != "1 2 3 4 5 6 7 8 9" {
		t.Error(got)
	}
}

// A stream that falls silent is broken wherever that is, and asked for anew; heartbeats keep it, and none counts within an object.
func TestSilence(t *testing.T) {
	defer goleak.VerifyNone(t)
	quiet := func(before string) func(func(string), <-chan struct{}) {
		return func(say func(string), gone <-chan struct{}) {
			if before != "" {
				say(before)
			}
			<-gone
		}
	}
	beats := 0
	got, log := follow(t, func(s *Source) { s.OpenSeconds, s.OnHeartbeat = 0.2, func() { beats++ } },
		quiet(""), quiet("\n"), quiet("{\"n\":1}\n{\"n\":"), quiet("{\"n\":2}\n\n"), quiet("{\"n\":3,\n\n"))
	if got != "1 2 9" || beats != 1 {
		t.Errorf("%s, %d heartbeats", got, beats)
	}
	if n := strings.Count(log, "silent for 0.2 s"); n != 1 || strings.Count(log, "silent for 0.3 s") != 4 {
		t.Errorf("%d silent before the answer's head:\n%s", n, log)
	}
}

// An object without end is refused before it fills the memory, and the log says so.
func TestTooLarge(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, log := follow(t, func(s *Source) { s.MaxObjectBytes = 1000 }, func(say func(string), gone <-chan struct{}) {
		for range 100 {
			say("{\"n\":1}" + strings.Repeat(" ", 100) + "\n")
		}
		say("{\"n\":2,\"x\":\"" + strings.Repeat("x", 50_000))
		<-gone
	})
	if !strings.HasSuffix(got, "1 1 9") || !strings.Contains(log, "an object above 1000 bytes") {
		t.Errorf("%s\n%s", got, log)
	}
}
