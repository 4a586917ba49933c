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

// queryServerSettings returns the example's settings with query servers.
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

// endpointScrape is one scrape of an endpoint: its counters and gauges.
func endpointScrape(id, build int, all, wrong, up float64) (list []fakes.Sample) {
	labels := map[string]string{"unit": strconv.Itoa(id), "build": strconv.Itoa(build)}
	for name, value := range map[string]float64{"unit_answers_total": all, "unit_wrong_total": wrong, "unit_errors_total": 0, "unit_probe_success": up,
		"unit_busy": 0.1, "unit_answer_seconds": 0.05} {
		list = append(list, fakes.Sample{Name: name, Labels: labels, Value: value})
	}
	return list
}

// Two query servers beside a router that saw only two wrong answers: their evidence leads to a rollback vote and marks
// endpoints for the routers. When both servers fail, the marks end and votes depend on the router's reports alone.
func TestMetricsEvidenceRaisesVoteAndMarks(t *testing.T) {
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
	c := newController(settings, discardLog(), nil)
	var err error
	if c.metricsEvidence, err = c.newMetricsEvidence(); err != nil {
		t.Fatal(err)
	}
	c.restore(1, SavedState{})
	services := &fakeServices{release: releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}}
	c.store, _, _, err = OpenStateStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, c.store)
	c.voteSender = &releases.VoteSender{Router: "r1", URL: services.serve(t), TimeoutSeconds: 0.5, Client: http.DefaultClient, Log: c.log,
		OnSend: c.onVoteSend, OnReply: c.onVoteReply}
	c.voteSender.Open()
	update := &endpoints.Update{Version: 1, Full: true}
	for id := 1; id <= 4; id++ {
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: uint32(id), Addr: "127.0.0.1:1", State: "ready", Build: 1 + (id-1)/2})
	}
	c.saveRequests = make(chan struct{}, 1)
	if err := c.applyEndpointUpdate(update); err != nil {
		t.Fatal(err)
	}
	c.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, c.now())
	sendReport := func(sequence uint64, wrongAnswers float32) {
		report := canaryFailureReport(sequence)
		for _, tally := range report.Tally {
			tally.Bad = []float32{0, 0, 0, 0}
			if tally.Build == 2 {
				tally.N, tally.Bad[0] = []float32{30, 30, 30, 30}, wrongAnswers
			}
		}
		c.acceptReport(report)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.metricsEvidence.run(ctx) })
	running.Go(func() { c.voteSender.Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	n := 0.0
	scrape := func(wrong float64) {
		n += 40
		for _, q := range servers {
			q.AddSamples(wall(), slices.Concat(endpointScrape(1, 1, n, 0, 0), endpointScrape(2, 1, n, 0, 1), endpointScrape(3, 2, n, wrong*n, 1), endpointScrape(4, 2, n, wrong*n, 1)))
		}
		time.Sleep(60 * time.Millisecond)
		c.tick()
	}
	rollbackCast := func() bool { return slices.Contains(services.verdicts(), "back on 2") }
	for range 20 {
		sendReport(uint64(n/40+1), 1)
		scrape(0)
		if rollbackCast() {
			t.Fatal("two wrong answers brought a vote by themselves")
		}
	}
	eventually(t, "the query servers raise two wrong answers to a vote", func() bool { scrape(0.3); return rollbackCast() })
	marks := func() (byEndpoint map[uint32]*linkpb.Mark, version uint64) {
		c.tick()
		assignment := c.nextAssignment("e", 1)
		byEndpoint = map[uint32]*linkpb.Mark{}
		for _, m := range assignment.Marks {
			byEndpoint[m.Unit] = m
		}
		return byEndpoint, assignment.MarksNo
	}
	eventually(t, "endpoints are marked", func() bool {
		scrape(0.3)
		m, _ := marks()
		return m[3] != nil && m[3].Wrong > 0.1 && m[4] != nil && m[4].Wrong > 0.1 && m[1] != nil && m[1].Ailing > 0.5 && m[1].Wrong == 0 && m[2] == nil
	})
	_, before := marks()
	for _, q := range servers {
		q.SetFault(fakes.FaultConnectionReset)
	}
	eventually(t, "the marks end with the servers", func() bool {
		m, version := marks()
		return len(m) == 0 && version > before
	})
	c.mu.Lock()
	counts := c.metricsEvidence.analysis.Evidence(c.now())
	c.mu.Unlock()
	if len(counts.Samples) > 0 {
		t.Error("silent query servers still count:", counts)
	}
}

// The example rules and alerts parse, and name metrics that the programs expose.
func TestRulesFile(t *testing.T) {
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
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&groups); err != nil {
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
				t.Errorf("%s%s: %v", rule.Record, rule.Alert, err)
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
					t.Errorf("%s%s names %s, which no program exposes", rule.Alert, rule.Record, m[0])
				}
			}
		}
	}
	if found < 10 {
		t.Errorf("%d metrics found", found)
	}
}

