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

// defaultMaxObjectBytes is used if Source.MaxObjectBytes is 0.
const defaultMaxObjectBytes = 64 << 20

// responseTimeoutGrowth is the factor by which the response timeout grows after a response that took too long.
const responseTimeoutGrowth = 2

var (
	errStreamEnded = errors.New("the service ended the stream")
	errSilent      = errors.New("silent")
)

// Source describes a stream and when it is considered broken.
type Source struct {
	URL                    string
	SilenceSeconds         float64      // time without a byte after which the stream is considered broken
	ResponseTimeoutSeconds float64      // time within which the response must begin; 0: SilenceSeconds
	MaxResponseSeconds     float64      // the response timeout grows up to this while responses take too long; 0: not at all
	MaxObjectBytes         int64        // maximum size of one object; 0: 64 MiB
	BackoffMinSeconds      float64      // maximum pause before the first retry
	BackoffMaxSeconds      float64      // maximum pause before any retry
	Client                 *http.Client // must have no timeout of its own
	Log                    *slog.Logger

	NextURL     func() string // optional: returns the URL for each attempt, replacing URL
	OnHeartbeat func()        // optional: called for each heartbeat between objects, which means that nothing has changed
}

// Follow passes each object of a stream to handle until ctx ends. The stream may deliver objects in any pieces. An
// object that cannot be decoded, or for which handle returns an error, breaks the stream: later objects might depend on
// it, so Follow reconnects and reads the stream from its start. onBreak is called whenever a stream from which objects
// were handled breaks before ctx has ended. Follow blocks until ctx ends, and calls both functions on the caller's
// goroutine.
func Follow[T any](ctx context.Context, source Source, handle func(*T) error, onBreak func()) {
	timeout := responseTimeout{source.responseTimeoutSeconds(), source.responseTimeoutSeconds(), source.MaxResponseSeconds}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if source.NextURL != nil {
			source.URL = source.NextURL()
		}
		objects, err := followOnce(ctx, source, &timeout, handle)
		if ctx.Err() != nil {
			return
		}
		if objects > 0 {
			attempt = 0
			onBreak()
		}
		pause := Backoff(attempt, source.BackoffMinSeconds, source.BackoffMaxSeconds, rand.Float64())
		source.Log.Warn("stream failed; reconnecting after a delay", "url", source.URL, "objects", objects, "error", err,
			"retry_in_seconds", fmt.Sprintf("%.2f", pause))
		select {
		case <-ctx.Done():
		case <-time.After(duration(pause)):
		}
	}
}

// responseTimeout is the time within which a response must begin. A service that is slow is not absent: the time grows until
// a response begins in it, and is the shortest again once one begins in that.
type responseTimeout struct{ seconds, shortest, longest float64 }

// onResponse records after which time a response began, or with which error there was none.
func (t *responseTimeout) onResponse(seconds float64, err error) {
	switch {
	case err == nil && seconds < t.shortest:
		t.seconds = t.shortest
	case errors.Is(err, errSilent):
		t.seconds = max(t.seconds, min(t.longest, t.seconds*responseTimeoutGrowth))
	}
}

// followOnce reads one stream to its end, and returns the number of objects handled and the reason of the end.
func followOnce[T any](ctx context.Context, source Source, timeout *responseTimeout, handle func(*T) error) (objects int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := startSilenceTimer(timeout.seconds, cancel)
	defer silence.stop()

	requestedAt := time.Now()
	response, err := openStream(ctx, source)
	timeout.onResponse(time.Since(requestedAt).Seconds(), err)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("unexpected response status %s", response.Status)
	}
	silence.reset(source.SilenceSeconds)

	reader := &objectReader{
		body:           response.Body,
		onBytes:        func() { silence.reset(source.SilenceSeconds) },
		onHeartbeat:    source.OnHeartbeat,
		maxObjectBytes: source.maxObjectBytes(),
	}
	for decoder := json.NewDecoder(reader); ; objects++ {
		object := new(T)
		if err := decoder.Decode(object); errors.Is(err, io.EOF) {
			return objects, causeOr(ctx, errStreamEnded)
		} else if err != nil {
			return objects, causeOr(ctx, fmt.Errorf("object %d: %w", objects+1, err))
		}
		if err := handle(object); err != nil {
			return objects, fmt.Errorf("object %d: %w", objects+1, err)
		}
		if err := reader.beginNextObject(decoder.Buffered()); err != nil {
			return objects + 1, err
		}
	}
}

