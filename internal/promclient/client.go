// Package prom asks query servers over their HTTP API, within bounds: of bytes, series and time, without redirects. What comes
// back is read into plain series; what is refused is said by server and cause. It judges nothing.
package promclient

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// Cause is why an answer was refused, for the numbers.
type Cause uint8

const (
	Unreachable Cause = iota // no connection, or it broke
	TimedOut
	Busy       // 429 or 503
	Redirected // to somewhere that the settings do not name
	Failed     // another status, or the server says that the query failed
	TooBig     // above the bytes
	TooMany    // above the series
	Partial    // with warnings
	Malformed  // no answer of the API, or not of the form asked for
	Causes     = int(Malformed) + 1
)

func (c Cause) String() string {
	return [...]string{"unreachable", "timed out", "busy", "redirected", "failed", "too big", "too many series", "partial", "malformed"}[c]
}

// ended tells whether the server is to rest for it, or the one question.
func (c Cause) ended() metricsanalysis.Ended {
	if c <= Redirected {
		return metricsanalysis.Sick
	}
	return metricsanalysis.Declined
}

// Refused is an answer that does not count.
type Refused struct {
	Server string
	Cause  Cause
	After  float64 // s that the server wants to be left alone, 0: it does not say
	What   string
}

func (r *Refused) Error() string {
	return fmt.Sprintf("query server %s: %s: %s", r.Server, r.Cause, r.What)
}

// Limits is what one answer may cost.
type Limits struct {
	Timeout float64 // s
	Bytes   int64
	Series  int
}

// Client asks one server.
type Client struct {
	name   string
	limits Limits
	api    v1.API
	door   *door
}

// NewClient makes a client of the server at an address.
func NewClient(name, address string, limits Limits) (*Client, error) {
	d := &door{most: limits.Bytes, next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: secs(limits.Timeout)}).DialContext,
		MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute,
		DisableCompression: true, // else a small body may hold a large answer
	}}
	c, err := api.NewClient(api.Config{Address: address, Client: &http.Client{Transport: d,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}})
	if err != nil {
		return nil, err
	}
	return &Client{name: name, limits: limits, api: v1.NewAPI(c), door: d}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.door.next.CloseIdleConnections() }

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// head is what the API's client does not hand on of a response.
type head struct {
	code     int
	after    string
	location string
	tooBig   bool
}

type headKey struct{}

// door bounds what is read of a response, and notes its head.
type door struct {
	next *http.Transport
	most int64
}

func (d *door) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := d.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	h, _ := req.Context().Value(headKey{}).(*head)
	if h == nil {
		h = &head{}
	}
	h.code, h.after, h.location = resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get("Location")
	if resp.ContentLength > d.most {
		h.tooBig = true
		resp.Body.Close()
		return nil, errTooBig
	}
	resp.Body = &bounded{resp.Body, d.most, h}
	return resp, nil
}

var errTooBig = errors.New("answer above the bytes allowed")

type bounded struct {
	io.ReadCloser
	left int64
	h    *head
}

func (b *bounded) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		b.h.tooBig = true
		return 0, errTooBig
	}
	return n, err
}

// Row is one series of an answer, as labelled.
type Row struct {
	Labels model.Metric
	Points []metricsanalysis.Point
}

