// Package promclient queries Prometheus servers over their HTTP API, with limits on bytes, series and time, and without
// following redirects. A Client sends one query and returns the series of its result, or an error with a cause. A Poller
// periodically sends all configured queries to all servers. Package metricsanalysis interprets the results.
//
// Timestamps are float64 seconds since 1970, durations float64 seconds, as in the settings.
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
	maxDetailBytes     = 200 // maximum length of server-provided text in an error
)

// Cause is the reason why a query failed or its result was rejected.
type Cause uint8

// The causes of a QueryError.
const (
	CauseUnreachable   Cause = iota // no connection, or the connection broke
	CauseTimedOut                   // no complete response within the timeout
	CauseBusy                       // status 429 or 503
	CauseRedirected                 // a redirect, which is not followed
	CauseQueryFailed                // another error status, or the server reported that the query failed
	CauseTooLarge                   // response larger than Limits.MaxBytes
	CauseTooManySeries              // more series than Limits.MaxSeries
	CausePartial                    // the server returned warnings, so data may be missing
	CauseMalformed                  // not a valid API response, or not of the requested form
)

// String returns the cause as used in metric labels.
func (c Cause) String() string {
	return [...]string{"unreachable", "timed out", "busy", "redirected", "failed", "too big", "too many series", "partial", "malformed"}[c]
}

// jobOutcome returns ServerFailed for a cause that affects all queries to the server, and JobFailed for one that affects
// only the query.
func (c Cause) jobOutcome() metricsanalysis.JobOutcome {
	switch c {
	case CauseUnreachable, CauseTimedOut, CauseBusy, CauseRedirected:
		return metricsanalysis.ServerFailed
	default:
		return metricsanalysis.JobFailed
	}
}

// QueryError is the error of a query that failed or whose result was rejected.
type QueryError struct {
	Server            string // name in the settings
	Cause             Cause
	RetryAfterSeconds float64 // pause that the server requested; 0: none
	Detail            string
}

// Error implements error.
func (e *QueryError) Error() string {
	return fmt.Sprintf("query server %s: %s: %s", e.Server, e.Cause, e.Detail)
}

// Limits bounds the cost of a query.
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
	Form         promquery.Form // form of the query and of the expected result
	At           float64        // evaluation time, seconds since 1970
	RangeSeconds float64        // for promquery.Range: length of the time range, which ends at At
	StepSeconds  float64        // for promquery.Range: time between two values
}

// LabeledSeries is one series of a query result, oldest point first.
type LabeledSeries struct {
	Labels model.Metric
	Points []metricsanalysis.Point
}

// NewClient returns a client for the server at a URL. name identifies the server in errors. The client does not connect
// before the first query.
func NewClient(name, url string, limits Limits) (*Client, error) {
	transport := &boundedTransport{maxBytes: limits.MaxBytes, next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: toDuration(limits.TimeoutSeconds)}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true, // a small compressed body could expand to a large response
	}}
	client, err := api.NewClient(api.Config{Address: url, Client: &http.Client{
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

// Query sends a query. It blocks until the response is read, the timeout expires or ctx ends. All errors are of type
// *QueryError.
func (c *Client) Query(ctx context.Context, request Request) (series []LabeledSeries, err error) {
	head := &responseHead{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, responseHeadKey{}, head), toDuration(c.limits.TimeoutSeconds))
	defer cancel()
	defer func() { // a response on which the decoder panics must not crash the process
		if r := recover(); r != nil {
			series, err = nil, c.newError(head, CauseMalformed, "panic while decoding the response: %v", r)
		}
	}()
	value, warnings, err := c.send(ctx, request)
	if responseErr := c.checkResponse(ctx, head, err); responseErr != nil {
		return nil, responseErr
	}
	series, err = convertResult(value, request.Form)
	switch {
	case err != nil:
		return nil, c.newError(head, CauseMalformed, "%v", err)
	case len(series) > c.limits.MaxSeries:
		return nil, c.newError(head, CauseTooManySeries, "more than %d; a label may have too many values, or the query selects too much", c.limits.MaxSeries)
	case len(warnings) > 0: // the missing data may include the failures
		return nil, c.newError(head, CausePartial, "warning: %s", truncate(strings.Join(warnings, "; ")))
	}
	return series, nil
}

// send calls the query API.
func (c *Client) send(ctx context.Context, request Request) (value model.Value, warnings v1.Warnings, err error) {
	// The limit is one series higher than MaxSeries, to distinguish a complete result from a truncated one.
	options := []v1.Option{v1.WithTimeout(toDuration(c.limits.TimeoutSeconds)), v1.WithLimit(uint64(c.limits.MaxSeries) + 1)}
	if request.Form == promquery.Range {
		timeRange := v1.Range{Start: toTime(request.At - request.RangeSeconds), End: toTime(request.At), Step: toDuration(request.StepSeconds)}
		value, warnings, _, err = c.api.QueryRange(ctx, request.Query, timeRange, options...)
	} else {
		value, warnings, _, err = c.api.Query(ctx, request.Query, toTime(request.At), options...)
	}
	return value, warnings, err
}

// checkResponse returns a QueryError for an error status, an oversized response or a failed call, or nil if the result is
// usable.
func (c *Client) checkResponse(ctx context.Context, head *responseHead, err error) error {
	var apiError *v1.Error
	switch {
	case head.tooLarge:
		return c.newError(head, CauseTooLarge, "response exceeds %d bytes", c.limits.MaxBytes)
	case head.status == http.StatusTooManyRequests || head.status == http.StatusServiceUnavailable:
		return c.newError(head, CauseBusy, "status %d", head.status)
	case head.status/100 == 3:
		return c.newError(head, CauseRedirected, "status %d to %s; redirects are not followed: configure the URL of the target", head.status, truncate(head.location))
	case err == nil:
		return nil
	case errors.As(err, &apiError):
		return c.newAPIError(head, apiError)
	case ctx.Err() != nil || isTimeout(err):
		return c.newError(head, CauseTimedOut, "no complete response within %g s", c.limits.TimeoutSeconds)
	default:
		return c.newError(head, CauseUnreachable, "%s", truncate(err.Error()))
	}
}

// newAPIError converts an error of the API: the query failed, or the response is not valid.
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

// newError returns a QueryError. Its RetryAfterSeconds comes from the response head.
func (c *Client) newError(head *responseHead, cause Cause, format string, args ...any) error {
	return &QueryError{Server: c.name, Cause: cause, RetryAfterSeconds: retryAfterSeconds(head.retryAfter, time.Now()),
		Detail: fmt.Sprintf(format, args...)}
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// retryAfterSeconds parses a Retry-After header, which holds seconds or a date. It returns 0 if the header is missing or
// invalid.
func retryAfterSeconds(header string, now time.Time) float64 {
	if n, err := strconv.ParseFloat(header, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
		return n
	}
	if t, err := http.ParseTime(header); err == nil {
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

// toDuration converts a number of seconds to a time.Duration.
func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// toTime converts a timestamp from seconds since 1970.
func toTime(at float64) time.Time {
	whole, fraction := math.Modf(at)
	return time.Unix(int64(whole), int64(fraction*1e9))
}
