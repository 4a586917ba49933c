package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// healthText replaces the key :rules of a controller's settings file by a :health section and :rules.
const healthText = ` :health {:servers [{:name "a" :url "http://127.0.0.1:9090"}
                    {:name "b" :url "http://127.0.0.1:9091"}]
          :queries [{:name "errors" :meaning :counts :kind :failed :form :samples
                     :query "unit_errors_total{build=~\"{{.Builds}}\"}[15s]"
                     :total "unit_answers_total{build=~\"{{.Builds}}\"}[15s]"
                     :period 1.0 :stale 10.0 :weight 1.0 :unit-label "unit" :unit-by :id}
                    {:name "p99" :meaning :quantile :form :range :query "unit_p99" :span 10.0 :step 1.0
                     :period 2.0 :stale 10.0 :weight 0.5 :limit 0.3 :unit-label "instance" :unit-by :address}]
          :queries-a-second 20.0 :at-once 4 :timeout 1.0 :back-most 30.0 :answer-bytes 4000000 :series 5000 :skew 1.0}
 :rules`

// Each error in the settings of query servers names file, line and key. Queries are checked with the PromQL parser.
func Example_health() {
	text, err := os.ReadFile("../../deploy/plan.edn")
	if err != nil {
		panic(err)
	}
	whole := strings.Replace(string(text), "\n :rules", "\n"+healthText, 1)
	if _, err := ParseController("plan.edn", []byte(whole)); err != nil {
		panic(err)
	}
	for _, change := range [][2]string{
		{`:name "b"`, `:name "a"`},
		{`"http://127.0.0.1:9091"`, `"127.0.0.1:9091"`},
		{`:meaning :counts`, `:meaning :errors`},
		{`:kind :failed `, ``},
		{`:kind :failed`, `:kind :late`},
		{`:form :samples`, `:form :instant`},
		{`\"{{.Builds}}\"}[15s]"
                     :total`, `\"{{.Builds}}\"}"
                     :total`},
		{`unit_answers_total{build=~\"{{.Builds}}\"}[15s]`, `rate(unit_answers_total[15s])`},
		{`{{.Builds}}`, `{{.Unknown}}`},
		{`unit_p99`, `unit_p99{`},
		{`:span 10.0 `, ``},
		{`:limit 0.3 `, ``},
		{`:stale 10.0 :weight 1.0`, `:stale 0.5 :weight 1.0`},
		{`:weight 0.5`, `:weight 1.5`},
		{`:unit-by :address`, `:unit-by :name`},
		{`:name "p99" :meaning :quantile`, `:name "errors" :meaning :quantile`},
		{`{:name "p99" :meaning :quantile :form :range :query "unit_p99" :span 10.0 :step 1.0`,
			`{:name "more" :meaning :counts :kind :failed :form :samples :query "a[1s]" :total "b[1s]"`},
		{`:queries-a-second 20.0 `, ``},
	} {
		if !strings.Contains(whole, change[0]) {
			panic(change[0])
		}
		_, err := ParseController("plan.edn", []byte(strings.Replace(whole, change[0], change[1], 1)))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) {
			fmt.Print("not a field error: ")
		}
		fmt.Println(err)
	}
	// Output:
	// plan.edn:28: :health :servers 1 :name: "a" is already the name of another server
	// plan.edn:28: :health :servers 1 :url: "127.0.0.1:9091" is no http:// address
	// plan.edn:29: :health :queries 0 :meaning: :errors must be one of counts quantile saturation probe
	// plan.edn:29: :health :queries 0 :kind: missing; :counts needs the kind of failure that is counted
	// plan.edn:29: :health :queries 0 :kind: :late must be one of wrong failed lost slow
	// plan.edn:29: :health :queries 0 :form: :instant must be :samples for :counts; functions of the samples hide resets, gaps and staleness
	// plan.edn:30: :health :queries 0 :query: must be a range vector selector such as name{...}[15s]: functions of the samples hide resets, gaps and staleness
	// plan.edn:31: :health :queries 0 :total: must be a range vector selector such as name{...}[15s]: functions of the samples hide resets, gaps and staleness
	// plan.edn:30: :health :queries 0 :query: query:1:28: executing "query" at <.Unknown>: can't evaluate field Unknown in type promquery.fill
	// plan.edn:33: :health :queries 1 :query: 1:10: parse error: unexpected end of input inside braces
	// plan.edn:33: :health :queries 1 :span: a :range query needs a :span above 0, and a :step above 0 and at most :span
	// plan.edn:33: :health :queries 1 :limit: missing; :quantile needs the value above which an endpoint is marked
	// plan.edn:32: :health :queries 0 :stale: 0.5 must be above that of :period
	// plan.edn:34: :health :queries 1 :weight: 1.5 must be at most 1
	// plan.edn:34: :health :queries 1 :unit-by: :name must be one of id address
	// plan.edn:33: :health :queries 1 :name: "errors" is already the name of another query
	// plan.edn:33: :health :queries 1 :kind: query "errors" already counts this kind; the same outcomes would count twice
	// plan.edn:27: :health :queries-a-second: missing
}
