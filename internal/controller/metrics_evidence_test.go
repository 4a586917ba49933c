package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/prometheus/promql/parser"
	"go.yaml.in/yaml/v3"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
	"flintspread/internal/releases"
)

// queryServerSettings returns the example's settings with query servers at the given URLs and one query for each metric of
// endpointScrape.
func queryServerSettings(t testing.TB, urls ...string) *config.Controller {
	var servers []string
	for i, u := range urls {
		servers = append(servers, fmt.Sprintf("{:name \"q%d\" :url %q}", i+1, u))
	}
	const gauge = `{:name %q :meaning :%s :form :%s :query %q %s :period 0.1 :stale 1.0 :weight 1.0 :unit-label "unit" :unit-by :id}`
	const counts = `{:name %q :meaning :counts :kind :%s :form :samples :query "%s{build=~\"{{.Builds}}\"}[3s]" :total "unit_answers_total{build=~\"{{.Builds}}\"}[3s]"
		:period 0.1 :stale 1.0 :weight 1.0 :unit-label "unit" :unit-by :id :build-label "build"}`
	queries := fmt.Sprintf(counts, "wrong", "wrong", "unit_wrong_total") + fmt.Sprintf(counts, "errors", "failed", "unit_errors_total") +
		fmt.Sprintf(gauge, "up", "probe", "instant", "unit_probe_success", "") +
		fmt.Sprintf(gauge, "busy", "saturation", "instant", "unit_busy", ":limit 0.9") +
		fmt.Sprintf(gauge, "p99", "quantile", "range", "unit_answer_seconds", ":limit 0.3 :span 2.0 :step 0.5")
	return exampleSettings(t, "\n :rules", "\n :health {:servers ["+strings.Join(servers, "")+"] :queries ["+queries+
		"] :queries-a-second 200 :at-once 8 :timeout 1.0 :back-most 0.3 :answer-bytes 8000000 :series 5000 :skew 1.0}\n :rules")
}

// endpointScrape returns one scrape of an endpoint: its counters and gauges.
func endpointScrape(id, build int, answers, wrong, up float64) (scrapes []fakes.Sample) {
	labels := map[string]string{"unit": strconv.Itoa(id), "build": strconv.Itoa(build)}
	for name, value := range map[string]float64{"unit_answers_total": answers, "unit_wrong_total": wrong, "unit_errors_total": 0, "unit_probe_success": up,
		"unit_busy": 0.1, "unit_answer_seconds": 0.05} {
		scrapes = append(scrapes, fakes.Sample{Name: name, Labels: labels, Value: value})
	}
	return scrapes
}

