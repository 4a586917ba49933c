//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

// document returns the text of a configuration version: as standaloneRules, with another bound on client connections and
// another effect of seal-gate.
func document(connections int, effect string) string {
	return "{" + fmt.Sprintf(standaloneRules, connections, effect)
}

func init() { allCases["unasked-version"] = unaskedVersion }

// unaskedVersion is the case of a controller that is killed and started again while a configuration version comes that its
// router cannot apply.
func unaskedVersion(p *play) {
	const connections = 30
	var mu sync.Mutex
	runs, sentAt := map[string]int{}, map[string]float64{}
	var list []endpoints.Endpoint
	for i := range 7 {
		id := i + 1
		address := p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			command := r.Header.Get("X-Command")
			mu.Lock()
			runs[command]++
			n := runs[command]
			mu.Unlock()
			p.say("unit %d runs %s (run %d)", id, command, n)
			if id == 1 && len(command)%2 == 0 {
				w.WriteHeader(http.StatusInternalServerError) // one unit of seven fails about half of its commands, after running them
				return
			}
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintln(w, "done", command)
		}))
		list = append(list, endpoints.Endpoint{ID: uint32(id), Addr: address, State: endpoints.StateReady, Build: 1})
	}
	controlListener := p.listen()
	control := fakes.StartControlService(controlListener, insecure.NewCredentials())
	control.Set(fakes.EndpointsResponse("r1", 1, list))
	control.Set(fakes.DocumentResponse("r1", 1, 0, document(10000, ":redeliverable")))
	installer := p.serve(&releaseService{`{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`})
	listen := p.freeAddress()
	link := p.temp + "/link.sock"
	plan := p.file("plan.edn", fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :control {:addresses [%q] :silence 2.0 :back-least 0.1 :back-most 5.0 :patience 5.0 :most-bytes 8000000}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, p.freeAddress(), p.temp+"/plan", installer, controlListener.Addr(), link)+controllerPart(fmt.Sprintf(standaloneRules, 10000, ":redeliverable")))
	edge := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :share-port true :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, listen, p.freeAddress(), p.temp+"/edge", link)+fmt.Sprintf(standaloneRules, 10000, ":redeliverable"))
	planner := p.start("controller", "bin/flintspread-controller run "+plan)
	p.start("router", "bin/flintspread-router run "+edge)

	// Clients: each keeps one connection, as a scanner does.
	var served sync.Map // version by the last answers
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answered := make([]int, connections)
	versionAt := func(v string) float64 {
		if at, ok := served.Load(v); ok {
			return at.(float64)
		}
		return -1
	}
	for i := range connections {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				method, path, id := http.MethodGet, "chute", fmt.Sprintf("look-%d-%d", i, n)
				if n%2 == 1 {
					method, path, id = http.MethodPost, "seal", fmt.Sprintf("seal-%d-%d", i, n)
				}
				request, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%s", listen, path, id), nil)
				if err != nil {
					return
				}
				request.Header.Set("X-Command", id)
				mu.Lock()
				sentAt[id] = p.now()
				mu.Unlock()
				answer, err := client.Do(request)
				if err != nil {
					continue
				}
				if _, err := io.Copy(io.Discard, answer.Body); err == nil {
					answered[i]++
				}
				answer.Body.Close()
				version := answer.Header.Get("Flint-Version")
				served.Store(version, p.now())
				p.say("%s answered %s by version %s", id, answer.Header.Get("Flint-Answer"), version)
			}
		})
	}
	acked := func(version string) bool {
		for _, line := range control.Log() {
			if strings.Contains(line, "Document ACK") && strings.HasSuffix(line, fmt.Sprintf("at %q", version)) {
				return true
			}
		}
		return false
	}
	if !until(20, func() bool { return acked("v1") && versionAt("1") >= 0 && p.now() > 4 }) {
		p.fail("version 1 did not come into force: %v", control.Log())
	}
	second := fakes.DocumentResponse("r1", 2, 0, document(connections/2, ":at-most-once"))
	p.say("version 2: %d connections at most, seal-gate at most once; %d connections are open", connections/2, connections)
	if p.trouble {
		p.signal(planner, syscall.SIGKILL)
		<-planner.ended
		sleep(0.5)
		control.Set(second)
		planner = p.start("controller", "bin/flintspread-controller run "+plan)
	} else {
		control.Set(second)
	}
	until(10, func() bool { return acked("v2") })
	ackedAt := -1.0
	if acked("v2") {
		ackedAt = p.now()
		p.say("the control service has the ACK of version 2")
	}
	sleep(15)
	close(stop)
	clients.Wait()
	for _, line := range control.Log() {
		p.say("control service heard: %s", line)
	}
	twice, first := 0, ""
	mu.Lock()
	defer mu.Unlock()
	for command, n := range runs {
		if ackedAt >= 0 && strings.HasPrefix(command, "seal") && n > 1 && sentAt[command] > ackedAt+5 {
			twice++
			first = fmt.Sprintf("%s, sent %.1f s after the ACK, ran %d times", command, sentAt[command]-ackedAt, n)
		}
	}
	last := fmt.Sprintf("last answer by version 1 at %.1f, by version 2 at %.1f", versionAt("1"), versionAt("2"))
	if twice > 0 {
		p.end(exitBroken, "version 2 was acknowledged at %.1f; %d commands that it says run at most once ran twice (%s); %s", ackedAt, twice, first, last)
	}
	p.end(exitKept, "acknowledged at %.1f, no at-most-once command ran twice; %s", ackedAt, last)
}
