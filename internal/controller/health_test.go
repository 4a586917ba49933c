package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
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

// healthSet is the example's planner with query servers.
func healthSet(t testing.TB, urls ...string) *config.Controller {
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
	return exampleSet(t, "\n :rules", "\n :health {:servers ["+strings.Join(servers, "")+"] :queries ["+queries+
		"] :queries-a-second 200 :at-once 8 :timeout 1.0 :back-most 0.3 :answer-bytes 8000000 :series 5000 :skew 1.0}\n :rules")
}

// shows is what unit id of a build has counted.
func shows(id, build int, all, wrong, up float64) (list []fakes.Scrape) {
	l := map[string]string{"unit": strconv.Itoa(id), "build": strconv.Itoa(build)}
	for name, v := range map[string]float64{"unit_answers_total": all, "unit_wrong_total": wrong, "unit_errors_total": 0, "unit_probe_success": up,
		"unit_busy": 0.1, "unit_answer_seconds": 0.05} {
		list = append(list, fakes.Scrape{Name: name, Labels: l, Value: v})
	}
	return list
}

// A pair of query servers beside an edge that saw two wrong answers only: the source lifts that to a back vote, marks units
// for the edges, and when both servers die the marks end and the votes rest on what the edge saw.
func TestWitness(t *testing.T) {
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
	set := healthSet(t, urls...)
	p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	var err error
	if p.witness, err = p.newWitness(); err != nil {
		t.Fatal(err)
	}
	p.begin(1, SavedState{})
	h := &hall{news: releases.Update{Version: 4, Build: 2, Phase: "on-trial", Cap: 0.2}}
	p.store, _, _, err = OpenStateStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer p.store.Close()
	p.box = &releases.VoteSender{Relay: "r1", URL: h.serve(t), Timeout: 0.5, Client: http.DefaultClient, Log: p.log, OnSend: p.asked, OnReply: p.replied}
	p.box.Open()
	line := &endpoints.Update{Version: 1, Full: true}
	for id := 1; id <= 4; id++ {
		line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: uint32(id), Addr: "127.0.0.1:1", State: "ready", Build: 1 + (id-1)/2})
	}
	p.saves = make(chan struct{}, 1)
	if err := p.takeList(line); err != nil {
		t.Fatal(err)
	}
	p.enter(releases.Update{Version: 4, Build: 2, Phase: "on-trial", Cap: 0.2}, p.now())
	own := func(seq uint64, flags float32) {
		d := bad(seq)
		for _, x := range d.Tally {
			x.Bad = []float32{0, 0, 0, 0}
			if x.Build == 2 {
				x.N, x.Bad[0] = []float32{30, 30, 30, 30}, flags
			}
		}
		p.digest(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.witness.run(ctx); close(done) }()
	boxed := make(chan struct{})
	go func() { p.box.Run(ctx); close(boxed) }()
	defer func() { cancel(); <-done; <-boxed }()
	n := 0.0
	scrape := func(wrong float64) {
		n += 40
		for _, q := range servers {
			q.Enter(wall(), slices.Concat(shows(1, 1, n, 0, 0), shows(2, 1, n, 0, 1), shows(3, 2, n, wrong*n, 1), shows(4, 2, n, wrong*n, 1)))
		}
		time.Sleep(60 * time.Millisecond)
		p.turn()
	}
	back := func() bool { return slices.Contains(h.told(), "back on 2") }
	for range 20 {
		own(uint64(n/40+1), 1)
		scrape(0)
		if back() {
			t.Fatal("two reports brought a vote by themselves")
		}
	}
	soon(t, "the source lifts two reports to a vote", func() bool { scrape(0.3); return back() })
	marks := func() (of map[uint32]*linkpb.Mark, no uint64) {
		p.turn()
		v := p.view("e", 1)
		of = map[uint32]*linkpb.Mark{}
		for _, m := range v.Marks {
			of[m.Unit] = m
		}
		return of, v.MarksNo
	}
	soon(t, "units are marked", func() bool {
		scrape(0.3)
		m, _ := marks()
		return m[3] != nil && m[3].Wrong > 0.1 && m[4] != nil && m[4].Wrong > 0.1 && m[1] != nil && m[1].Ailing > 0.5 && m[1].Wrong == 0 && m[2] == nil
	})
	_, no := marks()
	for _, q := range servers {
		q.Ail(fakes.Dead)
	}
	soon(t, "the marks end with the servers", func() bool {
		m, now := marks()
		return len(m) == 0 && now > no
	})
	p.mu.Lock()
	counts := p.witness.source.Counted(p.now())
	p.mu.Unlock()
	if len(counts.Samples) > 0 {
		t.Error("a silent source is still heard:", counts)
	}
}