// A router's report of two wrong answers leads to no vote. Together with the evidence of two query servers it leads to a
// rollback vote, and the routers receive health marks. When both servers fail, the marks are cleared and the evidence is
// empty, so that votes depend on the router's reports alone.
func TestMetricsEvidenceLeadsToVoteAndMarks(t *testing.T) {
	var servers []*fakes.QueryServer
	var urls []string
	wall := func() float64 { return float64(time.Now().UnixNano()) / 1e9 }
	for range 2 {
		q, err := fakes.StartQueryServer(wall)
		if err != nil {
			t.Fatal(err)
		}
		defer q.Stop()
		servers, urls = append(servers, q), append(urls, q.URL)
	}
	settings := queryServerSettings(t, urls...)
	controller := newController(settings, discardLog(), nil)
	var err error
	if controller.metricsEvidence, err = controller.newMetricsEvidence(); err != nil {
		t.Fatal(err)
	}
	controller.restore(1, SavedState{})
	services := &fakeServices{release: releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}}
	controller.store, _, _, err = OpenStateStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, controller.store)
	controller.voteSender = &releases.VoteSender{RouterGroup: "r1", URL: services.serve(t), TimeoutSeconds: 0.5, Client: http.DefaultClient, Log: controller.log,
		OnSend: controller.onVoteSend, OnReply: controller.onVoteReply}
	controller.voteSender.Open()
	update := &endpoints.Update{Version: 1, Full: true}
	for id := 1; id <= 4; id++ {
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: uint32(id), Addr: "127.0.0.1:1", State: "ready", Build: 1 + (id-1)/2})
	}
	controller.saveRequests = make(chan struct{}, 1)
	if err := controller.applyEndpointUpdate(update); err != nil {
		t.Fatal(err)
	}
	controller.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, controller.now())
	sendReport := func(sequence uint64, wrongAnswers float32) {
		report := canaryFailureReport(sequence)
		for _, tally := range report.Tally {
			tally.Bad = []float32{0, 0, 0, 0}
			if tally.Build == 2 {
				tally.N, tally.Bad[0] = []float32{30, 30, 30, 30}, wrongAnswers
			}
		}
		controller.acceptReport(report)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { controller.metricsEvidence.run(ctx) })
	running.Go(func() { controller.voteSender.Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	answers := 0.0 // per endpoint, so far
	scrape := func(wrongShare float64) {
		answers += 40
		for _, q := range servers {
			q.AddSamples(wall(), slices.Concat(endpointScrape(1, 1, answers, 0, 0), endpointScrape(2, 1, answers, 0, 1),
				endpointScrape(3, 2, answers, wrongShare*answers, 1), endpointScrape(4, 2, answers, wrongShare*answers, 1)))
		}
		time.Sleep(60 * time.Millisecond)
		controller.tick()
	}
	rollbackCast := func() bool { return slices.Contains(services.verdicts(), "back on 2") }
	for range 20 {
		sendReport(uint64(answers/40+1), 1)
		scrape(0)
		if rollbackCast() {
			t.Fatal("two reported wrong answers led to a rollback vote without metrics evidence")
		}
	}
	eventually(t, "a rollback vote with the evidence of the query servers", func() bool {
		sendReport(uint64(answers/40+1), 1) // a router that stops reporting is removed together with its counts
		scrape(0.3)
		return rollbackCast()
	})
	marks := func() (byEndpoint map[uint32]*linkpb.Mark, version uint64) {
		controller.tick()
		assignment := controller.nextAssignment("e", 1)
		byEndpoint = map[uint32]*linkpb.Mark{}
		for _, m := range assignment.Marks {
			byEndpoint[m.Unit] = m
		}
		return byEndpoint, assignment.MarksNo
	}
	eventually(t, "health marks of endpoints 1, 3 and 4", func() bool {
		scrape(0.3)
		m, _ := marks()
		return m[3] != nil && m[3].Wrong > 0.1 && m[4] != nil && m[4].Wrong > 0.1 && m[1] != nil && m[1].Ailing > 0.5 && m[1].Wrong == 0 && m[2] == nil
	})
	_, lastVersion := marks()
	for _, q := range servers {
		q.SetFault(fakes.FaultConnectionReset)
	}
	eventually(t, "no health marks without query servers", func() bool {
		m, version := marks()
		return len(m) == 0 && version > lastVersion
	})
	controller.mu.Lock()
	evidence := controller.metricsEvidence.analysis.Evidence(controller.now())
	controller.mu.Unlock()
	if len(evidence.Samples) > 0 {
		t.Error("evidence without query servers:", evidence)
	}
}

// The example recording and alerting rules parse, and use only metrics that the programs expose.
func TestExampleRulesFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/prometheus-rules.yml")
	if err != nil {
		t.Fatal(err)
	}
	var groups struct {
		Groups []struct {
			Name, Interval string
			Rules          []struct {
				Record, Alert, Expr, For string
				Labels, Annotations      map[string]string
			}
		}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&groups); err != nil {
		t.Fatal(err)
	}
	exposed := map[string]bool{}
	for _, file := range sourceFiles(t, "../router", ".", "../promclient") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?:metric|counter)\("([a-z_0-9]+)"|Name: "([a-z_0-9]+)"`).FindAllStringSubmatch(string(text), -1) {
			exposed[strings.TrimPrefix(strings.TrimPrefix(m[1]+m[2], "flintplan_"), "flintedge_")] = true
		}
	}
	found := 0
	for _, group := range groups.Groups {
		for _, rule := range group.Rules {
			if _, err := parser.NewParser(parser.Options{}).ParseExpr(rule.Expr); err != nil || (rule.Record == "") == (rule.Alert == "") {
				t.Errorf("rule %s%s does not parse, or is not either a record or an alert: %v", rule.Record, rule.Alert, err)
			}
			for _, m := range regexp.MustCompile(`\bflint(?:edge|plan)_([a-z_0-9]+)`).FindAllStringSubmatch(rule.Expr, -1) {
				name := m[1]
				if strings.Contains(rule.Expr, ":flintedge_"+name) {
					continue // defined by a recording rule
				}
				found++
				for _, suffix := range []string{"_bucket", "_count", "_sum"} {
					name = strings.TrimSuffix(name, suffix)
				}
				if !exposed[name] {
					t.Errorf("rule %s%s uses %s, which no program exposes", rule.Alert, rule.Record, m[0])
				}
			}
		}
	}
	if found < 10 {
		t.Errorf("only %d uses of metrics found, want 10 or more", found)
	}
}

// sourceFiles returns the non-test Go files in the given folders.
func sourceFiles(t *testing.T, dirs ...string) (files []string) {
	for _, dir := range dirs {
		found, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: found %d Go files, error %v", dir, len(found), err)
		}
		for _, file := range found {
			if !strings.HasSuffix(file, "_test.go") {
				files = append(files, file)
			}
		}
	}
	return files
}

// BenchmarkMetricsEvidence measures a controller's cost of sending five queries to each of two query servers once a
// second, all in one process. It reports the cores used by as many queries whose responses are discarded, which is the
// servers' cost; the additional cores used by poller, analysis and ticks; the heap in use, including the servers'; and
// the p99 query time.
func BenchmarkMetricsEvidence(b *testing.B) {
	for _, endpointCount := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("endpoints-%d", endpointCount), func(b *testing.B) {
			wall := func() float64 { return float64(time.Now().UnixNano()) / 1e9 }
			var urls []string
			var servers []*fakes.QueryServer
			for range 2 {
				q, err := fakes.StartQueryServer(wall)
				if err != nil {
					b.Fatal(err)
				}
				defer q.Stop()
				urls, servers = append(urls, q.URL), append(servers, q)
			}
			settings := queryServerSettings(b, urls...)
			for i := range settings.Health.Queries {
				settings.Health.Queries[i].PeriodSeconds, settings.Health.Queries[i].StaleAfterSeconds = 1, 5
			}
			controller := newController(settings, discardLog(), nil)
			var err error
			if controller.metricsEvidence, err = controller.newMetricsEvidence(); err != nil {
				b.Fatal(err)
			}
			controller.voteSender = &releases.VoteSender{RouterGroup: "r1", URL: "http://127.0.0.1:1", Log: controller.log} // not running, so votes are not sent
			controller.voteSender.Open()
			update := &endpoints.Update{Version: 1, Full: true}
			for id := range endpointCount {
				update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: uint32(id + 1), Addr: "127.0.0.1:1", State: "ready", Build: 1 + id%2})
			}
			controller.restore(1, SavedState{})
			if err := controller.applyEndpointUpdate(update); err != nil {
				b.Fatal(err)
			}
			controller.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, controller.now())
			answers := 0.0 // per endpoint, so far
			scrape := func() {
				answers += 10
				for _, q := range servers {
					var scrapes []fakes.Sample
					for id := range endpointCount {
						scrapes = append(scrapes, endpointScrape(id+1, 1+id%2, answers, answers/10, 1)...)
					}
					q.AddSamples(wall(), scrapes)
				}
			}
			const measuredSeconds = 4
			readUsage := func(usage *syscall.Rusage) {
				if err := syscall.Getrusage(syscall.RUSAGE_SELF, usage); err != nil {
					b.Fatal(err)
				}
			}
			// coresUsed runs work for measuredSeconds, while the endpoints are scraped, and returns the CPU cores used.
			coresUsed := func(work func(context.Context)) float64 {
				ctx, cancel := context.WithTimeout(context.Background(), measuredSeconds*time.Second)
				defer cancel()
				var before, after syscall.Rusage
				readUsage(&before)
				var scraping sync.WaitGroup
				scraping.Go(func() {
					for ctx.Err() == nil {
						scrape()
						time.Sleep(500 * time.Millisecond)
					}
				})
				work(ctx)
				scraping.Wait()
				readUsage(&after)
				cpuSeconds := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
				return (cpuSeconds(after) - cpuSeconds(before)) / measuredSeconds
			}
			var heap runtime.MemStats
			for b.Loop() {
				total := coresUsed(func(ctx context.Context) {
					var ticking sync.WaitGroup
					ticking.Go(func() {
						for ctx.Err() == nil {
							controller.tick()
							time.Sleep(100 * time.Millisecond)
						}
					})
					controller.metricsEvidence.run(ctx)
					ticking.Wait()
				})
				runtime.GC()
				runtime.ReadMemStats(&heap)
				queries := 0
				for _, q := range servers {
					queries += q.Queries()
				}
				serversOnly := coresUsed(func(ctx context.Context) { queryAndDiscard(ctx, queries, urls) })
				b.ReportMetric(total-serversOnly, "controller-cores")
				b.ReportMetric(serversOnly, "servers-cores")
				b.ReportMetric(float64(queries)/measuredSeconds, "queries/s")
				b.ReportMetric(float64(heap.HeapInuse)/(1<<20), "heap-MiB")
				b.ReportMetric(1000*p99(controller, b), "p99-ms")
			}
		})
	}
}

// queryAndDiscard sends queryCount queries, evenly spread until the deadline of ctx, and discards the responses.
func queryAndDiscard(ctx context.Context, queryCount int, urls []string) {
	queries := []string{"unit_wrong_total[3s]", "unit_answers_total[3s]", "unit_errors_total[3s]", "unit_answers_total[3s]", "unit_probe_success",
		"unit_busy", "unit_answer_seconds[2s]"}
	end, _ := ctx.Deadline()
	interval := time.Until(end) / time.Duration(queryCount+1)
	for i := range queryCount {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		resp, err := http.PostForm(urls[i%2]+"/api/v1/query", url.Values{"query": {queries[i/2%len(queries)]}})
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return
		}
	}
	<-ctx.Done()
}

// p99 returns the p99 query time of the slowest server in seconds, estimated as the upper bound of its histogram bucket.
func p99(c *Controller, b *testing.B) (worst float64) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(c.metricsEvidence.poller.Collectors()...)
	families, err := registry.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			histogram := m.GetHistogram()
			for _, bucket := range histogram.GetBucket() {
				if float64(bucket.GetCumulativeCount()) >= 0.99*float64(histogram.GetSampleCount()) {
					worst = max(worst, bucket.GetUpperBound())
					break
				}
			}
		}
	}
	return worst
}
