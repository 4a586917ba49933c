package config

import (
	"fmt"
	"slices"

	"olympos.io/encoding/edn"

	"flintspread/internal/metricsanalysis"
	"flintspread/internal/metricsanalysis/promquery"
	"flintspread/internal/policy"
)

// Health says which query servers a planner asks, and what.
type Health struct {
	Servers     []QueryServer `edn:"servers" validate:"required,min=1,max=16,dive"`
	Queries     []Query       `edn:"queries" validate:"required,min=1,max=64,dive"`
	ASecond     float64       `edn:"queries-a-second" validate:"gt=0,lte=1000"` // all servers together
	AtOnce      int           `edn:"at-once" validate:"gt=0,lte=64"`
	Timeout     float64       `edn:"timeout" validate:"gt=0"`
	BackMost    float64       `edn:"back-most" validate:"gt=0"` // s, the longest that a failing server is left alone
	AnswerBytes int64         `edn:"answer-bytes" validate:"gte=1024"`
	Series      int           `edn:"series" validate:"gt=0,lte=1000000"` // in an answer
	Skew        float64       `edn:"skew" validate:"gte=0"`              // s that a server's clock may be ahead
}

// QueryServer is one server that speaks the HTTP API.
type QueryServer struct {
	Name string `edn:"name" validate:"required,printascii,excludesall= "`
	URL  string `edn:"url" validate:"required,http_url"`
}

// Query is one question to all of them.
type Query struct {
	Name       string      `edn:"name" validate:"required,printascii,excludesall= "`
	Meaning    edn.Keyword `edn:"meaning" validate:"oneof=counts quantile saturation probe"`
	Kind       edn.Keyword `edn:"kind" validate:"omitempty,oneof=wrong failed lost slow"` // of :counts
	Form       edn.Keyword `edn:"form" validate:"oneof=samples instant range"`
	Query      string      `edn:"query" validate:"required"`           // of :counts: the failures
	Total      string      `edn:"total" validate:"omitempty"`          // of :counts: all outcomes
	Span       float64     `edn:"span" validate:"omitempty,gt=0"`      // s, of :range
	Step       float64     `edn:"step" validate:"omitempty,gt=0"`      // s, of :range
	Period     float64     `edn:"period" validate:"gte=0.05"`          // s between askings
	Stale      float64     `edn:"stale" validate:"gtfield=Period"`     // s after which an answer says nothing
	Weight     float64     `edn:"weight" validate:"gt=0,lte=1"`        //
	Limit      float64     `edn:"limit" validate:"omitempty,gt=0"`     // of :quantile, s, and :saturation, a share
	Apart      bool        `edn:"apart"`                               // of :counts: no delivery of this relay is in it
	UnitLabel  string      `edn:"unit-label" validate:"required"`      //
	UnitBy     edn.Keyword `edn:"unit-by" validate:"oneof=id address"` // what the label holds
	BuildLabel string      `edn:"build-label" validate:"omitempty"`    // optional; else the list says which build a unit is of
	asked      *promquery.Template
	total      *promquery.Template
}

var forms = map[edn.Keyword]promquery.Form{"samples": promquery.Samples, "instant": promquery.Instant, "range": promquery.Range}

// FormOf is how the answers come.
func (q *Query) FormOf() promquery.Form { return forms[q.Form] }

// Templates gives the query's templates; total is nil but for counts.
func (q *Query) Templates() (query, total *promquery.Template) { return q.asked, q.total }

var meanings = map[edn.Keyword]metricsanalysis.Meaning{"counts": metricsanalysis.Counts, "quantile": metricsanalysis.Quantile, "saturation": metricsanalysis.Saturation, "probe": metricsanalysis.Probe}

// Questions gives the queries as the module of package health takes them.
func (h *Health) Questions() (list []metricsanalysis.Question) {
	for _, q := range h.Queries {
		list = append(list, metricsanalysis.Question{Name: q.Name, Meaning: meanings[q.Meaning], Kind: slices.Index(policy.FailureKinds[:], string(q.Kind)),
			Stale: q.Stale, Skew: h.Skew, Weight: q.Weight, Limit: q.Limit, Apart: q.Apart})
	}
	return list
}

// Bounds gives what asking may cost.
func (h *Health) Bounds() metricsanalysis.Bounds {
	return metricsanalysis.Bounds{ASecond: h.ASecond, AtOnce: h.AtOnce, BackMost: h.BackMost}
}

// check finds what the fields alone do not show, and reads the templates.
func (h *Health) check(at place) error {
	names, kinds := map[string]bool{}, map[edn.Keyword]string{}
	for i, s := range h.Servers {
		if names[s.Name] {
			return at.fault(fmt.Sprintf(":health :servers %d :name", i), fmt.Sprintf("%q stands twice", s.Name))
		}
		names[s.Name] = true
	}
	clear(names)
	for i := range h.Queries {
		q := &h.Queries[i]
		fault := func(key, what string) error { return at.fault(fmt.Sprintf(":health :queries %d :%s", i, key), what) }
		if names[q.Name] {
			return fault("name", fmt.Sprintf("%q stands twice", q.Name))
		}
		names[q.Name] = true
		counts := q.Meaning == "counts"
		switch {
		case counts && q.Kind == "":
			return fault("kind", "missing; of :counts it says which failures are counted")
		case counts && q.Form != "samples":
			return fault("form", "counters are followed by their samples: what is reckoned from them hides resets, gaps and ages")
		case counts && q.Total == "":
			return fault("total", "missing; failures say nothing without the outcomes that they are among")
		case !counts && (q.Kind != "" || q.Total != "" || q.Apart):
			return fault("meaning", "only :counts have :kind, :total and :apart")
		case (q.Meaning == "quantile" || q.Meaning == "saturation") && q.Limit == 0:
			return fault("limit", "missing; above it a unit is marked")
		case q.Form == "range" && (q.Span == 0 || q.Step == 0 || q.Step > q.Span):
			return fault("span", "a :range needs a :span, and a :step not above it")
		}
		if other, ok := kinds[q.Kind]; ok && counts {
			return fault("kind", fmt.Sprintf("%q counts this kind too: the same outcomes would count twice", other))
		}
		kinds[q.Kind] = q.Name
		var err error
		if q.asked, err = promquery.Read(q.Query, q.FormOf()); err != nil {
			return fault("query", err.Error())
		}
		if counts {
			if q.total, err = promquery.Read(q.Total, q.FormOf()); err != nil {
				return fault("total", err.Error())
			}
		}
	}
	return nil
}
