//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

func init() { allCases["wide-window"] = wideWindow }

// wideWindow plays an entry of the first review's report: a version raises :window from 4 to 12 s, and the ledger of leases keeps
// the file's. A router is killed soon after a trial has begun; its next process is leased the free deliveries again 5 s later.
func wideWindow(p *play) {
	const window, free, limit, slack = 12.0, 8.0, 0.02, 0.15
	rules := strings.NewReplacer(":free 2.0", ":free 8.0", ":stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0]", ":stages [0.02 0.4 1.0] :caps [0.02 0.5 1.0]").Replace(groupRules)
	var mu sync.Mutex
	var trialAt, acceptedAt []float64
	serveUnit := func(id, build int) string {
		return p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			command := r.Header.Get("X-Command")
			mu.Lock()
			if build == 2 {
				trialAt = append(trialAt, p.now())
			}
			mu.Unlock()
			p.say("unit %d (build %d) runs %s", id, build, command)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintln(w, "done", command)
		}))
	}
	units := []endpoints.Endpoint{{ID: 1, Addr: serveUnit(1, 1), State: endpoints.StateReady, Build: 1}, {ID: 2, Addr: serveUnit(2, 1), State: endpoints.StateReady, Build: 1}}
	controlListener := p.listen()
	control := fakes.StartControlService(controlListener, insecure.NewCredentials())
	control.Set(fakes.EndpointsResponse("r1", 1, units))
	control.Set(fakes.DocumentResponse("r1", 1, 0, "{"+strings.Replace(rules, ":window 4.0", ":window 12.0", 1)))
	installer := &changingInstaller{state: `{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`}
	installerAddress := p.serve(installer)
	listen, link := p.freeAddress(), p.temp+"/link.sock"
	plan := p.file("plan.edn", fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :control {:addresses [%q] :silence 2.0 :back-least 0.1 :back-most 5.0 :patience 5.0 :most-bytes 8000000}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, p.freeAddress(), p.temp+"/plan", installerAddress, controlListener.Addr(), link)+controllerPart(rules))
	edge := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :share-port true :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, listen, p.freeAddress(), p.temp+"/edge", link)+rules)
	p.start("controller", "bin/flintspread-controller run "+plan)
	router := p.start("router", "bin/flintspread-router run "+edge)
	if !until(20, func() bool {
		r, err := http.Get("http://" + listen + "/chute/0")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK && r.Header.Get("Flint-Version") == "1"
	}) {
		p.fail("version 1 is not in force")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(480 * time.Millisecond):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/chute/"+id, nil)
				if err != nil {
					return
				}
				request.Header.Set("X-Command", id)
				sentAt := p.now()
				answer, err := client.Do(request)
				if err != nil && strings.Contains(err.Error(), "connection refused") {
					p.say("%s not taken: %v", id, err)
					continue
				}
				mu.Lock()
				acceptedAt = append(acceptedAt, sentAt) // also where the router was killed before it answered
				mu.Unlock()
				if err != nil {
					p.say("%s got no answer: %v", id, err)
					continue
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					p.say("%s: %v", id, err)
				}
				answer.Body.Close()
				p.say("%s answered %s", id, answer.Header.Get("Flint-Answer"))
			}
		})
	}
	sleep(14) // leases of an earlier controller must be over, and a window must be full
	trial := endpoints.Endpoint{ID: 3, Addr: serveUnit(3, 2), State: endpoints.StateReady, Build: 2, StartedAt: float64(time.Now().UnixNano()) / 1e9}
	installer.set(`{"version":2,"build":2,"stage":0,"phase":"on-trial","cap":0.02,"age":0.1}`)
	control.Set(fakes.EndpointsResponse("r1", 2, append(append([]endpoints.Endpoint(nil), units...), trial)))
	p.say("build 2 is on trial: cap 0.02, one unit")
	sleep(2.6)
	if p.trouble {
		p.kill(router)
		sleep(1.2)
		p.start("router", "bin/flintspread-router run "+edge)
	}
	sleep(8)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	sort.Float64s(trialAt)
	sort.Float64s(acceptedAt)
	between := func(times []float64, from, to float64) (n int) {
		for _, at := range times {
			if at > from && at <= to {
				n++
			}
		}
		return n
	}
	worst, broken, what := 0.0, 0, ""
	for _, at := range trialAt {
		deliveries := float64(between(trialAt, at-window, at))
		allowed := free + limit*float64(between(acceptedAt, at-window-slack, at))
		if over := deliveries - allowed; over > 0 {
			broken++
			if over > worst {
				worst = over
				what = fmt.Sprintf("%.0f deliveries at build 2 in the 12 s up to %.3f, %.1f allowed", deliveries, at, allowed)
			}
		}
	}
	if broken > 0 {
		p.end(exitBroken, "%d of %d deliveries at build 2 were over the cap; worst: %s", broken, len(trialAt), what)
	}
	p.end(exitKept, "%d deliveries at build 2, all within the cap", len(trialAt))
}