// The example rules and alerts read well, and name numbers that the programs give.
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
	given := map[string]bool{}
	for _, file := range []string{"../router/numbers.go", "numbers.go", "../promclient/poll.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?:metric|counter)\("([a-z_0-9]+)"|Name: "([a-z_0-9]+)"`).FindAllStringSubmatch(string(text), -1) {
			given[strings.TrimPrefix(strings.TrimPrefix(m[1]+m[2], "flintplan_"), "flintedge_")] = true
		}
	}
	n := 0
	for _, g := range groups.Groups {
		for _, r := range g.Rules {
			if _, err := parser.NewParser(parser.Options{}).ParseExpr(r.Expr); err != nil || (r.Record == "") == (r.Alert == "") {
				t.Errorf("%s%s: %v", r.Record, r.Alert, err)
			}
			for _, m := range regexp.MustCompile(`\bflint(?:edge|plan)_([a-z_0-9]+)`).FindAllStringSubmatch(r.Expr, -1) {
				name := m[1]
				if strings.Contains(r.Expr, ":flintedge_"+name) {
					continue // a recorded one
				}
				n++
				for _, end := range []string{"_bucket", "_count", "_sum"} {
					name = strings.TrimSuffix(name, end)
				}
				if !given[name] {
					t.Errorf("%s%s names %s, which nothing gives", r.Alert, r.Record, m[0])
				}
			}
		}
	}
	if n < 10 {
		t.Errorf("%d numbers found", n)
	}
}

// BenchmarkHealth is a planner's share in asking two query servers five queries, each once a second, all in one process.
// Reported: cores used when the same is asked as often and
// thrown away, which is the servers' part; what poller, source and the planner's turns use beyond that; heap in use, servers too; p99
// of asking.
func BenchmarkHealth(b *testing.B) {
	for _, units := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("units-%d", units), func(b *testing.B) {
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
			set := healthSet(b, urls...)
			for i := range set.Health.Queries {
				set.Health.Queries[i].Period, set.Health.Queries[i].Stale = 1, 5
			}
			p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
			var err error
			if p.witness, err = p.newWitness(); err != nil {
				b.Fatal(err)
			}
			p.box = &releases.VoteSender{Relay: "r1", URL: "http://127.0.0.1:1", Log: p.log} // nobody takes the votes out of it
			p.box.Open()
			line := &endpoints.Update{Version: 1, Full: true}
			for id := range units {
				line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: uint32(id + 1), Addr: "127.0.0.1:1", State: "ready", Build: 1 + id%2})
			}
			p.begin(1, SavedState{})
			p.takeList(line)
			p.enter(releases.Update{Version: 4, Build: 2, Phase: "on-trial", Cap: 0.2}, p.now())
			n := 0.0
			scrape := func() {
				n += 10
				for _, q := range servers {
					var list []fakes.Scrape
					for id := range units {
						list = append(list, shows(id+1, 1+id%2, n, n/10, 1)...)
					}
					q.Enter(wall(), list)
				}
			}
			const secs = 4
			used := func(do func(context.Context)) (cpu float64) {
				ctx, cancel := context.WithTimeout(context.Background(), secs*time.Second)
				defer cancel()
				var from, to syscall.Rusage
				syscall.Getrusage(syscall.RUSAGE_SELF, &from)
				var scraping sync.WaitGroup
				scraping.Go(func() {
					for ctx.Err() == nil {
						scrape()
						time.Sleep(500 * time.Millisecond)
					}
				})
				do(ctx)
				scraping.Wait()
				syscall.Getrusage(syscall.RUSAGE_SELF, &to)
				at := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
				return (at(to) - at(from)) / secs
			}
			var heap runtime.MemStats
			for b.Loop() {
				all := used(func(ctx context.Context) {
					go func() {
						for ctx.Err() == nil {
							p.turn()
							time.Sleep(100 * time.Millisecond)
						}
					}()
					p.witness.run(ctx)
				})
				runtime.GC()
				runtime.ReadMemStats(&heap)
				asked := 0
				for _, q := range servers {
					asked += q.Asked()
				}
				alone := used(func(ctx context.Context) { plain(ctx, asked, urls) })
				b.ReportMetric(all-alone, "planner-cores")
				b.ReportMetric(alone, "servers-cores")
				b.ReportMetric(float64(asked)/secs, "queries/s")
				b.ReportMetric(float64(heap.HeapInuse)/(1<<20), "MiB")
				b.ReportMetric(1000*p99(p, b), "p99-ms")
			}
		})
	}
}

// plain asks as much as the poller did, over the same seconds, and throws the answers away.
func plain(ctx context.Context, n int, urls []string) {
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
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	<-ctx.Done()
}

// p99 reads the quantile off the poller's histograms: the bound of its bucket, s, of the slower server.
func p99(p *Controller, b *testing.B) (worst float64) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(p.witness.poller.Collectors()...)
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
