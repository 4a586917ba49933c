//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { allCases["restart-vote"] = restartVote }

// restartVote is the case of a controller that is killed and started again while its vote to roll a bad build back stands.
func restartVote(p *play) {
	list := newListService(p)
	serveUnit := func(id, build int) string {
		return p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			command := r.Header.Get("X-Command")
			time.Sleep(15 * time.Millisecond)
			if build == 2 && rand.Float64() < 0.6 {
				p.say("unit %d (build 2) fails %s", id, command)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			p.say("unit %d (build %d) runs %s", id, build, command)
			fmt.Fprintln(w, "chute 7")
		}))
	}
	var units []unit
	for id := 1; id <= 6; id++ {
		units = append(units, unit{ID: id, Addr: serveUnit(id, 1), State: "ready", Build: 1})
	}
	list.put(units)
	sleep(0.01)
	installer := &voteInstaller{p: p, votes: make(chan string, 1000)}
	installer.set(`{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`)
	rules := strings.Replace(groupRules, ":stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1", ":stages [0.3 0.5 1.0] :caps [0.4 0.6 1.0] :back-votes 2", 1)
	listAddress, installerAddress := p.serve(list), p.serve(installer)
	listen, link := p.freeAddress(), p.temp+"/link.sock"
	plan := p.file("plan.edn", fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, p.freeAddress(), p.temp+"/plan", listAddress, installerAddress, link)+controllerPart(rules))
	edge := p.file("edge.edn", fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :share-port true :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, listen, p.freeAddress(), p.temp+"/edge", link)+rules)
	controller := p.start("controller", "bin/flintspread-controller run "+plan)
	p.start("router", "bin/flintspread-router run "+edge)
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
	for i := range 20 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(230 * time.Millisecond):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/chute/"+id, nil)
				if err != nil {
					return
				}
				request.Header.Set("X-Command", id)
				answer, err := client.Do(request)
				if err != nil {
					p.say("%s: %v", id, err)
					continue
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					p.say("%s: %v", id, err)
				}
				answer.Body.Close()
			}
		})
	}
	sleep(7) // the controller may lease free attempts again
	started := float64(time.Now().UnixNano()) / 1e9
	fleet := append([]unit(nil), units...)
	for id := 7; id <= 8; id++ {
		fleet = append(fleet, unit{ID: id, Addr: serveUnit(id, 2), State: "ready", Build: 2, Start: started})
	}
	installer.set(`{"version":2,"build":2,"stage":0,"phase":"on-trial","cap":0.4,"age":0.1}`)
	list.put(fleet)
	p.say("build 2, which fails 60 of 100 commands, is on trial")
	var before []string
	drain := func() (votes []string) {
		for len(installer.votes) > 0 {
			votes = append(votes, <-installer.votes)
		}
		return votes
	}
	if !until(8, func() bool {
		before = append(before, drain()...)
		return len(before) > 0 && before[len(before)-1] == "back"
	}) {
		p.fail("no vote to roll back: %v", before)
	}
	sleep(1)
	before = append(before, drain()...)
	p.say("votes so far: %v", before)
	if p.trouble {
		p.kill(controller)
		sleep(0.3)
		p.start("controller", "bin/flintspread-controller run "+plan)
	}
	sleep(5)
	after := drain()
	close(stop)
	clients.Wait()
	for _, vote := range after {
		if vote == "on" {
			p.end(exitBroken, "votes before %v, then %v: a vote to go on with a build that fails 60 of 100 commands", before, after)
		}
	}
	p.end(exitKept, "votes before %v, then %v", before, after)
}
