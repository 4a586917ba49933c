// Package promclient queries Prometheus servers over their HTTP API, with limits on bytes, series and time, and without
// following redirects. A Client converts one answer to plain series, or refuses it with a cause; a Poller periodically
// sends all configured queries to all servers. Package metricsanalysis interprets the answers.
//
// Instants are float64 seconds since 1970, durations float64 seconds, as in the settings.
package promclient

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/api"
	v1 "github.com/prometheus/client_golang/api/prometheus/v1"
	"github.com/prometheus/common/model"

	"flintspread/internal/metricsanalysis"
	"flintspread/internal/metricsanalysis/promquery"
)

const (
	idleConnsPerServer = 8
	idleConnTimeout    = time.Minute
	maxDetailBytes     = 200 // of server-provided text in an error
)

// Cause is the reason why an answer was refused.
type Cause uint8

// The causes of refusals.
const (
	CauseUnreachable   Cause = iota // no connection, or it broke
	CauseTimedOut                   // no complete answer within the timeout
	CauseBusy                       // status 429 or 503
	CauseRedirected                 // redirects are not followed
	CauseQueryFailed                // another error status, or the server reports that the query failed
	CauseTooLarge                   // above Limits.MaxBytes
	CauseTooManySeries              // above Limits.MaxSeries
	CausePartial                    // the server returned warnings
	CauseMalformed                  // not an API response, or not of the requested form
)

// String returns the cause as used in metric labels.
func (c Cause) String() string {
	return [...]string{"unreachable", "timed out", "busy", "redirected", "failed", "too big", "too many series", "partial", "malformed"}[c]
}

// jobOutcome returns whether the cause counts as a failure of the server or only of the one question.
func (c Cause) jobOutcome() metricsanalysis.JobOutcome {
	switch c {
	case CauseUnreachable, CauseTimedOut, CauseBusy, CauseRedirected:
		return metricsanalysis.ServerFailed
	default:
		return metricsanalysis.JobFailed
	}
}

// QueryError is the error for an answer that was refused. All errors of Client.Query are of type *QueryError.
type QueryError struct {
	Server            string // its name in the settings
	Cause             Cause
	RetryAfterSeconds float64 // pause that the server asked for; 0: none
	Detail            string
}

// Error implements error.
func (r *QueryError) Error() string {
	return fmt.Sprintf("query server %s: %s: %s", r.Server, r.Cause, r.Detail)
}

// Limits bounds the cost of one query.
type Limits struct {
	TimeoutSeconds float64
	MaxBytes       int64
	MaxSeries      int
}

// Client queries one server. It is safe for concurrent use.
type Client struct {
	name      string
	limits    Limits
	api       v1.API
	transport *boundedTransport
}

// Request is one query.
type Request struct {
	Query        string
	Form         promquery.Form // expected form of the answer
	At           float64        // evaluation time, seconds since 1970
	RangeSeconds float64        // for promquery.Range: how far back the answer goes
	StepSeconds  float64        // for promquery.Range: time between two values
}

// LabeledSeries is one series of an answer, oldest point first.
type LabeledSeries struct {
	Labels model.Metric
	Points []metricsanalysis.Point
}

// NewClient returns a client for the server at address, a URL. name identifies the server in errors. It does not
// connect until the first query.
func NewClient(name, address string, limits Limits) (*Client, error) {
	transport := &boundedTransport{maxBytes: limits.MaxBytes, next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: toDuration(limits.TimeoutSeconds)}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true, // otherwise a small body could expand to a large answer
	}}
	client, err := api.NewClient(api.Config{Address: address, Client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}})
	if err != nil {
		return nil, err
	}
	return &Client{name: name, limits: limits, api: v1.NewAPI(client), transport: transport}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.next.CloseIdleConnections() }

