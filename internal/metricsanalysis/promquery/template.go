// Package promquery writes PromQL queries from templates over builds and endpoints, and checks a template by the language's own
// grammar before anything is sent.
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

// Form is the form of a query's answer.
type Form uint8

// The forms of answers.
const (
	Samples Form = iota // a range vector at one time: the scraped values themselves, with their own times
	Instant             // a vector at one time; its values bear the time asked for
	Range               // values at steps over a span of time
)

// endpointsPerQuery is how many endpoints one query names at the most.
const endpointsPerQuery = 100

var grammar = parser.NewParser(parser.Options{})

// Template is one query with places for builds and endpoints: {{.Build}}, {{.Builds}}, {{.Unit}} and {{.Units}}. It does not
// change once it is read and is safe for concurrent use.
type Template struct {
	text  string
	query *template.Template
	names placeholders
}

// placeholders are the places that a template names.
type placeholders struct{ build, builds, endpoint, endpoints bool }

// fill is what the places of a template are filled with. Its methods bear the names that stand in templates and note that they
// were called. Its own name is part of the error on a place that does not exist.
type fill struct {
	build, builds, endpoint, endpoints string
	named                              *placeholders
}

// Build gives one build.
func (f fill) Build() string { f.named.build = true; return f.build }

// Builds gives all builds as alternatives of a regular expression.
func (f fill) Builds() string { f.named.builds = true; return f.builds }

// Unit gives one endpoint's label.
func (f fill) Unit() string { f.named.endpoint = true; return f.endpoint }

// Units gives the labels of some endpoints as alternatives of a regular expression.
func (f fill) Units() string { f.named.endpoints = true; return f.endpoints }

// Read reads a template and checks the query that it makes by the form that its answer is to have. An error is for the one who
// wrote the template.
func Read(text string, form Form) (*Template, error) {
	query, err := template.New("query").Option("missingkey=error").Parse(text)
	if err != nil {
		return nil, withoutPrefix(err)
	}
	t := &Template{text: text, query: query}
	example, err := t.execute(fill{"1", "1|2", "7", "7|8", &t.names})
	if err != nil {
		return nil, err
	}
	if t.names.endpoint && t.names.endpoints || t.names.build && t.names.builds {
		return nil, errors.New("both one and several of the same: .Unit with .Units, or .Build with .Builds")
	}
	expression, err := grammar.ParseExpr(example)
	if err != nil {
		return nil, err
	}
	if form == Samples {
		if err := checkSamples(expression); err != nil {
			return nil, err
		}
		return t, nil
	}
	if got := expression.Type(); got != parser.ValueTypeVector {
		return nil, fmt.Errorf("gives a %s, where one value a series is needed", got)
	}
	return t, nil
}

// checkSamples refuses what is not the bare samples of the present.
func checkSamples(expression parser.Expr) error {
	matrix, ok := expression.(*parser.MatrixSelector)
	if !ok {
		return errors.New("must be the bare samples, such as name{...}[15s]: what is reckoned from them hides resets, gaps and ages")
	}
	if vector, ok := matrix.VectorSelector.(*parser.VectorSelector); !ok || !isPresent(vector) {
		return errors.New("samples of another time: neither offset nor @")
	}
	return nil
}

// isPresent tells whether a selector has neither an offset nor a time.
func isPresent(vector *parser.VectorSelector) bool {
	hasOffset := vector.OriginalOffset != 0 || vector.OriginalOffsetExpr != nil
	hasTime := vector.Timestamp != nil || vector.StartOrEnd != 0
	return !hasOffset && !hasTime
}

// execute writes the query for some values.
func (t *Template) execute(f fill) (string, error) {
	var b strings.Builder
	if err := t.query.Execute(&b, f); err != nil {
		return "", withoutPrefix(err)
	}
	return b.String(), nil
}

// withoutPrefix takes the package's name off a template's error, which is shown beside the setting that the template is from.
func withoutPrefix(err error) error {
	return errors.New(strings.TrimPrefix(err.Error(), "template: "))
}

// Queries writes the queries about builds and endpoints, which are given by the values of their labels. A template that names
// one endpoint or one build makes a query for each, one that names several endpoints a query for each hundred, and one that
// names neither a single query.
func (t *Template) Queries(builds []int, endpoints []string) (queries []string, err error) {
	var buildLabels []string
	for _, build := range builds {
		buildLabels = append(buildLabels, strconv.Itoa(build))
	}
	places := fill{builds: strings.Join(buildLabels, "|"), named: &placeholders{}}
	for _, f := range t.forEndpoints(places, endpoints) {
		each := []string{""}
		if t.names.build {
			each = buildLabels
		}
		for _, build := range each {
			f.build = build
			query, err := t.execute(f)
			if err != nil {
				return nil, err
			}
			queries = append(queries, query)
		}
	}
	return queries, nil
}

// forEndpoints gives the values of each query that the endpoints need.
func (t *Template) forEndpoints(f fill, endpoints []string) (list []fill) {
	switch {
	case t.names.endpoint:
		for _, endpoint := range endpoints {
			f.endpoint = escape(endpoint)
			list = append(list, f)
		}
	case t.names.endpoints:
		for from := 0; from < len(endpoints); from += endpointsPerQuery {
			var alternatives []string
			for _, endpoint := range endpoints[from:min(len(endpoints), from+endpointsPerQuery)] {
				alternatives = append(alternatives, escape(regexp.QuoteMeta(endpoint)))
			}
			f.endpoints = strings.Join(alternatives, "|")
			list = append(list, f)
		}
	default:
		list = []fill{f}
	}
	return list
}

// escape writes a text as it stands between double quotes.
func escape(text string) string {
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

// String gives the template as it was written.
func (t *Template) String() string { return t.text }
