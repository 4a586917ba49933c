package stream

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
		fmt.Printf("%.2f to %.2f\n", Pause(n, 0.1, 5, 1), Pause(n, 0.1, 5, 0))
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
	type line struct{ N int }
	Follow(ctx, Source{URL: srv.URL, Silence: 0.3, Least: 0.001, Most: 0.002, Client: &http.Client{Transport: tr},
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
