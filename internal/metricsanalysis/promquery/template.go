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

// Form is the type of a query and of its result.
type Form uint8

// The forms of queries.
const (
	Samples Form = iota // an instant query of a range vector: the scraped values with their own timestamps
	Instant             // an instant query of an instant vector: one value per series, as of the query time
	Range               // a range query: values at regular steps over a time range
)

// maxEndpointsPerQuery is the maximum number of endpoints in one query.
const maxEndpointsPerQuery = 100

var promQLParser = parser.NewParser(parser.Options{})

// Template is a PromQL query with placeholders for builds and endpoints: {{.Build}}, {{.Builds}}, {{.Unit}} and
// {{.Units}}. It is immutable and safe for concurrent use.
type Template struct {
	text   string
	parsed *template.Template
	used   placeholders
}

// placeholders records which placeholders a template uses.
type placeholders struct{ build, builds, endpoint, endpoints bool }

// fill holds the values for the placeholders of a template. Its methods are the placeholders, and record in used that
// they were called. The type name appears in the error text for an unknown placeholder.
type fill struct {
	build, builds, endpoint, endpoints string
	used                               *placeholders
}

// Build returns the label value of one build.
func (f fill) Build() string { f.used.build = true; return f.build }

// Builds returns the label values of all builds, as alternatives of a regular expression.
func (f fill) Builds() string { f.used.builds = true; return f.builds }

// Unit returns the label value of one endpoint.
func (f fill) Unit() string { f.used.endpoint = true; return f.endpoint }

// Units returns the label values of several endpoints, as alternatives of a regular expression.
func (f fill) Units() string { f.used.endpoints = true; return f.endpoints }

// Parse parses a template and checks that the query that it generates is a valid PromQL expression of the given form.
// Errors are worded for the author of the template.
func Parse(text string, form Form) (*Template, error) {
	parsed, err := template.New("query").Option("missingkey=error").Parse(text)
	if err != nil {
		return nil, trimErrorPrefix(err)
	}
	t := &Template{text: text, parsed: parsed}
	example, err := t.execute(fill{"1", "1|2", "7", "7|8", &t.used})
	if err != nil {
		return nil, err
	}
	if t.used.endpoint && t.used.endpoints || t.used.build && t.used.builds {
		return nil, errors.New("must not use both .Unit and .Units, or both .Build and .Builds")
	}
	expression, err := promQLParser.ParseExpr(example)
	if err != nil {
		return nil, err
	}
	if form == Samples {
		if err := checkSamples(expression); err != nil {
			return nil, err
		}
		return t, nil
	}
	if valueType := expression.Type(); valueType != parser.ValueTypeVector {
		return nil, fmt.Errorf("returns a %s; this form requires an instant vector, with one value per series", valueType)
	}
	return t, nil
}

// checkSamples returns an error for any expression other than a range vector selector at the query time.
func checkSamples(expression parser.Expr) error {
	matrix, ok := expression.(*parser.MatrixSelector)
	if !ok {
		return errors.New("must be a range vector selector such as name{...}[15s]: functions of the samples hide resets, gaps and staleness")
	}
	if vector, ok := matrix.VectorSelector.(*parser.VectorSelector); !ok || !isAtQueryTime(vector) {
		return errors.New("must not use offset or @: the samples must be those up to the query time")
	}
	return nil
}

// isAtQueryTime reports whether a selector has neither an offset nor an @ modifier.
func isAtQueryTime(vector *parser.VectorSelector) bool {
	hasOffset := vector.OriginalOffset != 0 || vector.OriginalOffsetExpr != nil
	hasTimestamp := vector.Timestamp != nil || vector.StartOrEnd != 0
	return !hasOffset && !hasTimestamp
}

// execute generates the query for the given placeholder values.
func (t *Template) execute(f fill) (string, error) {
	var b strings.Builder
	if err := t.parsed.Execute(&b, f); err != nil {
		return "", trimErrorPrefix(err)
	}
	return b.String(), nil
}

// trimErrorPrefix removes the name of package template from its errors, which are shown after the name of the setting
// that holds the template.
func trimErrorPrefix(err error) error {
	return errors.New(strings.TrimPrefix(err.Error(), "template: "))
}

// Queries generates the queries for the given builds and endpoint label values. A template with .Build yields a query
// for each build, one with .Unit a query for each endpoint, one with .Units a query for each maxEndpointsPerQuery
// endpoints, and any other template a single query.
func (t *Template) Queries(builds []int, endpointLabels []string) (queries []string, err error) {
	var buildLabels []string
	for _, build := range builds {
		buildLabels = append(buildLabels, strconv.Itoa(build))
	}
	values := fill{builds: strings.Join(buildLabels, "|"), used: &placeholders{}}
	for _, f := range t.fillEndpoints(values, endpointLabels) {
		queryBuilds := []string{""}
		if t.used.build {
			queryBuilds = buildLabels
		}
		for _, build := range queryBuilds {
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

// fillEndpoints returns copies of f that hold the endpoints for each of the queries that the template requires.
func (t *Template) fillEndpoints(f fill, labels []string) (list []fill) {
	switch {
	case t.used.endpoint:
		for _, label := range labels {
			f.endpoint = escapeString(label)
			list = append(list, f)
		}
	case t.used.endpoints:
		for start := 0; start < len(labels); start += maxEndpointsPerQuery {
			var alternatives []string
			for _, label := range labels[start:min(len(labels), start+maxEndpointsPerQuery)] {
				alternatives = append(alternatives, escapeString(regexp.QuoteMeta(label)))
			}
			f.endpoints = strings.Join(alternatives, "|")
			list = append(list, f)
		}
	default:
		list = []fill{f}
	}
	return list
}

// escapeString escapes a text for use in a double-quoted PromQL string.
func escapeString(text string) string {
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

// String returns the template's source text.
func (t *Template) String() string { return t.text }
