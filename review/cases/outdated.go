//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"flintspread/internal/fakes"
)

func init() { cases["outdated"] = playOutdated }

const (
	outdatedUnits  = 4
	outdatedBetter = 62 * time.Second // between the two outdated lists
	outdatedGrace  = 350 * time.Millisecond
)

// playOutdated sends a router on the platform an outdated full list twice, more than a minute apart, while the changes
// between them are current, and counts the attempts at a unit that drains. Without trouble the second one is left out.
func playOutdated(l *lab) (int, error) {
	site := fakes.NewPlatformSite("n1")
	defer site.Close()
	for id := 1; id <= outdatedUnits; id++ {
		if err := site.StartEndpoint(id, 1, 0); err != nil {
			return 0, err
		}
	}
	addresses := map[string]string{}
	platform, _, err := site.StartControlService()
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	outdated := false
	breakStream := make(chan struct{})
	var drainedAt time.Time
	hosts := func(state string) string {
		text := ""
		for id := 1; id <= outdatedUnits; id++ {
			health := "SERVING"
			if id == 1 {
				health = state
			}
			text += fmt.Sprintf(`{"host":"u%d","dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0,"image_id":1},`, id, addresses[fmt.Sprint(id)], health)
		}
		return text[:len(text)-1]
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ended, old := breakStream, outdated
		outdated = false
		mu.Unlock()
		line := ""
		switch {
		case old:
			line = `{"seq":50,"whole":true,"hosts":[` + hosts("SERVING") + `]}`
		case r.URL.Query().Get("index") == "51":
			line = `{"seq":51,"whole":false,"hosts":[]}`
		default:
			line = `{"seq":51,"whole":true,"hosts":[` + hosts("DRAINING") + `]}`
		}
		l.notef("discovery: %s: %s", r.URL.RawQuery, line)
		for {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			mu.Lock()
			if drainedAt.IsZero() {
				drainedAt = time.Now()
			}
			mu.Unlock()
			select {
			case <-ended:
				return
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
				line = ""
			}
		}
	})}
	go func() { _ = server.Serve(listener) }()
	address, err := fakes.FreePort()
	if err != nil {
		return 0, err
	}
	config := site.Config(address, listener.Addr().String(), platform)
	for _, id := range []string{"1", "2", "3", "4"} {
		addresses[id] = dialOf(config, id)
	}
	file, err := l.writeFile("node.json", config)
	if err != nil {
		return 0, err
	}
	if _, err := l.start("router", "LB_CONFIG="+file+" exec bin/flintspread-router node"); err != nil {
		return 0, err
	}
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	for i := range 3 {
		go site.RunClient(i+1, address, stop)
	}
	again := func() {
		mu.Lock()
		defer mu.Unlock()
		outdated = true
		close(breakStream)
		breakStream = make(chan struct{})
	}
	time.Sleep(2 * time.Second)
	again()
	time.Sleep(outdatedBetter)
	if l.trouble {
		again()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	late, all := 0, 0
	drained := float64(drainedAt.UnixNano())/1e9 + outdatedGrace.Seconds()
	for _, attempt := range site.Record.Attempts {
		all++
		if attempt.Endpoint == 1 && attempt.At > drained {
			late++
		}
	}
	l.notef("%d attempts, %d at unit 1 after it was told to drain", all, late)
	return late, nil
}

// dialOf returns the address of a unit in the platform's configuration file.
func dialOf(config, id string) string {
	var file struct {
		Known struct {
			Hosts []struct{ Host, Dial string }
		}
	}
	if json.Unmarshal([]byte(config), &file) == nil {
		for _, host := range file.Known.Hosts {
			if host.Host == "u"+id {
				return host.Dial
			}
		}
	}
	return ""
}
