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

// serveResponse serves the same response to every request, and returns the URL.
func serveResponse(t testing.TB, code int, header map[string]string, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for key, value := range header {
			w.Header().Set(key, value)
		}
		w.WriteHeader(code)
		if _, err := io.WriteString(w, body); err != nil {
			t.Log(err) // the client has stopped reading
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// newTestClient returns a client that is closed when the test ends.
func newTestClient(t testing.TB, url string, limits Limits) *Client {
	client, err := NewClient("q1", url, limits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// The response shapes in the API documentation, and the result of each: rows and points, or a cause.
func TestResponseShapes(t *testing.T) {
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
		want string
	}{
		{"matrix of samples", promquery.Samples, 200, nil, ok(matrix), "1 rows, 2 points, last 2.5 at 1001.781"},
		{"matrix of a range", promquery.Range, 200, nil, ok(matrix), "1 rows, 2 points, last 2.5 at 1001.781"},
		{"vector", promquery.Instant, 200, nil, ok(vector), "2 rows, 2 points, last 0 at 1000.781"},
		{"empty matrix", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[]}`), "0 rows"},
		{"empty vector", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[]}`), "0 rows"},
		{"not a number", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"NaN"]}]}`), "1 rows, 1 points, last NaN at 1"},
		{"infinite", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"+Inf"]}]}`), "1 rows, 1 points, last +Inf at 1"},
		{"negative infinite", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},"value":[1,"-Inf"]}]}`), "1 rows, 1 points, last -Inf at 1"},
		{"scalar", promquery.Instant, 200, nil, ok(`{"resultType":"scalar","result":[1000.781,"1"]}`), "malformed"},
		{"string", promquery.Instant, 200, nil, ok(`{"resultType":"string","result":[1000.781,"foo"]}`), "malformed"},
		{"a vector for samples", promquery.Samples, 200, nil, ok(vector), "malformed"},
		{"a matrix for a vector", promquery.Instant, 200, nil, ok(matrix), "malformed"},
		{"native histogram in a vector", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[{"metric":{},` + native + `}]}`), "malformed"},
		{"native histograms in a matrix", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[{"metric":{},` + strings.Replace(native, `"histogram":[`, `"histograms":[[`, 1) + `]}]}`), "malformed"},
		{"infos", promquery.Instant, 200, nil, strings.TrimSuffix(ok(vector), "}") + `,"infos":["PromQL info: metric might not be a counter"]}`, "2 rows, 2 points, last 0 at 1000.781"},
		{"warnings", promquery.Instant, 200, nil, strings.TrimSuffix(ok(vector), "}") + `,"warnings":["results truncated due to limit"]}`, "partial"},
		{"error: bad data", promquery.Instant, 400, nil, `{"status":"error","errorType":"bad_data","error":"parse error: unexpected end of input"}`, "failed: bad_data: parse error"},
		{"error: execution", promquery.Instant, 422, nil, `{"status":"error","errorType":"execution","error":"many-to-many matching not allowed"}`, "failed: execution"},
		{"error: timeout", promquery.Instant, 503, nil, `{"status":"error","errorType":"timeout","error":"query timed out in expression evaluation"}`, "busy"},
		{"error: timeout as 422", promquery.Instant, 422, nil, `{"status":"error","errorType":"timeout","error":"query timed out"}`, "timed out"},
		{"error: canceled", promquery.Instant, 422, nil, `{"status":"error","errorType":"canceled","error":"query was canceled"}`, "failed: canceled"},
		{"error: internal", promquery.Instant, 500, nil, `{"status":"error","errorType":"internal","error":"storage"}`, "failed: server_error"},
		{"error: not found", promquery.Instant, 404, nil, `404 page not found`, "failed: client_error"},
		{"error with data and warnings", promquery.Instant, 422, nil, `{"status":"error","errorType":"execution","error":"x","data":{"resultType":"vector","result":[]},"warnings":["w"]}`, "failed: execution"},
		{"error said with success", promquery.Instant, 400, nil, ok(vector), "malformed"},
		{"success with status error", promquery.Instant, 200, nil, `{"status":"error","errorType":"execution","error":"x"}`, "failed"},
		{"too many requests", promquery.Instant, 429, map[string]string{"Retry-After": "7"}, `slow down`, "busy: status 429, after 7 s"},
		{"unavailable until a date", promquery.Instant, 503, map[string]string{"Retry-After": time.Now().Add(30 * time.Second).UTC().Format(http.TimeFormat)}, ``, "busy: status 503, after"},
		{"redirect", promquery.Instant, 302, map[string]string{"Location": "http://127.0.0.1:1/"}, ``, "redirected: status 302 to http://127.0.0.1:1/"},
		{"redirect that keeps the method", promquery.Instant, 307, map[string]string{"Location": "/elsewhere"}, ``, "redirected"},
		{"no content", promquery.Instant, 204, nil, ``, "malformed"},
		{"an empty body", promquery.Instant, 200, nil, ``, "malformed"},
		{"another program", promquery.Instant, 200, nil, `<html>`, "malformed"},
		{"null", promquery.Instant, 200, nil, `null`, "malformed"},
		{"cut", promquery.Instant, 200, nil, ok(vector)[:60], "malformed"},
		{"times that go backwards", promquery.Samples, 200, nil, ok(`{"resultType":"matrix","result":[{"metric":{},"values":[[2,"1"],[1,"2"]]}]}`), "malformed"},
		{"too many bytes", promquery.Instant, 200, nil, ok(vector) + strings.Repeat(" ", 5000), "too big: above 4000 bytes"},
		{"too many series", promquery.Instant, 200, nil, ok(`{"resultType":"vector","result":[` + strings.Repeat(`{"metric":{},"value":[1,"1"]},`, 20) + `{"metric":{},"value":[1,"1"]}]}`), "too many series: above 20"},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, serveResponse(t, test.code, test.head, test.body), Limits{TimeoutSeconds: 2, MaxBytes: 4000, MaxSeries: 20})
			rows, err := client.Query(context.Background(), Request{Query: "up", Form: test.form, At: 1001, RangeSeconds: 5, StepSeconds: 1})
			got := fmt.Sprintf("%d rows", len(rows))
			points := 0
			for _, row := range rows {
				points += len(row.Points)
			}
			if points > 0 {
				last := rows[len(rows)-1].Points
				got += fmt.Sprintf(", %d points, last %v at %v", points, last[len(last)-1].Value, last[len(last)-1].At)
			}
			var refused *RefusedError
			if errors.As(err, &refused) {
				got = fmt.Sprintf("%s: %s", refused.Cause, refused.Detail)
				if refused.RetryAfterSeconds > 0 {
					got += fmt.Sprintf(", after %.0f s", refused.RetryAfterSeconds)
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

// Each fault of a fake server leads to its cause, and answers are accepted again afterwards.
func TestFaults(t *testing.T) {
	server, err := fakes.StartQueryServer(func() float64 { return 1000 })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.AddSamples(999, []fakes.Sample{{Name: "up", Labels: map[string]string{"unit": "7"}, Value: 1}})
	impatient := newTestClient(t, server.URL, Limits{TimeoutSeconds: 0.5, MaxBytes: 40 << 20, MaxSeries: 100})
	unhurried := newTestClient(t, server.URL, Limits{TimeoutSeconds: 30, MaxBytes: 40 << 20, MaxSeries: 100})
	get := func(client *Client, query string, form promquery.Form) string {
		rows, err := client.Query(context.Background(), Request{Query: query, Form: form, At: 1000, RangeSeconds: 2, StepSeconds: 1})
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(len(rows), " rows")
	}
	for _, test := range []struct {
		fault fakes.QueryServerFault
		want  string
	}{
		{fakes.FaultSlow, "timed out"}, {fakes.FaultNoResponse, "timed out"}, {fakes.FaultConnectionReset, "unreachable"}, {fakes.FaultTruncated, "unreachable"},
		{fakes.FaultTooManyRequests, "busy: status 429"}, {fakes.FaultUnavailable, "busy: status 503"}, {fakes.FaultRedirect, "redirected"},
		{fakes.FaultPartialResult, "partial"}, {fakes.FaultNotJSON, "malformed"}, {fakes.FaultTooManySeries, "too many series: above 100: some label has exploded"},
	} {
		server.SetFault(test.fault)
		client := impatient
		if test.fault == fakes.FaultTooManySeries {
			client = unhurried
		}
		if got := get(client, "up[5s]", promquery.Samples); !strings.HasPrefix(got, "query server q1: "+test.want) {
			t.Errorf("%s: %s", test.fault, got)
		}
		server.SetFault(fakes.NoFault)
		for form, query := range map[promquery.Form]string{promquery.Samples: `up{unit=~"7|8"}[5s]`, promquery.Instant: `up{unit!="8"}`, promquery.Range: "up"} {
			if got := get(unhurried, query, form); got != "1 rows" {
				t.Errorf("after %s, %s: %s", test.fault, query, got)
			}
		}
	}
	small := newTestClient(t, server.URL, Limits{TimeoutSeconds: 2, MaxBytes: 1 << 20, MaxSeries: 100})
	server.SetFault(fakes.FaultTooManySeries)
	if _, err := small.Query(context.Background(), Request{Query: "up[5s]", Form: promquery.Samples, At: 1000}); err == nil || !strings.Contains(err.Error(), "q1: too big: above 1048576 bytes") {
		t.Error(err)
	}
}

// A Retry-After header is seconds or a date.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	for text, want := range map[string]float64{"": 0, "3": 3, "-3": 0, "nonsense": 0, "1e400": 0, now.Add(9 * time.Second).UTC().Format(http.TimeFormat): 9,
		now.Add(-9 * time.Second).UTC().Format(http.TimeFormat): 0} {
		if got := retryAfterSeconds(text, now); got != want {
			t.Errorf("%q: %g, want %g", text, got, want)
		}
	}
}

// FuzzAnswer: whatever a server sends, a client returns rows with increasing timestamps, or a refusal; it never panics.
func FuzzAnswer(f *testing.F) {
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
			return // the client has stopped reading
		}
	}))
	f.Cleanup(server.Close)
	client := newTestClient(f, server.URL, Limits{TimeoutSeconds: 2, MaxBytes: 1 << 16, MaxSeries: 50})
	f.Fuzz(func(t *testing.T, b []byte, form byte, status int) {
		if status < 200 || status > 599 || status == 304 || status == 204 {
			status = 200
		}
		body, code = b, status
		rows, err := client.Query(context.Background(), Request{Query: "up", Form: promquery.Form(form % 3), At: 1000, RangeSeconds: 5, StepSeconds: 1})
		var refused *RefusedError
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("%T %v", err, err)
		}
		if len(rows) > 50 {
			t.Fatal(len(rows))
		}
		for _, row := range rows {
			last := math.Inf(-1)
			for _, point := range row.Points {
				if point.At <= last {
					t.Fatal("times", row)
				}
				last = point.At
			}
		}
	})
}