// Ask asks one query as of a time, s since 1970. span and step are a range's.
func (c *Client) Ask(ctx context.Context, query string, form promquery.Form, at, span, step float64) (rows []Row, err error) {
	h := &head{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, headKey{}, h), secs(c.limits.Timeout))
	defer cancel()
	refuse := func(cause Cause, format string, args ...any) ([]Row, error) {
		return nil, &Refused{Server: c.name, Cause: cause, After: retryAfter(h.after, time.Now()), What: fmt.Sprintf(format, args...)}
	}
	defer func() { // what a server sends must not end the process, whatever the decoder meets in it
		if r := recover(); r != nil {
			rows, err = refuse(Malformed, "%v", r)
		}
	}()
	// One series more than allowed tells a full answer from one that the server cut.
	opts := []v1.Option{v1.WithTimeout(secs(c.limits.Timeout)), v1.WithLimit(uint64(c.limits.Series) + 1)}
	var value model.Value
	var warnings v1.Warnings
	if form == promquery.Range {
		value, warnings, _, err = c.api.QueryRange(ctx, query, v1.Range{Start: moment(at - span), End: moment(at), Step: secs(step)}, opts...)
	} else {
		value, warnings, _, err = c.api.Query(ctx, query, moment(at), opts...)
	}
	var said *v1.Error
	switch {
	case h.tooBig:
		return refuse(TooBig, "above %d bytes", c.limits.Bytes)
	case h.code == http.StatusTooManyRequests || h.code == http.StatusServiceUnavailable:
		return refuse(Busy, "status %d", h.code)
	case h.code/100 == 3:
		return refuse(Redirected, "status %d to %s; give the address that it leads to", h.code, short(h.location))
	case err == nil:
	case errors.As(err, &said) && said.Type == v1.ErrTimeout:
		return refuse(TimedOut, "%s", short(said.Msg))
	case errors.As(err, &said) && said.Type == v1.ErrBadResponse:
		return refuse(Malformed, "%s", short(said.Msg))
	case errors.As(err, &said):
		return refuse(Failed, "%s: %s", said.Type, short(said.Msg))
	case ctx.Err() != nil || isTimeout(err):
		return refuse(TimedOut, "no whole answer within %g s", c.limits.Timeout)
	default:
		return refuse(Unreachable, "%s", short(err.Error()))
	}
	rows, err = read(value, form)
	switch {
	case err != nil:
		return refuse(Malformed, "%v", err)
	case len(rows) > c.limits.Series:
		return refuse(TooMany, "above %d: some label has exploded, or the query names too much", c.limits.Series)
	case len(warnings) > 0: // what is missing of a part is not known to be well
		return refuse(Partial, "warning: %s", short(strings.Join(warnings, "; ")))
	}
	return rows, nil
}

// isTimeout tells whether an error is a network's deadline.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func moment(s float64) time.Time {
	whole, part := math.Modf(s)
	return time.Unix(int64(whole), int64(part*1e9))
}

func short(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}

// retryAfter reads a Retry-After, which is seconds or a date.
func retryAfter(text string, now time.Time) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
		return n
	}
	if t, err := http.ParseTime(text); err == nil {
		return max(0, t.Sub(now).Seconds())
	}
	return 0
}

// read turns an answer into rows; it must be of the form asked for.
func read(v model.Value, form promquery.Form) ([]Row, error) {
	var rows []Row
	switch v := v.(type) {
	case model.Vector:
		if form != promquery.Instant {
			return nil, fmt.Errorf("a vector, where samples over time were asked for")
		}
		for _, s := range v {
			if s == nil || s.Histogram != nil {
				return nil, errors.New("a histogram, where a number was asked for")
			}
			rows = append(rows, Row{s.Metric, []metricsanalysis.Point{{At: clock(s.Timestamp), Value: float64(s.Value)}}})
		}
	case model.Matrix:
		if form == promquery.Instant {
			return nil, fmt.Errorf("a matrix, where one value a series was asked for")
		}
		for _, s := range v {
			if s == nil || len(s.Histograms) > 0 {
				return nil, errors.New("histograms, where numbers were asked for")
			}
			row := Row{s.Metric, make([]metricsanalysis.Point, len(s.Values))}
			for i, p := range s.Values {
				if row.Points[i] = (metricsanalysis.Point{At: clock(p.Timestamp), Value: float64(p.Value)}); i > 0 && row.Points[i].At <= row.Points[i-1].At {
					return nil, fmt.Errorf("%s: times that do not go forward", short(s.Metric.String()))
				}
			}
			rows = append(rows, row)
		}
	case nil:
		return nil, errors.New("no result")
	default:
		return nil, fmt.Errorf("a %s, where series were asked for", v.Type())
	}
	return rows, nil
}

func clock(t model.Time) float64 { return float64(t) / 1000 }
