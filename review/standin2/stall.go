package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stall"] = stallCase }

// stallCase: the relay stands still again and again; meanwhile some clients ask and leave. Clients leave without the
// disruption, too.
func stallCase(e *env) verdict {
	const (
		still  = 1000 * time.Millisecond
		every  = 3 * time.Second
		rounds = 6
		bound  = 100 * time.Millisecond
	)
	d := startDiscovery(e.rec)
	first := releasedNews()
	control := startControl(e.rec, first)
	var mu sync.Mutex
	closedAt := map[string]time.Time{} // by the id of a request
	var after []time.Duration
	begun := 0
	for i := range 15 {
		u := startUnit(fmt.Sprintf("s-%02d", i), 1, time.Time{}, func(c *call) {
			mu.Lock()
			if closed, left := closedAt[c.id]; left {
				late := c.at.Sub(closed)
				e.rec.add("%s got %s %.3f s after its client had left; told that %d ms are left", c.unit.host, c.id, late.Seconds(), c.leftMs)
				if late > bound {
					after = append(after, late)
				}
			}
			begun++
			mu.Unlock()
			time.AfterFunc(80*time.Millisecond, func() { c.answer("v-" + c.id) })
		})
		d.list(u, "SERVING")
	}
	s := settings(parkingClasses())
	s["policy_limits"].(object)["parallel_tries"] = false
	cfg := &relayConfig{name: "n1", listen: freePort(), discovery: d.address, control: control.address, memoryMB: 192, sockets: 1024,
		news: first, known: d.known(), settings: s}
	relay := startRelay(e, cfg)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally counter
	for range 10 {
		clients.Go(func() { usualClient(e, cfg.listen, "space-check", 2000, 100*time.Millisecond, stop, &tally) })
	}
	left := 0
	clients.Go(func() { // every 0.2 s a client that leaves 0.1 s after it has sent
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			conn, err := net.Dial("tcp", cfg.listen)
			if err != nil {
				cannotRun("%v", err)
			}
			id := newID()
			conn.Write(respArray("API.WRITE", "k"+id[:6], id, "c=exit-pay,d=2000,k="+id, "pay"))
			e.rec.add("a client sent %s", id)
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			conn.Close()
			closedAt[id] = time.Now()
			left++
			mu.Unlock()
			e.rec.add("the client of %s left", id)
		}
	})
	time.Sleep(2 * time.Second)
	for range rounds {
		if e.trouble {
			e.rec.add("the relay stands still")
			relay.signal(syscall.SIGSTOP)
			time.Sleep(still)
			relay.signal(syscall.SIGCONT)
			e.rec.add("the relay goes on")
			time.Sleep(every - still)
		} else {
			time.Sleep(every)
		}
	}
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("%d attempts; %d clients left; the others: %s", begun, left, tally.text())
	if tally.of("served") < 50 || left < 20 {
		cannotRun("too few requests")
	}
	if len(after) > 0 {
		latest := after[0]
		for _, late := range after {
			latest = max(latest, late)
		}
		return verdict{fmt.Sprintf("lost: %d attempts began more than %v after their client had closed its connection, the latest %.3f s after", len(after), bound, latest.Seconds())}
	}
	return nil
}
