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
	for _, attempt := range []int{0, 1, 2, 5, 39, 40, 1 << 40} {
		fmt.Printf("%.2f to %.2f\n", Backoff(attempt, 0.1, 5, 1), Backoff(attempt, 0.1, 5, 0))
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

// write sends text to a client. It is not an error if the client has disconnected by then.
func write(t *testing.T, w http.ResponseWriter, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		t.Log("the client has disconnected:", err)
	}
}

// flush sends buffered text to a client. It is not an error if the client has disconnected by then.
func flush(t *testing.T, w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Log("the client has disconnected:", err)
	}
}

// In whichever way a stream breaks, Follow reports the break and reconnects.
func TestFollowReconnects(t *testing.T) {
	defer goleak.VerifyNone(t)
	var attempt atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch attempt.Add(1) {
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
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	source := Source{
		URL:               server.URL,
		SilenceSeconds:    0.3,
		BackoffMinSeconds: 0.001,
		BackoffMaxSeconds: 0.002,
		Client:            &http.Client{Transport: transport},
		Log:               slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	var handled []string
	breaks := 0
	Follow(ctx, source, func(o *object) error {
		if o.N < 0 {
			return errors.New("below 0")
		}
		handled = append(handled, fmt.Sprint(o.N))
		if o.N == 6 {
			cancel()
		}
		return nil
	}, func() { breaks++ })
	if got := strings.Join(handled, " "); got != "1 2 3 4 5 6" || breaks != 5 {
		t.Errorf("handled objects %s, %d breaks reported; want objects 1 2 3 4 5 6, 5 breaks", got, breaks)
	}
}

// attemptHandler handles one request for the stream. clientGone is closed when the client disconnects.
type attemptHandler func(send func(string), clientGone <-chan struct{})

// follow runs a service that handles each attempt with the next handler, and sends the object numbered 9 after the last.
// It follows the stream until that object is handled, and returns the numbers of the objects handled, and the log.
func follow(t *testing.T, edit func(*Source), handlers ...attemptHandler) (got, log string) {
	t.Helper()
	var attempt atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		i := min(int(attempt.Add(1)), len(handlers)+1) - 1
		send := func(text string) {
			write(t, w, text)
			flush(t, w)
		}
		if i == len(handlers) {
			send("{\"n\":9}\n")
			<-req.Context().Done()
			return
		}
		handlers[i](send, req.Context().Done())
	}))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var logText strings.Builder
	source := Source{
		URL:               server.URL,
		SilenceSeconds:    0.3,
		BackoffMinSeconds: 0.001,
		BackoffMaxSeconds: 0.002,
		Client:            &http.Client{Transport: transport},
		Log:               slog.New(slog.NewTextHandler(&logText, nil)),
	}
	if edit != nil {
		edit(&source)
	}
	var handled []string
	Follow(ctx, source, func(o *object) error {
		handled = append(handled, fmt.Sprint(o.N))
		if o.N == 9 {
			cancel()
		}
		return nil
	}, func() {})
	return strings.Join(handled, " "), logText.String()
}

// An object may span several lines and arrive in any pieces, and several objects may arrive at once.
func TestObjectsInAnyPieces(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, _ := follow(t, nil, func(send func(string), _ <-chan struct{}) {
		send("{\n  \"n\": 1\n}\n\n{\n\n\t\"n\":\n2}")
		for _, c := range "\n \n{\"n\" : 3 }{\"n\":4}\r\n{\"x\":\"}{\\\"\",\"n\":5}" {
			send(string(c))
		}
		send("{\"n\":6}{\"n\":7}{\"n\"")
		send(":8}\n")
	})
	if want := "1 2 3 4 5 6 7 8 9"; got != want {
		t.Errorf("handled objects %s, want %s", got, want)
	}
}

