// Package stream follows JSON objects over a streamed HTTP response, and comes back when it breaks.
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

// Backoff is how long to wait before try number n (0 the first) at a service that may be coming back to many clients at
// once: twice as long each time up to most, of which a random half is taken away. chance is from 0 to 1.
func Backoff(n int, least, most, chance float64) float64 {
	full := most
	if n < 40 {
		full = min(most, least*float64(uint64(1)<<n))
	}
	return full * (1 - chance/2)
}

const mostObject = 64 << 20 // bytes

// Source is where a stream comes from.
type Source struct {
	URL                                  string
	SilenceSeconds                       float64 // s without a byte after which the stream is taken for broken
	OpenSeconds                          float64 // s within which the service must begin to answer, 0: as Silence
	MaxObjectBytes                       int64   // bytes of one object at most, 0: 64 MiB
	BackoffMinSeconds, BackoffMaxSeconds float64 // s of pause before coming back
	Log                                  *slog.Logger
	Client                               *http.Client  // without a time-out of its own
	NextURL                              func() string // optional: the URL of the next try, in place of URL
	OnHeartbeat                          func()        // optional: told of each heartbeat between objects, which says that nothing changed
}

// Follow gives each object to take until ctx ends, however it is laid out in lines and pieces. One that can't be read, or that take
// refuses, breaks the stream: what follows it might build on it, so the whole is asked for anew. Lost is called when a stream that
// had objects breaks.
func Follow[T any](ctx context.Context, s Source, take func(*T) error, lost func()) {
	for n := 0; ctx.Err() == nil; n++ {
		if s.NextURL != nil {
			s.URL = s.NextURL()
		}
		objects, err := once(ctx, s, take)
		if ctx.Err() != nil {
			return
		}
		if objects > 0 {
			n = 0
			lost()
		}
		wait := Backoff(n, s.BackoffMinSeconds, s.BackoffMaxSeconds, rand.Float64())
		s.Log.Warn("stream broke", "url", s.URL, "objects", objects, "error", err, "again_in", fmt.Sprintf("%.2fs", wait))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
	}
}

// once reads one stream to its end and tells how many objects were taken.
func once[T any](ctx context.Context, s Source, take func(*T) error) (objects int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.OpenSeconds == 0 {
		s.OpenSeconds = s.SilenceSeconds
	}
	if s.MaxObjectBytes == 0 {
		s.MaxObjectBytes = mostObject
	}
	span := func(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }
	allowed := s.OpenSeconds
	quiet := time.AfterFunc(span(allowed), func() { cancel(fmt.Errorf("silent for %g s", allowed)) })
	defer quiet.Stop()
	heard := func() {
		if quiet.Stop() { // else it has cancelled, and the next reading tells
			allowed = s.SilenceSeconds
			quiet.Reset(span(allowed))
		}
	}
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
	heard()
	in := &pulse{from: resp.Body, heard: heard, alive: s.OnHeartbeat, most: s.MaxObjectBytes}
	for dec := json.NewDecoder(in); ; objects++ {
		object := new(T)
		if err := dec.Decode(object); err == io.EOF {
			return objects, why(errors.New("ended by the service"))
		} else if err != nil {
			return objects, why(fmt.Errorf("object %d: %w", objects+1, err))
		}
		if err := take(object); err != nil {
			return objects, fmt.Errorf("object %d: %w", objects+1, err)
		}
		rest, _ := io.ReadAll(dec.Buffered())
		in.size, in.begun = int64(len(rest)), len(bytes.TrimSpace(rest)) > 0
	}
}

// pulse is a stream's bytes, watched for signs of life and for an object without end.
type pulse struct {
	from  io.Reader
	heard func()
	alive func()
	most  int64
	size  int64 // bytes since the last whole object
	begun bool  // the next one has begun
}

func (p *pulse) Read(buf []byte) (int, error) {
	n, err := p.from.Read(buf)
	if n == 0 {
		return n, err
	}
	p.heard()
	p.begun = p.begun || len(bytes.TrimSpace(buf[:n])) > 0
	if p.size += int64(n); !p.begun {
		p.size = 0
		if p.alive != nil {
			p.alive()
		}
	} else if p.size > p.most {
		return n, fmt.Errorf("an object above %d bytes", p.most)
	}
	return n, err
}
