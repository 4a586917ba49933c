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

func ExampleBackoff() {
	for _, try := range []int{0, 1, 2, 5, 39, 40, 1 << 40} {
		fmt.Printf("%.2f to %.2f\n", Backoff(try, 0.1, 5, 1), Backoff(try, 0.1, 5, 0))
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

type object struct{ N int }

// write sends text to a client. It is not an error if the client has gone by then.
func write(t *testing.T, w http.ResponseWriter, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		t.Log("client has gone:", err)
	}
}

// flush sends buffered text to a client. It is not an error if the client has gone by then.
func flush(t *testing.T, w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Log("client has gone:", err)
	}
}

// However a stream breaks, Follow reports it and reconnects.
func TestFollow(t *testing.T) {
	defer goleak.VerifyNone(t)
	var try atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch try.Add(1) {
		case 1: // error status
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case 2: // ends after an object
			write(t, w, "{\"n\":1}\n\n")
		case 3: // ends within an object
			write(t, w, "{\"n\":2}\n{\"n\":")
		case 4: // invalid JSON
			write(t, w, "{\"n\":3}\nhello\n{\"n\":99}\n")
		case 5: // rejected by the handler
			write(t, w, "{\"n\":-1}\n{\"n\":99}\n")
		case 6: // falls silent
			write(t, w, "{\"n\":4}\n")
			flush(t, w)
			<-req.Context().Done()
		case 7: // connection aborted
			write(t, w, "{\"n\":5}\n")
			flush(t, w)
			panic(http.ErrAbortHandler)
		default:
			write(t, w, "{\"n\":6}\n")
			flush(t, w)
			<-req.Context().Done()
		}
	}))
	defer srv.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var got []string
	lost := 0
	Follow(ctx, Source{URL: srv.URL, SilenceSeconds: 0.3, BackoffMinSeconds: 0.001, BackoffMaxSeconds: 0.002, Client: &http.Client{Transport: transport},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		func(o *object) error {
			if o.N < 0 {
				return errors.New("below 0")
			}
			got = append(got, fmt.Sprint(o.N))
			if o.N == 6 {
				cancel()
			}
			return nil
		}, func() { lost++ })
	if s := strings.Join(got, " "); s != "1 2 3 4 5 6" || lost != 5 {
		t.Errorf("objects %s, lost %d times", s, lost)
	}
}

// follow runs a service that handles each try as given, until the object numbered 9 is
// handled; it returns the objects handled, and the log.
func follow(t *testing.T, edit func(*Source), tries ...func(send func(string), gone <-chan struct{})) (got, log string) {
	t.Helper()
	var try atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		i := min(int(try.Add(1)), len(tries)+1) - 1
		send := func(text string) {
			write(t, w, text)
			flush(t, w)
		}
		if i == len(tries) {
			send("{\"n\":9}\n")
			<-req.Context().Done()
			return
		}
		tries[i](send, req.Context().Done())
	}))
	defer srv.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out strings.Builder
	source := Source{URL: srv.URL, SilenceSeconds: 0.3, BackoffMinSeconds: 0.001, BackoffMaxSeconds: 0.002, Client: &http.Client{Transport: transport}, Log: slog.New(slog.NewTextHandler(&out, nil))}
	if edit != nil {
		edit(&source)
	}
	var all []string
	Follow(ctx, source, func(o *object) error {
		all = append(all, fmt.Sprint(o.N))
		if o.N == 9 {
			cancel()
		}
		return nil
	}, func() {})
	return strings.Join(all, " "), out.String()
}

// An object may span several lines and arrive in any pieces, and several may arrive at once.
func TestLayout(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, _ := follow(t, nil, func(send func(string), _ <-chan struct{}) {
		send("{\n  \"n\": 1\n}\n\n{\n\n\t\"n\":\n2}")
		for _, c := range "\n \n{\"n\" : 3 }{\"n\":4}\r\n{\"x\":\"}{\\\"\",\"n\":5}" {
			send(string(c))
		}
		send("{\"n\":6}{\"n\":7}{\"n\"")
		send(":8}\n")
	})
	if got != "1 2 3 4 5 6 7 8 9" {
		t.Error(got)
	}
}

// A stream that falls silent anywhere is broken and requested again; heartbeats keep it alive, except within an object.
func TestSilence(t *testing.T) {
	defer goleak.VerifyNone(t)
	silentAfter := func(before string) func(func(string), <-chan struct{}) {
		return func(send func(string), gone <-chan struct{}) {
			if before != "" {
				send(before)
			}
			<-gone
		}
	}
	heartbeats := 0
	got, log := follow(t, func(s *Source) { s.ResponseTimeoutSeconds, s.OnHeartbeat = 0.2, func() { heartbeats++ } },
		silentAfter(""), silentAfter("\n"), silentAfter("{\"n\":1}\n{\"n\":"), silentAfter("{\"n\":2}\n\n"), silentAfter("{\"n\":3,\n\n"))
	if got != "1 2 9" || heartbeats != 1 {
		t.Errorf("%s, %d heartbeats", got, heartbeats)
	}
	if n := strings.Count(log, "silent for 0.2 s"); n != 1 || strings.Count(log, "silent for 0.3 s") != 4 {
		t.Errorf("%d silent before the answer's head:\n%s", n, log)
	}
}

// An endless object is rejected before it exhausts memory, and the log says so.
func TestTooLarge(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, log := follow(t, func(s *Source) { s.MaxObjectBytes = 1000 }, func(send func(string), gone <-chan struct{}) {
		for range 100 {
			send("{\"n\":1}" + strings.Repeat(" ", 100) + "\n")
		}
		send("{\"n\":2,\"x\":\"" + strings.Repeat("x", 50_000))
		<-gone
	})
	if !strings.HasSuffix(got, "1 1 9") || !strings.Contains(log, "an object above 1000 bytes") {
		t.Errorf("%s\n%s", got, log)
	}
}
