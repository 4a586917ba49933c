//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { allCases["stale-list"] = staleList }

// staleList is the case of a list service that falls behind while its stream is opened anew.
func staleList(p *play) {
	const grace, slack = 1.0, 0.25
	list := newListService(p)
	var mu sync.Mutex
	deliveries := map[int]int{}
	drainTold, late := 0.0, 0
	var firstLate string
	units := make([]unit, 4)
	for i := range units {
		id := i + 1
		address := p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			at := p.now()
			command := r.Header.Get("X-Command")
			mu.Lock()
			deliveries[id]++
			if id == 4 && drainTold > 0 && at > drainTold+grace+slack {
				late++
				if firstLate == "" {
					firstLate = fmt.Sprintf("command %s reached unit 4 %.2f s after the router was told that it drains", command, at-drainTold)
				}
			}
			mu.Unlock()
			p.say("unit %d runs command %s", id, command)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintln(w, "done", command)
		}))
		units[i] = unit{ID: id, Addr: address, State: "ready", Build: 1}
	}
	list.put(units)
	sleep(0.01)
	listAddress := p.serve(list)
	installer := p.serve(&releaseService{`{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`})
	listen, admin := p.freeAddress(), p.freeAddress()
	settings := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
`, listen, admin, p.temp+"/state", listAddress, installer)+fmt.Sprintf(standaloneRules, 10000, ":at-most-once"))
	p.start("router", "bin/flintspread-router run "+settings)
	if !until(20, func() bool {
		r, err := http.Get("http://" + listen + "/chute/0")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}) {
		p.fail("the router does not serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var numbers sync.Mutex
	number := 0
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				numbers.Lock()
				number++
				id := number
				numbers.Unlock()
				request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/chute/%d", listen, id), nil)
				if err != nil {
					return
				}
				request.Header.Set("X-Command", fmt.Sprint(id))
				answer, err := client.Do(request)
				if err != nil {
					p.say("command %d: %v", id, err)
					continue
				}
				text, _ := io.ReadAll(answer.Body)
				answer.Body.Close()
				p.say("command %d answered %s %s", id, answer.Header.Get("Flint-Answer"), strings.TrimSpace(string(text)))
			}
		})
	}
	sleep(2)
	drained := append([]unit(nil), units...)
	drained[3].State = "draining"
	list.put(drained)
	sleep(0.5) // the stream tells it within 0.2 s
	mu.Lock()
	drainTold = p.now()
	mu.Unlock()
	p.say("the router has been told for 0.3 s or more that unit 4 drains")
	sleep(2)
	if p.trouble {
		list.fallBehind(9)
	}
	list.endStreams()
	sleep(12)
	if p.trouble {
		list.fallBehind(0)
	}
	sleep(1)
	close(stop)
	clients.Wait()
	mu.Lock()
	n, first := late, firstLate
	mu.Unlock()
	if n > 0 {
		p.end(exitBroken, "%d deliveries at a draining unit after the grace; first: %s", n, first)
	}
	p.end(exitKept, "no delivery at the draining unit after the grace; deliveries by unit %v", deliveries)
}
