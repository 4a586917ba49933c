// Package ask writes PromQL queries from templates over builds and units, and checks templates by the language's own
// grammar before anything is asked.
package promquery

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"text/template"

	"github.com/prometheus/prometheus/promql/parser"
)

// Form is how a query's answer comes.
type Form uint8

const (
	Samples Form = iota // a range vector at one time: the scraped values themselves, with their own times
	Instant             // a vector at one time; its values bear the time asked for
	Range               // values at steps over a span
)

const unitsAQuery = 100 // a query that names its units names at most so many

// Template is one query with places for builds and units.
type Template struct {
	text                        string
	t                           *template.Template
	build, builds, unit, units_ bool
}

// fill is what a template may name.
type fill struct {
	build, builds, unit, units string
	used                       *Template
}

func (f fill) Build() string  { f.used.build = true; return f.build }
func (f fill) Builds() string { f.used.builds = true; return f.builds }
func (f fill) Unit() string   { f.used.unit = true; return f.unit }
func (f fill) Units() string  { f.used.units_ = true; return f.units }

var grammar = parser.NewParser(parser.Options{})

// Read reads a template and checks what it makes by the form that its answer is to have.
func Read(text string, form Form) (*Template, error) {
	t, err := template.New("query").Option("missingkey=error").Parse(text)
	if err != nil {
		return nil, errors.New(strings.TrimPrefix(err.Error(), "template: "))
	}
	q := &Template{text: text, t: t}
	made, err := q.make(fill{"1", "1|2", "7", "7|8", q})
	if err != nil {
		return nil, err
	}
	if q.unit && q.units_ || q.build && q.builds {
		return nil, errors.New("both one and several of the same: .Unit with .Units, or .Build with .Builds")
	}
	e, err := grammar.ParseExpr(made)
	if err != nil {
		return nil, err
	}
	if form != Samples {
		if got := e.Type(); got != parser.ValueTypeVector {
			return nil, fmt.Errorf("gives a %s, where one value a series is needed", got)
		}
		return q, nil
	}
	m, ok := e.(*parser.MatrixSelector)
	if !ok {
		return nil, errors.New("must be the bare samples, such as name{...}[15s]: what is reckoned from them hides resets, gaps and ages")
	}
	if v, ok := m.VectorSelector.(*parser.VectorSelector); !ok || v.OriginalOffset != 0 || v.Timestamp != nil || v.StartOrEnd != 0 || v.OriginalOffsetExpr != nil {
		return nil, errors.New("samples of another time: neither offset nor @")
	}
	return q, nil
}

func (q *Template) make(f fill) (string, error) {
	var b strings.Builder
	if err := q.t.Execute(&b, f); err != nil {
		return "", errors.New(strings.TrimPrefix(err.Error(), "template: "))
	}
	return b.String(), nil
}

// Queries writes what is to be asked about builds and units, which are given as the labels' values. One that names neither is
// one query however many there are.
func (q *Template) Queries(builds []int, units []string) ([]string, error) {
	f := fill{used: &Template{}}
	var all []string
	for _, b := range builds {
		all = append(all, strconv.Itoa(b))
	}
	f.builds = strings.Join(all, "|")
	var fills []fill
	switch {
	case q.unit:
		for _, u := range units {
			f.unit = inQuotes(u)
			fills = append(fills, f)
		}
	case q.units_:
		for from := 0; from < len(units); from += unitsAQuery {
			var some []string
			for _, u := range units[from:min(len(units), from+unitsAQuery)] {
				some = append(some, inQuotes(regexp.QuoteMeta(u)))
			}
			f.units = strings.Join(some, "|")
			fills = append(fills, f)
		}
	default:
		fills = []fill{f}
	}
	var made []string
	for _, f := range fills {
		each := []string{""}
		if q.build {
			each = all
		}
		for _, build := range each {
			f.build = build
			text, err := q.make(f)
			if err != nil {
				return nil, err
			}
			made = append(made, text)
		}
	}
	return made, nil
}

// inQuotes writes a text as it stands between double quotes.
func inQuotes(s string) string {
	q := strconv.Quote(s)
	return q[1 : len(q)-1]
}

// String is the template as it was written.
func (q *Template) String() string { return q.text }
