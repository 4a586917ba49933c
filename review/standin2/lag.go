package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lag"] = lagCase }

// lagCase: the list runs behind; its lines say by how much.
func lagCase(e *env) verdict {
	list := startListService(e.rec, 2*time.Second)
	installer := startReleaseService(e.rec, 1, 2, "released", 1)
	var toldAt [9]atomic.Int64 // when the drain of a unit was written
	begin := time.Now()
	var mu sync.Mutex
	var after []float64
	addresses := make([]string, 9)
	for id := 1; id <= 8; id++ {
		addresses[id] = startHTTPUnit(func(r *http.Request) (int, string) {
			if at := toldAt[id].Load(); at > 0 {
				late := time.Since(begin) - time.Duration(at)
				e.rec.add("unit %d got %s %.3f s after its drain was told", id, r.URL.Path, late.Seconds())
				if late > 1050*time.Millisecond {
					mu.Lock()
					after = append(after, late.Seconds())
					mu.Unlock()
				}
			}
			time.Sleep(30 * time.Millisecond)
			return 200, "done"
		})
		list.put(id, addresses[id], "ready", 1, 0)
	}
	_, _, listen := startGroup(e, list.address, installer)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
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
				if err == nil {
					if response.StatusCode == 200 {
						served.Add(1)
					}
					response.Body.Close()
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	age := time.Duration(0)
	if e.trouble {
		age = 5 * time.Second
	}
	for id := 1; id <= 3; id++ {
		list.beatNow()
		time.Sleep(100 * time.Millisecond)
		list.put(id, addresses[id], "draining", 1, age)
		toldAt[id].Store(int64(time.Since(begin)))
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	e.rec.say("served %d", served.Load())
	if served.Load() < 100 {
		cannotRun("too few requests were served")
	}
	if len(after) > 0 {
		return verdict{fmt.Sprintf("drain: %d attempts later than 1.05 s after the drain was told, up to %.3f s", len(after), after[len(after)-1])}
	}
	return nil
}