// sourceFiles returns the non-test Go files of some folders.
func sourceFiles(t *testing.T, dirs ...string) (files []string) {
	for _, dir := range dirs {
		found, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: %d Go files, %v", dir, len(found), err)
		}
		for _, file := range found {
			if !strings.HasSuffix(file, "_test.go") {
				files = append(files, file)
			}
		}
	}
	return files
}

// BenchmarkHealth measures a controller's cost of sending five queries to two query servers once a second, all in one
// process. It reports the cores used when the same answers are queried and discarded, which is the servers' cost; the
// additional cores used by poller, analysis and ticks; the heap in use, servers included; and the p99 query time.
func BenchmarkHealth(b *testing.B) {
	for _, endpointCount := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("units-%d", endpointCount), func(b *testing.B) {
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
				settings.Health.Queries[i].Period, settings.Health.Queries[i].StaleAfterSeconds = 1, 5
			}
			c := newController(settings, discardLog(), nil)
			var err error
			if c.metricsEvidence, err = c.newMetricsEvidence(); err != nil {
				b.Fatal(err)
			}
			c.voteSender = &releases.VoteSender{Router: "r1", URL: "http://127.0.0.1:1", Log: c.log} // not running: votes are never sent
			c.voteSender.Open()
			update := &endpoints.Update{Version: 1, Full: true}
			for id := range endpointCount {
				update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: uint32(id + 1), Addr: "127.0.0.1:1", State: "ready", Build: 1 + id%2})
			}
			c.restore(1, SavedState{})
			if err := c.applyEndpointUpdate(update); err != nil {
				b.Fatal(err)
			}
			c.applyRelease(releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}, c.now())
			n := 0.0
			scrape := func() {
				n += 10
				for _, q := range servers {
					var list []fakes.Sample
					for id := range endpointCount {
						list = append(list, endpointScrape(id+1, 1+id%2, n, n/10, 1)...)
					}
					q.AddSamples(wall(), list)
				}
			}
			const measuredSeconds = 4
			usage := func(into *syscall.Rusage) {
				if err := syscall.Getrusage(syscall.RUSAGE_SELF, into); err != nil {
					b.Fatal(err)
				}
			}
			used := func(do func(context.Context)) (cpu float64) {
				ctx, cancel := context.WithTimeout(context.Background(), measuredSeconds*time.Second)
				defer cancel()
				var from, to syscall.Rusage
				usage(&from)
				var scraping sync.WaitGroup
				scraping.Go(func() {
					for ctx.Err() == nil {
						scrape()
						time.Sleep(500 * time.Millisecond)
					}
				})
				do(ctx)
				scraping.Wait()
				usage(&to)
				at := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
				return (at(to) - at(from)) / measuredSeconds
			}
			var heap runtime.MemStats
			for b.Loop() {
				total := used(func(ctx context.Context) {
					var ticking sync.WaitGroup
					ticking.Go(func() {
						for ctx.Err() == nil {
							c.tick()
							time.Sleep(100 * time.Millisecond)
						}
					})
					c.metricsEvidence.run(ctx)
					ticking.Wait()
				})
				runtime.GC()
				runtime.ReadMemStats(&heap)
				queries := 0
				for _, q := range servers {
					queries += q.Queries()
				}
				serversOnly := used(func(ctx context.Context) { queryAndDiscard(ctx, queries, urls) })
				b.ReportMetric(total-serversOnly, "planner-cores")
				b.ReportMetric(serversOnly, "servers-cores")
				b.ReportMetric(float64(queries)/measuredSeconds, "queries/s")
				b.ReportMetric(float64(heap.HeapInuse)/(1<<20), "MiB")
				b.ReportMetric(1000*p99(c, b), "p99-ms")
			}
		})
	}
}

// queryAndDiscard sends as many queries as the poller did, over the same time, and discards the answers.
func queryAndDiscard(ctx context.Context, n int, urls []string) {
	queries := []string{"unit_wrong_total[3s]", "unit_answers_total[3s]", "unit_errors_total[3s]", "unit_answers_total[3s]", "unit_probe_success",
		"unit_busy", "unit_answer_seconds[2s]"}
	end, _ := ctx.Deadline()
	gap := time.Until(end) / time.Duration(n+1)
	for i := range n {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
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

// p99 estimates the p99 query time of the slower server, in seconds, as the upper bound of its histogram bucket.
func p99(c *Controller, b *testing.B) (worst float64) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(c.metricsEvidence.poller.Collectors()...)
	families, err := reg.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			h := m.GetHistogram()
			for _, bucket := range h.GetBucket() {
				if float64(bucket.GetCumulativeCount()) >= 0.99*float64(h.GetSampleCount()) {
					worst = max(worst, bucket.GetUpperBound())
					break
				}
			}
		}
	}
	return worst
}