// A stream that delivers no data for too long must be requested again, at whichever point it stops. White space between
// objects is a heartbeat, white space within an object is not.
func TestSilentStreamIsRequestedAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	silentAfter := func(text string) attemptHandler {
		return func(send func(string), clientGone <-chan struct{}) {
			if text != "" {
				send(text)
			}
			<-clientGone
		}
	}
	heartbeats := 0
	got, log := follow(t, func(s *Source) { s.ResponseTimeoutSeconds, s.OnHeartbeat = 0.2, func() { heartbeats++ } },
		silentAfter(""), silentAfter("\n"), silentAfter("{\"n\":1}\n{\"n\":"), silentAfter("{\"n\":2}\n\n"),
		silentAfter("{\"n\":3,\n\n"))
	if got != "1 2 9" || heartbeats != 1 {
		t.Errorf("handled objects %s, %d heartbeats; want objects 1 2 9, 1 heartbeat", got, heartbeats)
	}
	beforeResponse, afterResponse := strings.Count(log, "silent for 0.2 s"), strings.Count(log, "silent for 0.3 s")
	if beforeResponse != 1 || afterResponse != 4 {
		t.Errorf("%d streams silent before the response, %d after its start; want 1 and 4; the log is\n%s",
			beforeResponse, afterResponse, log)
	}
}

// An endless object must be rejected before it exhausts the memory, with the limit in the log.
func TestTooLargeObjectIsRejected(t *testing.T) {
	defer goleak.VerifyNone(t)
	got, log := follow(t, func(s *Source) { s.MaxObjectBytes = 1000 }, func(send func(string), clientGone <-chan struct{}) {
		for range 100 {
			send("{\"n\":1}" + strings.Repeat(" ", 100) + "\n")
		}
		send("{\"n\":2,\"x\":\"" + strings.Repeat("x", 50_000))
		<-clientGone
	})
	const limitError = "larger than the limit of 1000 bytes"
	if !strings.HasSuffix(got, "1 1 9") || !strings.Contains(log, limitError) {
		t.Errorf("handled objects %s, want \"1 1 9\" at the end; want %q in the log\n%s", got, limitError, log)
	}
}

// Guards against a watch that never begins: a service that took longer to respond than the timeout was given up each time, for
// good. The timeout grows until a response begins in it.
func TestSlowResponseIsAwaited(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done(): // the watch gave it up
			return
		case <-time.After(300 * time.Millisecond):
		}
		write(t, w, "{\"n\":1}\n")
		flush(t, w)
		<-req.Context().Done()
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	source := Source{URL: server.URL, SilenceSeconds: 5, ResponseTimeoutSeconds: 0.05, MaxResponseSeconds: 2, BackoffMinSeconds: 0.01, BackoffMaxSeconds: 0.01,
		Client: client, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	objects := 0
	Follow(ctx, source, func(*object) error { objects++; cancel(); return nil }, func() {})
	if objects == 0 {
		t.Error("no object within 5 s of a service that takes 0.3 s to respond")
	}
}

// The response timeout grows up to its bound with responses that take too long, and only with these; a quick response ends that.
func TestResponseTimeout(t *testing.T) {
	silent, refused := fmt.Errorf("%w for 1 s", errSilent), errors.New("connection refused")
	timeout := responseTimeout{1, 1, 3}
	for i, step := range []struct {
		seconds float64
		err     error
		want    float64
	}{{1, silent, 2}, {0, refused, 2}, {2, silent, 3}, {3, silent, 3}, {1.5, nil, 3}, {0.2, nil, 1}, {0.9, refused, 1}} {
		if timeout.onResponse(step.seconds, step.err); timeout.seconds != step.want {
			t.Errorf("step %d: %g s, want %g s", i, timeout.seconds, step.want)
		}
	}
	fixed := responseTimeout{1, 1, 0}
	if fixed.onResponse(1, silent); fixed.seconds != 1 {
		t.Errorf("%g s, want 1 s without growth", fixed.seconds)
	}
}
