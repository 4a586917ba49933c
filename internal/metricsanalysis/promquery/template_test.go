package promquery

import (
	"strings"
	"testing"
)

// A template is accepted only if its queries are valid and of the given form.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		text string
		form Form
		err  string // substring of the expected error; empty: no error
	}{
		{`unit_errors_total{build=~"{{.Builds}}"}[15s]`, Samples, ""},
		{`unit_errors_total[15s]`, Samples, ""},
		{`up{instance="{{.Unit}}"}`, Instant, ""},
		{`histogram_quantile(0.99, sum by (le, unit) (rate(took_bucket{unit=~"{{.Units}}"}[1m])))`, Range, ""},
		{`unit_errors_total`, Samples, "must be a range vector selector"},
		{`rate(unit_errors_total[15s])`, Samples, "must be a range vector selector"},
		{`unit_errors_total[15s] offset 1d`, Samples, "must not use offset or @"},
		{`unit_errors_total[15s] @ 1700000000`, Samples, "must not use offset or @"},
		{`unit_errors_total[15s]`, Instant, "returns a matrix"},
		{`1 + 1`, Instant, "scalar"},
		{`up{instance=`, Instant, "parse error"},
		{`up{instance="{{.Unit"}`, Instant, "query:1"},
		{`up{instance="{{.Zone}}"}`, Instant, "Zone"},
		{`up{instance="{{.Unit}}", other=~"{{.Units}}"}`, Instant, "must not use both .Unit and .Units"},
		{``, Instant, "parse error"},
		{`nosuchfunction(up)`, Instant, "unknown function"},
	} {
		_, err := Parse(test.text, test.form)
		if test.err == "" && err != nil || test.err != "" && (err == nil || !strings.Contains(err.Error(), test.err)) {
			t.Errorf("template %s: got error %v, want %q", test.text, err, test.err)
		}
	}
}

// The placeholders of a template determine how many queries it yields: .Unit one per endpoint, .Units one per 100
// endpoints, and .Build one per build. Label values are escaped.
func TestQueries(t *testing.T) {
	endpoints := make([]string, 250)
	for i := range endpoints {
		endpoints[i] = "10.0.0.1:80\"x" // an unescaped quote would end the label value
	}
	for text, want := range map[string]int{
		`up`:                       1,
		`up{build="{{.Build}}"}`:   2,
		`up{build=~"{{.Builds}}"}`: 1,
		`up{instance="{{.Unit}}"}`: 250,
		`up{instance=~"{{.Units}}", build="{{.Build}}"}`: 6,
	} {
		template, err := Parse(text, Instant)
		if err != nil {
			t.Fatal(err)
		}
		queries, err := template.Queries([]int{3, 4}, endpoints)
		if err != nil || len(queries) != want {
			t.Errorf("template %s: got %d queries and error %v, want %d queries", text, len(queries), err, want)
		}
		for _, query := range queries {
			if _, err := promQLParser.ParseExpr(query); err != nil {
				t.Fatalf("query %s: %v", query, err)
			}
		}
	}
	template, err := Parse(`up{instance=~"{{.Units}}"}`, Instant)
	if err != nil {
		t.Fatal(err)
	}
	queries, err := template.Queries(nil, []string{"10.0.0.1:80"})
	if err != nil || len(queries) != 1 || queries[0] != `up{instance=~"10\\.0\\.0\\.1:80"}` {
		t.Errorf("got queries %q and error %v, want one query with escaped dots", queries, err)
	}
}
