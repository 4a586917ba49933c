// Package stream follows newline-delimited JSON over a streamed HTTP response, and comes back when it breaks.
package stream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

// Pause is how long to wait before try number n (0 the first) at a service that may be coming back to many clients at
// once: twice as long each time up to most, of which a random half is taken away. chance is from 0 to 1.
func Pause(n int, least, most, chance float64) float64 {
	full := most
	if n < 40 {
		full = min(most, least*float64(uint64(1)<<n))
	}
	return full * (1 - chance/2)
}

const mostLine = 64 << 20 // bytes

// Source is where a stream comes from.
type Source struct {
	URL         string
	Silence     float64 // s without a line after which the stream is taken for broken
	Least, Most float64 // s of pause before coming back
	Log         *slog.Logger
	Client      *http.Client  // without a time-out of its own
	Next        func() string // optional: the URL of the next try, in place of URL
	Alive       func()        // optional: told of each empty line, which says that nothing changed
}

// Follow gives each line to take until ctx ends. A line that is no JSON, or that take refuses, breaks the stream: what
// follows it might build on it, so the whole is asked for anew. Lost is called when a stream that had lines breaks.
func Follow[T any](ctx context.Context, s Source, take func(*T) error, lost func()) {
	for n := 0; ctx.Err() == nil; n++ {
		if s.Next != nil {
			s.URL = s.Next()
		}
		lines, err := s.once(ctx, func(text []byte) error {
			line := new(T)
			if err := json.Unmarshal(text, line); err != nil {
				return err
			}
			return take(line)
		})
		if ctx.Err() != nil {
			return
		}
		if lines > 0 {
			n = 0
			lost()
		}
		wait := Pause(n, s.Least, s.Most, rand.Float64())
		s.Log.Warn("stream broke", "url", s.URL, "lines", lines, "error", err, "again_in", fmt.Sprintf("%.2fs", wait))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
	}
}

// once reads one stream to its end and tells how many lines were taken.
func (s Source) once(ctx context.Context, take func([]byte) error) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.Duration(s.Silence * float64(time.Second))
	quiet := time.AfterFunc(silence, func() { cancel(fmt.Errorf("silent for %g s", s.Silence)) })
	defer quiet.Stop()
	why := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		return 0, err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return 0, why(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.New(resp.Status)
	}
	in := bufio.NewScanner(resp.Body)
	in.Buffer(make([]byte, 64<<10), mostLine)
	for in.Scan() {
		quiet.Reset(silence)
		if len(in.Bytes()) == 0 {
			if s.Alive != nil {
				s.Alive()
			}
			continue
		}
		if err := take(in.Bytes()); err != nil {
			return lines, fmt.Errorf("line %d: %w", lines+1, err)
		}
		lines++
	}
	if err := in.Err(); err != nil {
		return lines, why(err)
	}
	return lines, errors.New("ended by the service")
}
