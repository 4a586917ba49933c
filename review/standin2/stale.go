package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleCase }

// vote is a vote as the release service got it.
type vote struct {
	at      time.Time
	via     int // the address that it came to: 0 or 1
	verdict string
	stage   int
}

// voteService is a release service with two addresses. It holds one vote of a relay at a time and moves nothing.
type voteService struct {
	mu    sync.Mutex
	votes []vote
	state object
	rec   *record
}

func (s *voteService) listen(via int) string {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/stage", func(w http.ResponseWriter, r *http.Request) {
		for begin := time.Now(); ; {
			s.mu.Lock()
			line, _ := json.Marshal(s.state)
			s.mu.Unlock()
			if time.Since(begin) > 100*time.Millisecond {
				line = []byte(`{"quiet":true}`)
			}
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
		}
	})
	mux.HandleFunc("/vote", func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		var v struct {
			Verdict string
			Stage   int
		}
		json.Unmarshal(text, &v)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.votes = append(s.votes, vote{time.Now(), via, v.Verdict, v.Stage})
		s.rec.add("vote via address %d: %s", via, text)
		reply := object{"vote": "counted"}
		for key, value := range s.state {
			reply[key] = value
		}
		json.NewEncoder(w).Encode(reply)
	})
	go http.Serve(l, mux)
	return l.Addr().String()
}

// staleCase: a controller is paused, another takes its place, and the first comes back.
func staleCase(e *env) verdict {
	// Three times :silence, in which a controller can see that it has no router any more.
	const ownSilence = 3 * time.Second
	list := startListService(e.rec, time.Second)
	service := &voteService{rec: e.rec, state: object{"version": 9, "build": 2, "stage": 0, "phase": "on-trial", "cap": 0.15, "age": 1}}
	installers := []string{service.listen(0), service.listen(1)}
	for id := 1; id <= 10; id++ {
		build := 1
		if id == 10 {
			build = 2
		}
		var n int
		var mu sync.Mutex
		list.put(id, startHTTPUnit(func(r *http.Request) (int, string) {
			mu.Lock()
			n++
			fails := build == 2 && n%2 == 0
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			if fails {
				return 500, "failed"
			}
			return 200, "done"
		}), "ready", build, 0)
	}
	shared := strings.Replace(strings.Replace(sharedText, ":back-votes 1", ":back-votes 2", 1), ":replace true", ":replace false", 1)
	socket := filepath.Join(e.dir, "r1.sock")
	controller := func(name, installer string) *child {
		plan := writeFile(filepath.Join(e.dir, name+".edn"), fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
%s}`, freePort(), filepath.Join(e.dir, name), list.address, installer, socket, shared))
		return launch(e.root, e.dir, name, "exec bin/flintspread-controller run "+plan)
	}
	listen := freePort()
	edge := writeFile(filepath.Join(e.dir, "edge-led.edn"), fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
%s%s}`, listen, freePort(), filepath.Join(e.dir, "r1-a"), socket, documentText, shared))
	first := controller("first", installers[0])
	router := launch(e.root, e.dir, "router", "exec bin/flintspread-router run "+edge)
	waitListen(router, listen)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally counter
	for n := range 10 {
		clients.Go(func() {
			http := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				response, err := http.Get(fmt.Sprintf("http://%s/chute/%d-%d", listen, n, i))
				if err != nil {
					tally.add("error")
					continue
				}
				tally.add(response.Header.Get("Flint-Answer"))
				response.Body.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	var resumed time.Time
	if e.trouble {
		e.rec.say("the first controller is paused")
		first.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		e.rec.say("a second controller takes its place")
		controller("second", installers[1])
		time.Sleep(6 * time.Second)
		e.rec.say("the first controller goes on")
		first.signal(syscall.SIGCONT)
		resumed = time.Now()
	}
	time.Sleep(25 * time.Second)
	close(stop)
	clients.Wait()
	e.rec.say("answers: %s", tally.text())
	service.mu.Lock()
	defer service.mu.Unlock()
	var stale []string
	led := 0 // votes of the controller that leads
	for _, v := range service.votes {
		if v.via == 1 || !e.trouble {
			led++
		}
		if e.trouble && v.via == 0 && v.at.Sub(resumed) > ownSilence {
			stale = append(stale, v.verdict)
		}
		e.rec.say("vote of controller %d at %.1f s: %s", v.via+1, v.at.Sub(start).Seconds(), v.verdict)
	}
	if led == 0 || tally.of("acked") < 100 {
		cannotRun("no vote, or too few requests were served")
	}
	if len(stale) > 0 {
		return verdict{fmt.Sprintf("stale: %d votes (%s) of the controller that was replaced, more than %v after it came back", len(stale), strings.Join(stale, ", "), ownSilence)}
	}
	return nil
}
