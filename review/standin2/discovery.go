package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["discovery"] = discoveryCase }

// discoveryCase: discovery is crowded and begins the answer to each watch 1.5 s after the request.
func discoveryCase(e *env) verdict {
	const (
		slowMs    = 1500
		drainAt   = 6 * time.Second
		toldAfter = 6 * time.Second // "told at the latest 6 s after discovery had it and could be reached"
		grace     = 1050 * time.Millisecond
		length    = 24 * time.Second
	)
	d := startDiscovery(e.rec)
	if e.trouble {
		d.slow.Store(slowMs)
	}
	first := releasedNews()
	control := startControl(e.rec, first)
	var drained atomic.Int64 // when the drain was listed, ns after begin
	var mu sync.Mutex
	var lateSends []float64
	begin := time.Now()
	var units []*unit
	for i := range 8 {
		u := startUnit(fmt.Sprintf("s-%02d", i), 1, time.Time{}, func(c *call) {
			if c.unit.host == "s-00" && drained.Load() > 0 {
				after := time.Since(begin) - time.Duration(drained.Load())
				e.rec.add("s-00 got %s, %.3f s after its drain was listed", c.id, after.Seconds())
				if after > toldAfter+grace {
					mu.Lock()
					lateSends = append(lateSends, after.Seconds())
					mu.Unlock()
				}
				c.answer("-BUSY")
				return
			}
			time.AfterFunc(40*time.Millisecond, func() { c.answer("v-" + c.id) })
		})
		units = append(units, u)
		d.list(u, "SERVING")
	}
	cfg := &relayConfig{name: "n1", listen: freePort(), discovery: d.address, control: control.address, memoryMB: 192, sockets: 1024,
		news: first, known: d.known(), settings: settings(rumbulaClasses())}
	relay := startRelay(e, cfg)
	begin = time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally counter
	for range 10 {
		clients.Go(func() { usualClient(e, cfg.listen, "chute-lookup", 750, 50*time.Millisecond, stop, &tally) })
	}
	time.Sleep(drainAt)
	d.list(units[0], "DRAINING")
	drained.Store(int64(time.Since(begin)))
	time.Sleep(length - drainAt)
	close(stop)
	clients.Wait()
	e.rec.say("clients: %s; watches asked for %d, answered %d; relay running %t", tally.text(), d.opened.Load(), d.begun.Load(), relay.running())
	if tally.of("served") < 100 {
		cannotRun("too few requests were served")
	}
	if len(lateSends) > 0 {
		return verdict{fmt.Sprintf("drain: %d attempts at s-00 later than %.2f s after its drain was listed, the last %.1f s after", len(lateSends), (toldAfter + grace).Seconds(), lateSends[len(lateSends)-1])}
	}
	return nil
}
