package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// listService streams the endpoint list to routers and controllers, as docs/protocol.md describes.
type listService struct {
	mu      sync.Mutex
	version int
	units   map[int]object
	streams map[chan object]bool
	address string
	beat    time.Duration // between two lines that say that nothing changed
	rec     *record
}

func startListService(rec *record, beat time.Duration) *listService {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	s := &listService{version: 40, units: map[int]object{}, streams: map[chan object]bool{}, address: l.Addr().String(), beat: beat, rec: rec}
	go http.Serve(l, http.HandlerFunc(s.serve))
	return s
}

// put tells a unit's state, which has been true for age.
func (s *listService) put(id int, address, state string, build int, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	unit := object{"id": id, "addr": address, "state": state, "build": build, "start": 0}
	s.units[id] = unit
	line := object{"version": s.version, "units": []object{unit}}
	if age > 0 {
		line["age"] = age.Seconds()
	}
	for stream := range s.streams {
		stream <- line
	}
	s.rec.add("list version %d: unit %d build %d %s, age %.1f s", s.version, id, build, state, age.Seconds())
}

// beatNow tells all streams that nothing changed.
func (s *listService) beatNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		stream <- object{"version": s.version}
	}
}

func (s *listService) serve(w http.ResponseWriter, r *http.Request) {
	stream := make(chan object, 100)
	s.mu.Lock()
	full := object{"version": s.version, "full": true}
	units := []object{}
	for id := 1; id <= len(s.units); id++ {
		units = append(units, s.units[id])
	}
	full["units"] = units
	s.streams[stream] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.streams, stream)
		s.mu.Unlock()
	}()
	out := json.NewEncoder(w)
	out.Encode(full)
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case line := <-stream:
			if out.Encode(line) != nil {
				return
			}
		case <-time.After(s.beat):
			s.mu.Lock()
			line := object{"version": s.version}
			s.mu.Unlock()
			if out.Encode(line) != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
	}
}

// startReleaseService streams one state of the newest build and counts votes without acting on them.
func startReleaseService(rec *record, build, stage int, phase string, limit float64) string {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	state := object{"version": 9, "build": build, "stage": stage, "phase": phase, "cap": limit, "age": 60}
	mux := http.NewServeMux()
	mux.HandleFunc("/stage", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(state)
		w.(http.Flusher).Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
			if _, err := io.WriteString(w, "{\"quiet\":true}\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	})
	mux.HandleFunc("/vote", func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		rec.add("vote: %s", text)
		json.NewEncoder(w).Encode(object{"version": 9, "build": build, "stage": stage, "phase": phase, "cap": limit, "age": 60, "vote": "counted"})
	})
	go http.Serve(l, mux)
	return l.Addr().String()
}

// startHTTPUnit starts a unit that passes each request, once it is read whole, to handle.
func startHTTPUnit(handle func(r *http.Request) (status int, text string)) string {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					status, text := handle(r)
					if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

const documentText = `
 :schema 1
 :clients {:connections 10000 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}
 :units   {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 4194304}
 :routes [{:method "GET"  :path "/chute/"  :op-type "chute-lookup"}
          {:method "POST" :path "/batch/"  :op-type "batch-table"}
          {:method "POST" :path "/divert/" :op-type "divert-record"}
          {:method "POST" :path "/seal/"   :op-type "seal-gate"}]`

const sharedText = `
 :rules {:relays 2 :round 0.02 :deliveries 4 :parallel true :max-pause 1.0 :cold-from 0.3 :warm-up 4.0 :fall-multiple 3.0
         :fall-time 2.0 :window 4.0 :grace 1.0 :free 2.0 :count-per-op-type false :guarded-stages 0 :one-way-keys false
         :keys-kept 1000000 :forget-units 600.0}
 :release {:stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1 :by-clock false :replace true :harm-price 3.0
           :stale-price 0.5 :report-share 0.3 :vote-life 10.0 :vote-timeout 0.8 :votes-a-second 20.0}
 :op-types [{:name "chute-lookup"  :target 0.3 :timeout 0.75 :importance 2 :effect :redeliverable}
            {:name "batch-table"   :target 0.6 :timeout 1.5  :importance 3 :effect :redeliverable}
            {:name "divert-record" :target 0.3 :timeout 0.75 :importance 2 :effect :deduplicated :group :all :window 1.5}
            {:name "seal-gate"     :target 0.3 :timeout 0.75 :importance 3 :effect :at-most-once}]`

func writeFile(path, text string) string {
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	return path
}

// startRouter starts a router of its own and waits until it accepts connections.
func startRouter(e *env, list, installer string) (*child, string) {
	listen := freePort()
	file := writeFile(filepath.Join(e.dir, "edge.edn"), fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :overload {:shed true :memory 268435456}
%s%s}`, listen, freePort(), filepath.Join(e.dir, "r1"), list, installer, documentText, sharedText))
	c := launch(e.root, e.dir, "router", "exec bin/flintspread-router run "+file)
	waitListen(c, listen)
	return c, listen
}

func waitListen(c *child, address string) {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && c.running(); time.Sleep(50 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			return
		}
	}
	cannotRun("the program does not listen at %s; see %s", address, c.log)
}

// startGroup starts a controller and one router of it.
func startGroup(e *env, list, installer string) (controller, router *child, address string) {
	listen, socket := freePort(), filepath.Join(e.dir, "r1.sock")
	plan := writeFile(filepath.Join(e.dir, "plan.edn"), fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
%s}`, freePort(), filepath.Join(e.dir, "plan"), list, installer, socket, sharedText))
	edge := writeFile(filepath.Join(e.dir, "edge-led.edn"), fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :share-port true :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
%s%s}`, listen, freePort(), filepath.Join(e.dir, "r1-a"), socket, documentText, sharedText))
	controller = launch(e.root, e.dir, "controller", "exec bin/flintspread-controller run "+plan)
	router = launch(e.root, e.dir, "router", "exec bin/flintspread-router run "+edge)
	waitListen(router, listen)
	return controller, router, listen
}
