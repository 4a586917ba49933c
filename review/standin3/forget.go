//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

// forgetRules is what the settings of deploy/edge.edn say from :schema on, with a deduplicated op type whose repeats are
// recognised within a zone.
const forgetRules = ` :schema 1
 :clients {:connections 1000 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}
 :units {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 4194304}
 :rules {:relays 1 :round 0.02 :deliveries 4 :parallel true :max-pause 1.0 :cold-from 0.3 :warm-up 4.0 :fall-multiple 3.0
         :fall-time 2.0 :window 4.0 :grace 1.0 :free 2.0 :count-per-op-type false :guarded-stages 0 :one-way-keys false
         :keys-kept 1000000 :forget-units %[1]g}
 :release {:stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1 :by-clock false :replace true :harm-price 3.0
           :stale-price 0.5 :report-share 0.3 :vote-life 10.0 :vote-timeout 0.8 :votes-a-second 20.0}
 :op-types [{:name "chute-lookup" :target 0.3 :timeout 0.75 :importance 2 :effect :redeliverable}
            {:name "batch-table" :target %[2]g :timeout %[3]g :importance 3 :effect :deduplicated :group :zone :window 12.0}]
 :routes [{:method "GET" :path "/chute/" :op-type "chute-lookup"} {:method "POST" :path "/batch/" :op-type "batch-table"}]}
`

func init() { allCases["forgotten-unit"] = forgottenUnit }

// forgottenUnit is the case of a command in flight at a unit that leaves the list, while a version with shorter times
// comes into force.
func forgottenUnit(p *play) {
	const units = 7
	var list []endpoints.Endpoint
	failNow := make(chan struct{})
	var mu sync.Mutex
	held := 0
	for i := range units {
		id := i + 1
		address := p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			command := r.Header.Get("X-Command")
			p.say("unit %d runs %s", id, command)
			if id == 1 && r.Method == http.MethodPost {
				mu.Lock()
				held++
				number := held
				mu.Unlock()
				<-failNow
				if p.trouble && number > 1 { // it fails all but one
					p.say("unit 1 fails %s", command)
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
			}
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintln(w, "done", command)
		}))
		zone := uint16(2)
		if id == 1 {
			zone = 1
		}
		list = append(list, endpoints.Endpoint{ID: uint32(id), Addr: address, State: endpoints.StateReady, Build: 1, Zone: zone})
	}
	controlListener := p.listen()
	control := fakes.StartControlService(controlListener, insecure.NewCredentials())
	control.Set(fakes.EndpointsResponse("r1", 1, list))
	control.Set(fakes.DocumentResponse("r1", 1, 0, "{"+fmt.Sprintf(forgetRules, 600.0, 8.0, 10.0)))
	installer := p.serve(&releaseService{`{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`})
	listen := p.freeAddress()
	edge := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :control {:addresses [%q] :silence 2.0 :back-least 0.1 :back-most 5.0 :patience 5.0 :most-bytes 8000000}
`, listen, p.freeAddress(), p.temp+"/edge", installer, controlListener.Addr())+fmt.Sprintf(forgetRules, 600.0, 8.0, 10.0))
	router := p.start("router", "bin/flintspread-router run "+edge)
	logged := func(part string) bool {
		for _, line := range control.Log() {
			if strings.Contains(line, part) {
				return true
			}
		}
		return false
	}
	if !until(20, func() bool {
		r, err := http.Get("http://" + listen + "/chute/0")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.Header.Get("Flint-Version") == "1" && r.StatusCode == http.StatusOK
	}) {
		p.fail("version 1 is not in force: %v", control.Log())
	}
	var clients sync.WaitGroup
	answers, unanswered := map[string]int{}, 0
	for n := range 4 * units {
		clients.Go(func() {
			id := fmt.Sprint("batch-", n)
			request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/batch/"+id, strings.NewReader("table"))
			if err != nil {
				return
			}
			request.Header.Set("X-Command", id)
			request.Header.Set("Idempotency-Key", id)
			answer, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered++
				p.say("%s got no answer: %v", id, err)
				return
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				p.say("%s: %v", id, err)
			}
			answer.Body.Close()
			answers[answer.Header.Get("Flint-Answer")]++
			p.say("%s answered %s by version %s", id, answer.Header.Get("Flint-Answer"), answer.Header.Get("Flint-Version"))
		})
	}
	if !until(3, func() bool { mu.Lock(); defer mu.Unlock(); return held > 1 }) {
		p.fail("unit 1 got fewer than two commands")
	}
	sleep(0.5)
	control.Set(fakes.EndpointsResponse("r1", 2, list[1:]))
	p.say("list 2: unit 1 has left")
	control.Set(fakes.DocumentResponse("r1", 2, 0, "{"+fmt.Sprintf(forgetRules, 2.0, 0.6, 1.5)))
	p.say("version 2: shorter times, units are forgotten after 2 s")
	if !until(5, func() bool { return logged(`Document ACK`) && logged(`at "v2"`) }) {
		p.fail("version 2 was not acknowledged: %v", control.Log())
	}
	sleep(0.5)
	close(failNow)
	crashed := until(9, func() bool { return !router.alive() })
	sleep(1)
	clients.Wait()
	for _, line := range control.Log() {
		p.say("control service heard: %s", line)
	}
	mu.Lock()
	defer mu.Unlock()
	if crashed {
		p.end(exitBroken, "the router crashed; %d commands got no answer, the others %v", unanswered, answers)
	}
	if unanswered > 0 {
		p.end(exitBroken, "%d commands got no answer, the others %v", unanswered, answers)
	}
	p.end(exitKept, "the router runs, all commands are answered: %v", answers)
}
