// Package promclient queries Prometheus servers over their HTTP API within bounds of bytes, series and time, and without
// following redirects. A Client reads one answer into plain series, or refuses it with a cause; a Poller sends all configured
// queries to all servers, each in its time. What the answers mean, package metricsanalysis decides.
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
	maxDetailBytes     = 200 // of a server's own words in an error
)

// Cause is why an answer was refused.
type Cause uint8

// The causes of a refusal.
const (
	CauseUnreachable   Cause = iota // no connection, or it broke
	CauseTimedOut                   // no whole answer in time
	CauseBusy                       // status 429 or 503
	CauseRedirected                 // to an address that the settings do not name
	CauseFailed                     // another status, or the server says that the query failed
	CauseTooBig                     // above the limit of bytes
	CauseTooManySeries              // above the limit of series
	CausePartial                    // with warnings
	CauseMalformed                  // no answer of the API, or not of the form asked for
)

// String gives the cause as a metric's label has it.
func (c Cause) String() string {
	return [...]string{"unreachable", "timed out", "busy", "redirected", "failed", "too big", "too many series", "partial", "malformed"}[c]
}

// jobOutcome tells whether the server is to be left alone for it, or only the one question.
func (c Cause) jobOutcome() metricsanalysis.JobOutcome {
	switch c {
	case CauseUnreachable, CauseTimedOut, CauseBusy, CauseRedirected:
		return metricsanalysis.ServerFailed
	default:
		return metricsanalysis.JobRefused
	}
}

// RefusedError is an answer that does not count. It is the only error of Client.Query.
type RefusedError struct {
	Server            string // by its name in the settings
	Cause             Cause
	RetryAfterSeconds float64 // that the server wants to be left alone, 0: it does not say
	Detail            string
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("query server %s: %s: %s", r.Server, r.Cause, r.Detail)
}

// Limits bounds the cost of one answer.
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
	Form         promquery.Form // of the answer
	At           float64        // the instant as of which it is answered
	RangeSeconds float64        // of promquery.Range: how far back the answer goes
	StepSeconds  float64        // of promquery.Range: between two values
}

// Row is one series of an answer, oldest point first.
type Row struct {
	Labels model.Metric
	Points []metricsanalysis.Point
}

// NewClient makes a client of the server at an address, a URL; name stands for the server in errors. It connects when it is used.
func NewClient(name, address string, limits Limits) (*Client, error) {
	transport := &boundedTransport{maxBytes: limits.MaxBytes, next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: seconds(limits.TimeoutSeconds)}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true, // else a small body could hold a large answer
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

// Query sends one query. It blocks until the answer is read, the timeout is over or ctx ends. Its errors are all of type *RefusedError.
func (c *Client) Query(ctx context.Context, request Request) (rows []Row, err error) {
	head := &responseHead{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, responseHeadKey{}, head), seconds(c.limits.TimeoutSeconds))
	defer cancel()
	defer func() { // whatever a server sends must not end the process, also where the decoder panics over it
		if r := recover(); r != nil {
			rows, err = nil, c.refuse(head, CauseMalformed, "%v", r)
		}
	}()
	value, warnings, err := c.send(ctx, request)
	if refused := c.checkResponse(ctx, head, err); refused != nil {
		return nil, refused
	}
	rows, err = readRows(value, request.Form)
	switch {
	case err != nil:
		return nil, c.refuse(head, CauseMalformed, "%v", err)
	case len(rows) > c.limits.MaxSeries:
		return nil, c.refuse(head, CauseTooManySeries, "above %d: some label has exploded, or the query names too much", c.limits.MaxSeries)
	case len(warnings) > 0: // what a partial answer lacks may be what went wrong
		return nil, c.refuse(head, CausePartial, "warning: %s", truncate(strings.Join(warnings, "; ")))
	}
	return rows, nil
}

// send makes the API's call.
func (c *Client) send(ctx context.Context, request Request) (value model.Value, warnings v1.Warnings, err error) {
	// One series more than allowed tells a full answer from one that the server cut.
	options := []v1.Option{v1.WithTimeout(seconds(c.limits.TimeoutSeconds)), v1.WithLimit(uint64(c.limits.MaxSeries) + 1)}
	if request.Form == promquery.Range {
		queried := v1.Range{Start: timeOf(request.At - request.RangeSeconds), End: timeOf(request.At), Step: seconds(request.StepSeconds)}
		value, warnings, _, err = c.api.QueryRange(ctx, request.Query, queried, options...)
	} else {
		value, warnings, _, err = c.api.Query(ctx, request.Query, timeOf(request.At), options...)
	}
	return value, warnings, err
}

// checkResponse refuses a response by its head, or by the error of the call. It gives nil for an answer that can be read.
func (c *Client) checkResponse(ctx context.Context, head *responseHead, err error) error {
	var apiError *v1.Error
	switch {
	case head.tooBig:
		return c.refuse(head, CauseTooBig, "above %d bytes", c.limits.MaxBytes)
	case head.status == http.StatusTooManyRequests || head.status == http.StatusServiceUnavailable:
		return c.refuse(head, CauseBusy, "status %d", head.status)
	case head.status/100 == 3:
		return c.refuse(head, CauseRedirected, "status %d to %s; give the address that it leads to", head.status, truncate(head.location))
	case err == nil:
		return nil
	case errors.As(err, &apiError):
		return c.refuseAPIError(head, apiError)
	case ctx.Err() != nil || isTimeout(err):
		return c.refuse(head, CauseTimedOut, "no whole answer within %g s", c.limits.TimeoutSeconds)
	default:
		return c.refuse(head, CauseUnreachable, "%s", truncate(err.Error()))
	}
}

// refuseAPIError refuses an answer that says that the query failed, or that is none of the API.
func (c *Client) refuseAPIError(head *responseHead, apiError *v1.Error) error {
	switch apiError.Type {
	case v1.ErrTimeout:
		return c.refuse(head, CauseTimedOut, "%s", truncate(apiError.Msg))
	case v1.ErrBadResponse:
		return c.refuse(head, CauseMalformed, "%s", truncate(apiError.Msg))
	default:
		return c.refuse(head, CauseFailed, "%s: %s", apiError.Type, truncate(apiError.Msg))
	}
}

// refuse makes the error of an answer that does not count.
func (c *Client) refuse(head *responseHead, cause Cause, format string, args ...any) error {
	return &RefusedError{Server: c.name, Cause: cause, RetryAfterSeconds: retryAfterSeconds(head.retryAfter, time.Now()),
		Detail: fmt.Sprintf(format, args...)}
}

// isTimeout tells whether an error is a deadline of the network.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// retryAfterSeconds reads a Retry-After header, which is seconds or a date; 0 where there is none or it makes no sense.
func retryAfterSeconds(text string, now time.Time) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
		return n
	}
	if t, err := http.ParseTime(text); err == nil {
		return max(0, t.Sub(now).Seconds())
	}
	return 0
}

// truncate shortens a server's own words.
func truncate(s string) string {
	if len(s) > maxDetailBytes {
		return s[:maxDetailBytes] + "..."
	}
	return s
}

// seconds converts a duration of the settings.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// timeOf converts an instant, seconds since 1970.
func timeOf(at float64) time.Time {
	whole, fraction := math.Modf(at)
	return time.Unix(int64(whole), int64(fraction*1e9))
}
