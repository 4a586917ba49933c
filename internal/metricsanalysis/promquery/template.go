// Package promquery generates PromQL queries from templates with placeholders for builds and endpoints, and checks the
// templates with the PromQL parser before anything is sent.
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

// Form is the form of the answer to a query.
type Form uint8

// The forms of answers.
const (
	Samples Form = iota // a range vector at one instant: the scraped values with their own timestamps
	Instant             // a vector at one instant; its values have the time of the query
	Range               // values at regular steps over a time range
)

// endpointsPerQuery is the maximum number of endpoints in one query.
const endpointsPerQuery = 100

var grammar = parser.NewParser(parser.Options{})

// Template is a query with placeholders for builds and endpoints: {{.Build}}, {{.Builds}}, {{.Unit}} and {{.Units}}. It
// is immutable and safe for concurrent use.
type Template struct {
	text  string
	query *template.Template
	names placeholders
}

// placeholders are the placeholders that a template uses.
type placeholders struct{ build, builds, endpoint, endpoints bool }

// fill holds the values for the placeholders of a template. Its methods have the names used in templates and record
// that they were called. Its type name appears in the error for an unknown placeholder.
type fill struct {
	build, builds, endpoint, endpoints string
	named                              *placeholders
}

// Build returns one build.
func (f fill) Build() string { f.named.build = true; return f.build }

// Builds returns all builds as alternatives of a regular expression.
func (f fill) Builds() string { f.named.builds = true; return f.builds }

// Unit returns the label value of one endpoint.
func (f fill) Unit() string { f.named.endpoint = true; return f.endpoint }

// Units returns the label values of several endpoints as alternatives of a regular expression.
func (f fill) Units() string { f.named.endpoints = true; return f.endpoints }

// Parse parses a template and checks that the query it generates has answers of the given form. Errors are worded for
// the author of the template.
func Parse(text string, form Form) (*Template, error) {
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

// checkSamples rejects an expression other than a plain range selector at the query time.
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

// isPresent reports whether a selector has neither an offset nor an @ modifier.
func isPresent(vector *parser.VectorSelector) bool {
	hasOffset := vector.OriginalOffset != 0 || vector.OriginalOffsetExpr != nil
	hasTime := vector.Timestamp != nil || vector.StartOrEnd != 0
	return !hasOffset && !hasTime
}

// execute generates the query for the given values.
func (t *Template) execute(f fill) (string, error) {
	var b strings.Builder
	if err := t.query.Execute(&b, f); err != nil {
		return "", withoutPrefix(err)
	}
	return b.String(), nil
}

// withoutPrefix removes the package name from a template error, which is shown next to the setting that holds the
// template.
func withoutPrefix(err error) error {
	return errors.New(strings.TrimPrefix(err.Error(), "template: "))
}

// Queries generates the queries for builds and endpoints, which are given by their label values. A template with .Build
// or .Unit yields a query for each build or endpoint, one with .Units a query for each endpointsPerQuery endpoints, and
// any other a single query.
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

// forEndpoints returns the values for each of the queries that cover the endpoints.
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

// escape escapes a text for use between double quotes.
func escape(text string) string {
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

// String returns the template's source text.
func (t *Template) String() string { return t.text }
