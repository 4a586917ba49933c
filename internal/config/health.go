package config

import (
	"fmt"
	"slices"

	"olympos.io/encoding/edn"

	"flintspread/internal/metricsanalysis"
	"flintspread/internal/metricsanalysis/promquery"
	"flintspread/internal/policy"
)

// Health configures the Prometheus servers that a controller queries, the queries, and the limits on their cost.
type Health struct {
	Servers []QueryServer `edn:"servers" validate:"required,min=1,max=16,dive"`
	// Queries are sent to every server.
	Queries []Query `edn:"queries" validate:"required,min=1,max=64,dive"`
	// QueriesPerSecond is the maximum rate of the queries to all servers together.
	QueriesPerSecond float64 `edn:"queries-a-second" validate:"gt=0,lte=1000"`
	// MaxConcurrentQueries is the maximum number of queries in flight.
	MaxConcurrentQueries int `edn:"at-once" validate:"gt=0,lte=64"`
	// TimeoutSeconds is the time after which a query is cancelled.
	TimeoutSeconds float64 `edn:"timeout" validate:"gt=0"`
	// MaxBackoffSeconds is the maximum backoff between queries to a failing server.
	MaxBackoffSeconds float64 `edn:"back-most" validate:"gt=0"`
	// MaxResponseBytes and MaxSeries are the maximum size and the maximum number of time series of a response.
	MaxResponseBytes int64 `edn:"answer-bytes" validate:"gte=1024"`
	MaxSeries        int   `edn:"series" validate:"gt=0,lte=1000000"`
	// MaxClockSkewSeconds is how far a server's clock may be ahead of this program's.
	MaxClockSkewSeconds float64 `edn:"skew" validate:"gte=0"`
}

// QueryServer is one server with the Prometheus HTTP API.
type QueryServer struct {
	// Name labels the server in metrics and logs.
	Name string `edn:"name" validate:"required,printascii,excludesall= "`
	URL  string `edn:"url" validate:"required,http_url"`
}

// Query is one query and the meaning of its results.
type Query struct {
	// Name labels the query in metrics and logs.
	Name string `edn:"name" validate:"required,printascii,excludesall= "`
	// Meaning is what the values of the result are: counts of failures, a latency quantile in seconds, a saturation
	// from 0 to 1, or whether a probe succeeded.
	Meaning edn.Keyword `edn:"meaning" validate:"oneof=counts quantile saturation probe"`
	// FailureKind is the kind of failure that is counted. Required for counts, not allowed otherwise.
	FailureKind edn.Keyword `edn:"kind" validate:"omitempty,oneof=wrong failed lost slow"`
	// Form is the form of the result: samples of a range vector, an instant vector, or a range query. Counts must be
	// samples.
	Form edn.Keyword `edn:"form" validate:"oneof=samples instant range"`
	// Query is the template of a PromQL expression. For counts it selects the counters of failures.
	Query string `edn:"query" validate:"required"`
	// Total is the template of the expression that selects the counters of all outcomes. Required for counts, not
	// allowed otherwise.
	Total string `edn:"total" validate:"omitempty"`
	// RangeSeconds and StepSeconds are the length and the resolution of a range query. Required for that form.
	RangeSeconds float64 `edn:"span" validate:"omitempty,gt=0"`
	StepSeconds  float64 `edn:"step" validate:"omitempty,gt=0"`
	// PeriodSeconds is the time between two queries.
	PeriodSeconds float64 `edn:"period" validate:"gte=0.05"`
	// StaleAfterSeconds is the age above which a result no longer counts as evidence.
	StaleAfterSeconds float64 `edn:"stale" validate:"gtfield=PeriodSeconds"`
	// Weight scales the evidence; at most 1.
	Weight float64 `edn:"weight" validate:"gt=0,lte=1"`
	// Limit is the value above which an endpoint gets a health mark: seconds for a quantile, a share for a saturation.
	// Required for these two.
	Limit float64 `edn:"limit" validate:"omitempty,gt=0"`
	// IndependentOfRouters means that the counts include no attempts of this router group. Without it the group's own
	// attempts are subtracted from the counts, so that no outcome counts twice. Optional.
	IndependentOfRouters bool `edn:"apart"`
	// EndpointLabel is the name of the label that identifies the endpoint. EndpointLabelKind is whether the label's value
	// is the endpoint's ID or its address.
	EndpointLabel     string      `edn:"unit-label" validate:"required"`
	EndpointLabelKind edn.Keyword `edn:"unit-by" validate:"oneof=id address"`
	// BuildLabel is the name of the label with the endpoint's build. Optional; without it the build is that of the
	// endpoint list.
	BuildLabel string `edn:"build-label" validate:"omitempty"`

	queryTemplate *promquery.Template
	totalTemplate *promquery.Template // nil except for counts
}

var resultForms = map[edn.Keyword]promquery.Form{
	"samples": promquery.Samples,
	"instant": promquery.Instant,
	"range":   promquery.Range,
}

