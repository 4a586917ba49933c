package promclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flintspread/internal/fakes"
	"flintspread/internal/metricsanalysis/promquery"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveResponse starts a server that sends the same response to every request, and returns its URL. The server stops when
// the test ends.
func serveResponse(t testing.TB, code int, header map[string]string, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for key, value := range header {
			w.Header().Set(key, value)
		}
		w.WriteHeader(code)
		if _, err := io.WriteString(w, body); err != nil {
			t.Log(err) // the client stopped reading
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// newTestClient returns a client of a server named q1. The client is closed when the test ends.
func newTestClient(t testing.TB, url string, limits Limits) *Client {
	client, err := NewClient("q1", url, limits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Each kind of response in the API documentation, and malformed ones, lead to the expected series or error cause.
func TestResponses(t *testing.T) {
	ok := func(data string) string { return `{"status":"success","data":` + data + `}` }
	matrix := `{"resultType":"matrix","result":[{"metric":{"__name__":"up","unit":"7"},"values":[[1000.781,"1"],[1001.781,"2.5"]]}]}`
	vector := `{"resultType":"vector","result":[{"metric":{"__name__":"up","unit":"7"},"value":[1000.781,"1"]},{"metric":{"unit":"8"},"value":[1000.781,"0"]}]}`
	native := `"histogram":[1000.781,{"count":"60","sum":"33897","buckets":[[0,"1","2","60"]]}]`
	for _, test := range []struct {
		name string
		form promquery.Form
		code int
		head map[string]string
		body string
		want string // prefix
	}{
		{"matrix of samples", promquery.Samples, 200, nil, ok(matrix), "1 series, 2 points, last 2.5 at 1001.781"},
		{"matrix of a range", promquery.Range, 200, nil, ok(matrix), "1 series, 2 points, last 2.5 at 1001.781"},
		{"vector", promquery.Instant, 200, nil, ok(vector), "2 series, 2 points, last 0 at 1000.781"},
		{"empty matrix", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[]}`), "0 series"},
		{"empty vector", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[]}`), "0 series"},
		{"not a number", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"NaN"]}]}`), "1 series, 1 points, last NaN at 1"},
		{"infinite", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"+Inf"]}]}`), "1 series, 1 points, last +Inf at 1"},
		{"negative infinite", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"-Inf"]}]}`), "1 series, 1 points, last -Inf at 1"},
		{"scalar", promquery.Instant, 200, nil, ok(`{"resultType":"scalar","result":[1000.781,"1"]}`), "malformed"},
		{"string", promquery.Instant, 200, nil, ok(`{"resultType":"string","result":[1000.781,"foo"]}`), "malformed"},
		{"vector instead of samples", promquery.Samples, 200, nil, ok(vector), "malformed"},
		{"matrix instead of a vector", promquery.Instant, 200, nil, ok(matrix), "malformed"},
		{"native histogram in a vector", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},` + native + `}]}`), "malformed"},
		{"native histograms in a matrix", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[{"metric":{},` + strings.Replace(native, `"histogram":[`, `"histograms":[[`, 1) + `]}]}`), "malformed"},
		{"infos", promquery.Instant, 200, nil, strings.TrimSuffix(ok(vector), "}") + `,"infos":["PromQL info: metric might not be a counter"]}`, "2 series, 2 points, last 0 at 1000.781"},
		{"warnings", promquery.Instant, 200, nil, strings.TrimSuffix(ok(vector), "}") + `,"warnings":["results truncated due to limit"]}`, "partial"},
		{"error: bad data", promquery.Instant, 400, nil, `{"status":"error","errorType":"bad_data","error":"parse error: unexpected end of input"}`, "failed: bad_data: parse error"},
		{"error: execution", promquery.Instant, 422, nil, `{"status":"error","errorType":"execution","error":"many-to-many matching not allowed"}`, "failed: execution"},
		{"error: timeout", promquery.Instant, 503, nil, `{"status":"error","errorType":"timeout","error":"query timed out in expression evaluation"}`, "busy"},
		{"error: timeout as 422", promquery.Instant, 422, nil, `{"status":"error","errorType":"timeout","error":"query timed out"}`, "timed out"},
		{"error: canceled", promquery.Instant, 422, nil, `{"status":"error","errorType":"canceled","error":"query was canceled"}`, "failed: canceled"},
		{"error: internal", promquery.Instant, 500, nil, `{"status":"error","errorType":"internal","error":"storage"}`, "failed: server_error"},
		{"error: not found", promquery.Instant, 404, nil, `404 page not found`, "failed: client_error"},
		{"error with data and warnings", promquery.Instant, 422, nil, `{"status":"error","errorType":"execution","error":"x","data":{"resultType":"vector","result":[]},"warnings":["w"]}`, "failed: execution"},
		{"error status with a success body", promquery.Instant, 400, nil, ok(vector), "malformed"},
		{"success status with an error body", promquery.Instant, 200, nil, `{"status":"error","errorType":"execution","error":"x"}`, "failed"},
		{"too many requests", promquery.Instant, 429, map[string]string{"Retry-After": "7"}, `slow down`, "busy: status 429, retry after 7 s"},
		{"unavailable until a date", promquery.Instant, 503, map[string]string{"Retry-After": time.Now().Add(30 * time.Second).UTC().Format(http.TimeFormat)}, ``, "busy: status 503, retry after"},
		{"redirect", promquery.Instant, 302, map[string]string{"Location": "http://127.0.0.1:1/"}, ``, "redirected: status 302 to http://127.0.0.1:1/"},
		{"redirect that keeps the method", promquery.Instant, 307, map[string]string{"Location": "/elsewhere"}, ``, "redirected"},
		{"no content", promquery.Instant, 204, nil, ``, "malformed"},
		{"empty body", promquery.Instant, 200, nil, ``, "malformed"},
		{"HTML body", promquery.Instant, 200, nil, `<html>`, "malformed"},
		{"null body", promquery.Instant, 200, nil, `null`, "malformed"},
		{"truncated body", promquery.Instant, 200, nil, ok(vector)[:60], "malformed"},
		{"decreasing timestamps", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[{"metric":{},"values":[[2,"1"],[1,"2"]]}]}`), "malformed"},
		{"too many bytes", promquery.Instant, 200, nil, ok(vector) + strings.Repeat(" ", 5000), "too big: response exceeds 4000 bytes"},
		{"too many series", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[` + strings.Repeat(`{"metric":{},"value":[1,"1"]},`, 20) + `{"metric":{},"value":[1,"1"]}]}`), "too many series: more than 20;"},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, serveResponse(t, test.code, test.head, test.body), Limits{TimeoutSeconds: 2, MaxBytes: 4000, MaxSeries: 20})
			series, err := client.Query(context.Background(), Request{Query: "up", Form: test.form, At: 1001, RangeSeconds: 5, StepSeconds: 1})
			got := fmt.Sprintf("%d series", len(series))
			points := 0
			for _, s := range series {
				points += len(s.Points)
			}
			if points > 0 {
				last := series[len(series)-1].Points
				got += fmt.Sprintf(", %d points, last %v at %v", points, last[len(last)-1].Value, last[len(last)-1].At)
			}
			var queryErr *QueryError
			if errors.As(err, &queryErr) {
				got = fmt.Sprintf("%s: %s", queryErr.Cause, queryErr.Detail)
				if queryErr.RetryAfterSeconds > 0 {
					got += fmt.Sprintf(", retry after %.0f s", queryErr.RetryAfterSeconds)
				}
			} else if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Each fault of a fake server leads to the expected cause, and queries succeed again once the fault is removed.
func TestFaults(t *testing.T) {
	server, err := fakes.StartQueryServer(func() float64 { return 1000 })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.AddSamples(999, []fakes.Sample{{Name: "up", Labels: map[string]string{"unit": "7"}, Value: 1}})
	shortTimeout := newTestClient(t, server.URL, Limits{TimeoutSeconds: 0.5, MaxBytes: 40 << 20, MaxSeries: 100})
	longTimeout := newTestClient(t, server.URL, Limits{TimeoutSeconds: 30, MaxBytes: 40 << 20, MaxSeries: 100})
	get := func(client *Client, query string, form promquery.Form) string {
		series, err := client.Query(context.Background(), Request{Query: query, Form: form, At: 1000, RangeSeconds: 2, StepSeconds: 1})
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(len(series), " series")
	}
	for _, test := range []struct {
		fault fakes.QueryServerFault
		want  string
	}{
		{fakes.FaultSlow, "timed out"}, {fakes.FaultNoResponse, "timed out"}, {fakes.FaultConnectionReset, "unreachable"}, {fakes.FaultTruncated, "unreachable"},
		{fakes.FaultTooManyRequests, "busy: status 429"}, {fakes.FaultUnavailable, "busy: status 503"}, {fakes.FaultRedirect, "redirected"},
		{fakes.FaultPartialResult, "partial"}, {fakes.FaultNotJSON, "malformed"}, {fakes.FaultTooManySeries, "too many series: more than 100; a label may have too many values"},
	} {
		server.SetFault(test.fault)
		client := shortTimeout
		if test.fault == fakes.FaultTooManySeries {
			client = longTimeout // the large response takes longer
		}
		if got := get(client, "up[5s]", promquery.Samples); !strings.HasPrefix(got, "query server q1: "+test.want) {
			t.Errorf("fault %s: got %q, want prefix %q", test.fault, got, "query server q1: "+test.want)
		}
		server.SetFault(fakes.NoFault)
		for form, query := range map[promquery.Form]string{promquery.Samples: `up{unit=~"7|8"}[5s]`, promquery.Instant: `up{unit!="8"}`, promquery.Range: "up"} {
			if got := get(longTimeout, query, form); got != "1 series" {
				t.Errorf("after fault %s, query %s: got %q, want 1 series", test.fault, query, got)
			}
		}
	}
	smallLimit := newTestClient(t, server.URL, Limits{TimeoutSeconds: 2, MaxBytes: 1 << 20, MaxSeries: 100})
	server.SetFault(fakes.FaultTooManySeries)
	if _, err := smallLimit.Query(context.Background(), Request{Query: "up[5s]", Form: promquery.Samples, At: 1000}); err == nil || !strings.Contains(err.Error(), "q1: too big: response exceeds 1048576 bytes") {
		t.Errorf("got error %v, want a response that exceeds 1048576 bytes", err)
	}
}

// A Retry-After header holds seconds or a date. Invalid values and dates in the past mean no pause.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	for header, want := range map[string]float64{"": 0, "3": 3, "-3": 0, "nonsense": 0, "1e400": 0, now.Add(9 * time.Second).UTC().Format(http.TimeFormat): 9,
		now.Add(-9 * time.Second).UTC().Format(http.TimeFormat): 0} {
		if got := retryAfterSeconds(header, now); got != want {
			t.Errorf("header %q: got %g s, want %g s", header, got, want)
		}
	}
}

// For any response, a client returns series with increasing timestamps or a QueryError. It does not panic.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{`{"status":"success","data":{"resultType":"matrix","result":[{"metric":{"a":"b"},"values":[[1,"1"],[2,"NaN"]]}]}}`,
		`{"status":"success","data":{"resultType":"vector","result":[{"metric":{"a":"b"},"value":[1.5,"1e3"]}]},"warnings":["x"]}`,
		`{"status":"success","data":{"resultType":"vector","result":[{"metric":{},"histogram":[1,{"count":"6","sum":"3","buckets":[[0,"1","2","6"]]}]}]}}`,
		`{"status":"error","errorType":"timeout","error":"x"}`, `{"status":"success","data":{"resultType":"scalar","result":[1,"1"]}}`} {
		f.Add([]byte(s), byte(0), 200)
	}
	var body []byte
	var code int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		if _, err := w.Write(body); err != nil {
			return // the client stopped reading
		}
	}))
	f.Cleanup(server.Close)
	client := newTestClient(f, server.URL, Limits{TimeoutSeconds: 2, MaxBytes: 1 << 16, MaxSeries: 50})
	f.Fuzz(func(t *testing.T, b []byte, form byte, status int) {
		if status < 200 || status > 599 || status == 304 || status == 204 {
			status = 200
		}
		body, code = b, status
		series, err := client.Query(context.Background(), Request{Query: "up", Form: promquery.Form(form % 3), At: 1000, RangeSeconds: 5, StepSeconds: 1})
		var queryErr *QueryError
		if err != nil && !errors.As(err, &queryErr) {
			t.Fatalf("got error %v of type %T, want *QueryError", err, err)
		}
		if len(series) > 50 {
			t.Fatalf("got %d series, want at most 50", len(series))
		}
		for _, s := range series {
			last := math.Inf(-1)
			for _, point := range s.Points {
				if point.At <= last {
					t.Fatalf("timestamps of %v do not increase", s)
				}
				last = point.At
			}
		}
	})
}
