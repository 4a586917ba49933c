package promquery

import (
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	for _, c := range []struct {
		text string
		form Form
		err  string // part of it, empty: it is taken
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
		_, err := Read(c.text, c.form)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: %v; expected %q", c.text, err, c.err)
		}
	}
}

func TestQueries(t *testing.T) {
	units := make([]string, 250)
	for i := range units {
		units[i] = "10.0.0.1:80\"x"
	}
	for text, n := range map[string]int{
		`up`:                       1,
		`up{build="{{.Build}}"}`:   2,
		`up{build=~"{{.Builds}}"}`: 1,
		`up{instance="{{.Unit}}"}`: 250,
		`up{instance=~"{{.Units}}", build="{{.Build}}"}`: 6,
	} {
		q, err := Read(text, Instant)
		if err != nil {
			t.Fatal(err)
		}
		made, err := q.Queries([]int{3, 4}, units)
		if err != nil || len(made) != n {
			t.Errorf("%s: %d queries, %v", text, len(made), err)
		}
		for _, m := range made {
			if _, err := grammar.ParseExpr(m); err != nil {
				t.Fatalf("%s: %v", m, err)
			}
		}
	}
	q, _ := Read(`up{instance=~"{{.Units}}"}`, Instant)
	if made, _ := q.Queries(nil, []string{"10.0.0.1:80"}); made[0] != `up{instance=~"10\\.0\\.0\\.1:80"}` {
		t.Error(made[0])
	}
}