// openStream requests the stream; the caller must close the response's body.
func openStream(ctx context.Context, source Source) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.URL, nil)
	if err != nil {
		return nil, err
	}
	response, err := source.Client.Do(request)
	if err != nil {
		return nil, causeOr(ctx, err)
	}
	return response, nil
}

// causeOr returns the cause of ctx's cancellation, or err if ctx is not cancelled.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (s *Source) responseTimeoutSeconds() float64 {
	if s.ResponseTimeoutSeconds == 0 {
		return s.SilenceSeconds
	}
	return s.ResponseTimeoutSeconds
}

func (s *Source) maxObjectBytes() int64 {
	if s.MaxObjectBytes == 0 {
		return defaultMaxObjectBytes
	}
	return s.MaxObjectBytes
}

// silenceTimer cancels a stream that has delivered no data for too long. Its methods must be called only from the
// stream's goroutine.
type silenceTimer struct {
	timer          *time.Timer
	allowedSeconds float64 // written only while the timer is stopped, so that its function can read without a lock
}

func startSilenceTimer(allowedSeconds float64, cancel context.CancelCauseFunc) *silenceTimer {
	s := &silenceTimer{allowedSeconds: allowedSeconds}
	s.timer = time.AfterFunc(duration(allowedSeconds), func() { cancel(fmt.Errorf("%w for %g s", errSilent, s.allowedSeconds)) })
	return s
}

// reset restarts the timer. A timer that has fired is not restarted: it has cancelled the stream, and the next read
// fails.
func (s *silenceTimer) reset(allowedSeconds float64) {
	if s.timer.Stop() {
		s.allowedSeconds = allowedSeconds
		s.timer.Reset(duration(allowedSeconds))
	}
}

func (s *silenceTimer) stop() { s.timer.Stop() }

// duration converts a number of seconds to a time.Duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// objectReader reads a stream's bytes. It reports received bytes and heartbeats, and fails on an object larger than
// maxObjectBytes, so that an endless object cannot exhaust the memory.
type objectReader struct {
	body           io.Reader
	onBytes        func()
	onHeartbeat    func() // may be nil
	maxObjectBytes int64

	objectBytes int64 // bytes read since the last complete object
	inObject    bool  // the next object has started
}

// beginNextObject must be called when an object is decoded; buffered holds the bytes that the decoder has read beyond it.
func (r *objectReader) beginNextObject(buffered io.Reader) error {
	rest, err := io.ReadAll(buffered)
	if err != nil {
		return err
	}
	r.objectBytes, r.inObject = int64(len(rest)), hasNonSpace(rest)
	return nil
}

// Read implements io.Reader. White space between objects is a heartbeat.
func (r *objectReader) Read(buf []byte) (int, error) {
	n, err := r.body.Read(buf)
	if n == 0 {
		return n, err
	}
	r.onBytes()
	r.inObject = r.inObject || hasNonSpace(buf[:n])
	if !r.inObject {
		r.objectBytes = 0
		if r.onHeartbeat != nil {
			r.onHeartbeat()
		}
		return n, err
	}
	r.objectBytes += int64(n)
	if r.objectBytes > r.maxObjectBytes {
		return n, fmt.Errorf("larger than the limit of %d bytes", r.maxObjectBytes)
	}
	return n, err
}

func hasNonSpace(text []byte) bool { return len(bytes.TrimSpace(text)) > 0 }