// ResultForm returns the form of the results.
func (q *Query) ResultForm() promquery.Form { return resultForms[q.Form] }

// Templates returns the templates of Query and Total. total is nil except for counts.
func (q *Query) Templates() (query, total *promquery.Template) {
	return q.queryTemplate, q.totalTemplate
}

var meanings = map[edn.Keyword]metricsanalysis.Meaning{
	"counts":     metricsanalysis.Counts,
	"quantile":   metricsanalysis.Quantile,
	"saturation": metricsanalysis.Saturation,
	"probe":      metricsanalysis.Probe,
}

// AnalyzerQueries returns the queries as input for a metricsanalysis.Analyzer.
func (h *Health) AnalyzerQueries() (queries []metricsanalysis.Query) {
	for _, q := range h.Queries {
		queries = append(queries, metricsanalysis.Query{
			Name:                 q.Name,
			Meaning:              meanings[q.Meaning],
			FailureKind:          slices.Index(policy.FailureKindNames[:], string(q.FailureKind)),
			StaleAfterSeconds:    q.StaleAfterSeconds,
			MaxClockSkewSeconds:  h.MaxClockSkewSeconds,
			Weight:               q.Weight,
			Limit:                q.Limit,
			IndependentOfRouters: q.IndependentOfRouters,
		})
	}
	return queries
}

// Bounds returns the limits on the cost of the queries.
func (h *Health) Bounds() metricsanalysis.Bounds {
	return metricsanalysis.Bounds{QueriesPerSecond: h.QueriesPerSecond, MaxInFlight: h.MaxConcurrentQueries, MaxBackoffSeconds: h.MaxBackoffSeconds}
}

// validate checks fields against each other, and parses the templates.
func (h *Health) validate(loc locator) error {
	serverNames := map[string]bool{}
	for i, server := range h.Servers {
		if serverNames[server.Name] {
			return loc.fieldError(fmt.Sprintf(":health :servers %d :name", i), fmt.Sprintf("%q is already the name of another server", server.Name))
		}
		serverNames[server.Name] = true
	}
	queryNames := map[string]bool{}
	countedBy := map[edn.Keyword]string{} // name of the query by failure kind
	for i := range h.Queries {
		q := &h.Queries[i]
		fieldError := func(key, what string) error {
			return loc.fieldError(fmt.Sprintf(":health :queries %d :%s", i, key), what)
		}
		if queryNames[q.Name] {
			return fieldError("name", fmt.Sprintf("%q is already the name of another query", q.Name))
		}
		queryNames[q.Name] = true
		if key, problem := q.validate(); key != "" {
			return fieldError(key, problem)
		}
		if other, ok := countedBy[q.FailureKind]; ok && q.isCounts() {
			return fieldError("kind", fmt.Sprintf("query %q already counts this kind; the same outcomes would count twice", other))
		}
		countedBy[q.FailureKind] = q.Name
		if key, err := q.parseTemplates(); err != nil {
			return fieldError(key, err.Error())
		}
	}
	return nil
}

func (q *Query) isCounts() bool { return q.Meaning == "counts" }

// validate checks the fields of one query against each other. key is empty if the query is valid.
func (q *Query) validate() (key, problem string) {
	needsLimit := q.Meaning == "quantile" || q.Meaning == "saturation"
	hasCountsFields := q.FailureKind != "" || q.Total != "" || q.IndependentOfRouters
	switch {
	case q.isCounts() && q.FailureKind == "":
		return "kind", "missing; :counts needs the kind of failure that is counted"
	case q.isCounts() && q.Form != "samples":
		return "form", fmt.Sprintf("%v must be :samples for :counts; functions of the samples hide resets, gaps and staleness", q.Form)
	case q.isCounts() && q.Total == "":
		return "total", "missing; :counts needs the counters of all outcomes besides those of failures"
	case !q.isCounts() && hasCountsFields:
		return "meaning", fmt.Sprintf("%v does not allow :kind, :total and :apart; only :counts does", q.Meaning)
	case needsLimit && q.Limit == 0:
		return "limit", fmt.Sprintf("missing; %v needs the value above which an endpoint is marked", q.Meaning)
	case q.Form == "range" && (q.RangeSeconds == 0 || q.StepSeconds == 0 || q.StepSeconds > q.RangeSeconds):
		return "span", "a :range query needs a :span above 0, and a :step above 0 and at most :span"
	}
	return "", ""
}

// parseTemplates parses the templates. On an error it also returns the key of the invalid one.
func (q *Query) parseTemplates() (key string, err error) {
	if q.queryTemplate, err = promquery.Parse(q.Query, q.ResultForm()); err != nil {
		return "query", err
	}
	if !q.isCounts() {
		return "", nil
	}
	if q.totalTemplate, err = promquery.Parse(q.Total, q.ResultForm()); err != nil {
		return "total", err
	}
	return "", nil
}