// Query sends one query. It blocks until the answer is read, the timeout expires or ctx ends. All errors are of type
// *RefusedError.
func (c *Client) Query(ctx context.Context, request Request) (rows []LabeledSeries, err error) {
	head := &responseHead{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, responseHeadKey{}, head), toDuration(c.limits.TimeoutSeconds))
	defer cancel()
	defer func() { // a response that makes the decoder panic must not end the process
		if r := recover(); r != nil {
			rows, err = nil, c.newError(head, CauseMalformed, "%v", r)
		}
	}()
	value, warnings, err := c.send(ctx, request)
	if refused := c.checkResponse(ctx, head, err); refused != nil {
		return nil, refused
	}
	rows, err = convertResult(value, request.Form)
	switch {
	case err != nil:
		return nil, c.newError(head, CauseMalformed, "%v", err)
	case len(rows) > c.limits.MaxSeries:
		return nil, c.newError(head, CauseTooManySeries, "above %d: some label has exploded, or the query names too much", c.limits.MaxSeries)
	case len(warnings) > 0: // the missing part may hold the failures
		return nil, c.newError(head, CausePartial, "warning: %s", truncate(strings.Join(warnings, "; ")))
	}
	return rows, nil
}

// send calls the API.
func (c *Client) send(ctx context.Context, request Request) (value model.Value, warnings v1.Warnings, err error) {
	// Ask for one series above the limit, to distinguish a complete answer from a truncated one.
	options := []v1.Option{v1.WithTimeout(toDuration(c.limits.TimeoutSeconds)), v1.WithLimit(uint64(c.limits.MaxSeries) + 1)}
	if request.Form == promquery.Range {
		queried := v1.Range{Start: toTime(request.At - request.RangeSeconds), End: toTime(request.At), Step: toDuration(request.StepSeconds)}
		value, warnings, _, err = c.api.QueryRange(ctx, request.Query, queried, options...)
	} else {
		value, warnings, _, err = c.api.Query(ctx, request.Query, toTime(request.At), options...)
	}
	return value, warnings, err
}

// checkResponse returns a refusal based on the response head or the error of the call, or nil if the answer can be
// read.
func (c *Client) checkResponse(ctx context.Context, head *responseHead, err error) error {
	var apiError *v1.Error
	switch {
	case head.tooLarge:
		return c.newError(head, CauseTooLarge, "above %d bytes", c.limits.MaxBytes)
	case head.status == http.StatusTooManyRequests || head.status == http.StatusServiceUnavailable:
		return c.newError(head, CauseBusy, "status %d", head.status)
	case head.status/100 == 3:
		return c.newError(head, CauseRedirected, "status %d to %s; give the address that it leads to", head.status, truncate(head.location))
	case err == nil:
		return nil
	case errors.As(err, &apiError):
		return c.newAPIError(head, apiError)
	case ctx.Err() != nil || isTimeout(err):
		return c.newError(head, CauseTimedOut, "no whole answer within %g s", c.limits.TimeoutSeconds)
	default:
		return c.newError(head, CauseUnreachable, "%s", truncate(err.Error()))
	}
}

// newAPIError returns the refusal for an API error: the query failed, or the response is not valid.
func (c *Client) newAPIError(head *responseHead, apiError *v1.Error) error {
	switch apiError.Type {
	case v1.ErrTimeout:
		return c.newError(head, CauseTimedOut, "%s", truncate(apiError.Msg))
	case v1.ErrBadResponse:
		return c.newError(head, CauseMalformed, "%s", truncate(apiError.Msg))
	default:
		return c.newError(head, CauseQueryFailed, "%s: %s", apiError.Type, truncate(apiError.Msg))
	}
}

// newError returns the error for a refused answer.
func (c *Client) newError(head *responseHead, cause Cause, format string, args ...any) error {
	return &QueryError{Server: c.name, Cause: cause, RetryAfterSeconds: retryAfterSeconds(head.retryAfter, time.Now()),
		Detail: fmt.Sprintf(format, args...)}
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// retryAfterSeconds parses a Retry-After header, which is seconds or a date. It returns 0 if the header is missing or
// invalid.
func retryAfterSeconds(text string, now time.Time) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
		return n
	}
	if t, err := http.ParseTime(text); err == nil {
		return max(0, t.Sub(now).Seconds())
	}
	return 0
}

// truncate limits server-provided text to maxDetailBytes.
func truncate(s string) string {
	if len(s) > maxDetailBytes {
		return s[:maxDetailBytes] + "..."
	}
	return s
}

// toDuration converts a duration from the settings.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// toTime converts an instant from seconds since 1970.
func toTime(at float64) time.Time {
	whole, fraction := math.Modf(at)
	return time.Unix(int64(whole), int64(fraction*1e9))
}
