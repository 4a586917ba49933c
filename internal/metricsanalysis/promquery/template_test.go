package promquery

import (
	"strings"
	"testing"
)

// Templates are accepted only if their queries have answers of the given form.
func TestRead(t *testing.T) {
	for _, test := range []struct {
		text string
		form Form
		err  string // expected substring; empty: no error
	}{
		{`unit_errors_total{build=~"{{.Builds}}"}[15s]`, Samples, ""},
		{`unit_errors_total[15s]`, Samples, ""},
		{`up{instance="{{.Unit}}"}`, Instant, ""},
		{`histogram_quantile(0.99, sum by (le, unit) (rate(took_bucket{unit=~"{{.Units}}"}[1m])))`, Range, ""},
		{`unit_errors_total`, Samples, "bare samples"},
		{`rate(unit_errors_total[15s])`, Samples, "bare samples"},
		{`unit_errors_total[15s] offset 1d`, Samples, "neither offset nor @"},
		{`unit_errors_total[15s] @ 1700000000`, Samples, "neither offset nor @"},
		{`unit_errors_total[15s]`, Instant, "gives a matrix"},
		{`1 + 1`, Instant, "scalar"},
		{`up{instance=`, Instant, "parse error"},
		{`up{instance="{{.Unit"}`, Instant, "query:1"},
		{`up{instance="{{.Zone}}"}`, Instant, "Zone"},
		{`up{instance="{{.Unit}}", other=~"{{.Units}}"}`, Instant, "both one and several"},
		{``, Instant, "parse error"},
		{`nosuchfunction(up)`, Instant, "unknown function"},
	} {
		_, err := Parse(test.text, test.form)
		if test.err == "" && err != nil || test.err != "" && (err == nil || !strings.Contains(err.Error(), test.err)) {
			t.Errorf("%s: %v; expected %q", test.text, err, test.err)
		}
	}
}

// Builds and endpoints are split into as many queries as the template requires, and their labels are escaped.
func TestQueries(t *testing.T) {
	endpoints := make([]string, 250)
	for i := range endpoints {
		endpoints[i] = "10.0.0.1:80\"x"
	}
	for text, want := range map[string]int{
		`up`:                       1,
		`up{build="{{.Build}}"}`:   2,
		`up{build=~"{{.Builds}}"}`: 1,
		`up{instance="{{.Unit}}"}`: 250,
		`up{instance=~"{{.Units}}", build="{{.Build}}"}`: 6,
	} {
		query, err := Parse(text, Instant)
		if err != nil {
			t.Fatal(err)
		}
		queries, err := query.Queries([]int{3, 4}, endpoints)
		if err != nil || len(queries) != want {
			t.Errorf("%s: %d queries, %v", text, len(queries), err)
		}
		for _, text := range queries {
			if _, err := grammar.ParseExpr(text); err != nil {
				t.Fatalf("%s: %v", text, err)
			}
		}
	}
	query, err := Parse(`up{instance=~"{{.Units}}"}`, Instant)
	if err != nil {
		t.Fatal(err)
	}
	queries, err := query.Queries(nil, []string{"10.0.0.1:80"})
	if err != nil || len(queries) != 1 || queries[0] != `up{instance=~"10\\.0\\.0\\.1:80"}` {
		t.Error(queries, err)
	}
}
