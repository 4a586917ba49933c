//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// releaseService is the installer of the HTTP protocol: it tells one state, again every second, and counts no votes.
type releaseService struct{ state string }

func (s *releaseService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/stage" {
		fmt.Fprintln(w, `{"vote":"moot"}`)
		return
	}
	for line := s.state; ; line = `{"quiet":true}` {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// unit is an entry of the list service.
type unit struct {
	ID    int     `json:"id"`
	Addr  string  `json:"addr"`
	State string  `json:"state"`
	Build int     `json:"build"`
	Start float64 `json:"start"`
}

// listLine is one line of the list service.
type listLine struct {
	Version int     `json:"version"`
	Full    bool    `json:"full,omitempty"`
	Age     float64 `json:"age,omitempty"`
	Units   []unit  `json:"units,omitempty"`
}

// listService is a list service of the HTTP protocol: it keeps every version with the time at which it was made, and tells
// the newest that is at least lag seconds old.
type listService struct {
	p *play

	mu       sync.Mutex
	versions []listVersion
	lag      float64
	breaks   chan struct{} // closed to end the open streams
}

type listVersion struct {
	at    float64
	units []unit
}

func newListService(p *play) *listService {
	return &listService{p: p, breaks: make(chan struct{})}
}

// put makes the next version.
func (s *listService) put(units []unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{s.p.now(), units})
}

// fallBehind sets the lag.
func (s *listService) fallBehind(seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = seconds
	s.p.say("the list service runs %g s behind", seconds)
}

// endStreams ends the open streams; new ones are served.
func (s *listService) endStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.breaks)
	s.breaks = make(chan struct{})
	s.p.say("the list service ends its streams")
}

// visible returns the version that the service tells now: its number, counted from 1, its entries and their age.
func (s *listService) visible() (number int, units []unit, age float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number = 1
	for i, version := range s.versions {
		if version.at <= s.p.now()-s.lag {
			number = i + 1
		}
	}
	return number, s.versions[number-1].units, s.lag
}

func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	broken := s.breaks
	s.mu.Unlock()
	told := 0
	for {
		number, units, age := s.visible()
		line := listLine{Version: number, Age: age}
		if told == 0 || number > told {
			// A full list is always allowed; the versions of one stream grow.
			line.Full, line.Units = true, units
		} else if number < told {
			line.Version = told
		}
		told = max(told, number)
		text, err := json.Marshal(line)
		if err != nil {
			return
		}
		if line.Full {
			s.p.say("list told: %s", text)
		}
		if _, err := fmt.Fprintf(w, "%s\n", text); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-broken:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// changingInstaller is an installer whose state changes: it tells each state at once and again every second.
type changingInstaller struct {
	mu    sync.Mutex
	state string
}

func (s *changingInstaller) set(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *changingInstaller) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *changingInstaller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/stage" {
		var reply map[string]any
		if err := json.Unmarshal([]byte(s.get()), &reply); err != nil {
			return
		}
		reply["vote"] = "counted"
		text, err := json.Marshal(reply)
		if err != nil {
			return
		}
		fmt.Fprintln(w, string(text))
		return
	}
	for told, at := "", time.Now(); ; {
		if state := s.get(); state != told || time.Since(at) > time.Second {
			if _, err := fmt.Fprintln(w, state); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			told, at = state, time.Now()
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// voteInstaller is an installer that records the votes it gets.
type voteInstaller struct {
	changingInstaller
	p     *play
	votes chan string
}

func (s *voteInstaller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/vote" {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var vote struct{ Verdict string }
		if err := json.Unmarshal(text, &vote); err != nil {
			return
		}
		s.p.say("the installer gets the vote %s", strings.TrimSpace(string(text)))
		select {
		case s.votes <- vote.Verdict:
		default:
		}
	}
	s.changingInstaller.ServeHTTP(w, r)
}
