package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase: bad clients send hundreds of valid commands at once, with values that the protocol allows. The stand-in of
// the platform kills the relay when its memory goes over the limit of its configuration.
func memoryCase(e *env) verdict {
	const (
		memoryMB    = 64
		sockets     = 512
		badConns    = 40
		commands    = 400
		valueBytes  = 64000
		troubleTime = 15 * time.Second
	)
	d := startDiscovery(e.rec)
	first := releasedNews()
	control := startControl(e.rec, first)
	startUnits(e, d, 15, 80*time.Millisecond)
	cfg := &relayConfig{name: "n1", listen: freePort(), discovery: d.address, control: control.address, memoryMB: memoryMB, sockets: sockets,
		news: first, known: d.known(), settings: settings(parkingClasses())}
	relay := startRelay(e, cfg)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally counter
	for range 20 {
		clients.Go(func() { usualClient(e, cfg.listen, "space-check", 2000, 100*time.Millisecond, stop, &tally) })
	}
	time.Sleep(3 * time.Second)
	e.rec.say("before: %.1f MB of %d; usual clients: %s", relay.anonMB(), memoryMB, tally.text())
	var bad *child
	if e.trouble {
		bad = startBadClients(e, cfg.listen, badConns, commands, valueBytes, "exit-pay", 2000)
	}
	peak, killedAt := 0.0, time.Duration(0)
	for begin := time.Now(); time.Since(begin) < troubleTime && relay.running() && killedAt == 0; time.Sleep(20 * time.Millisecond) {
		used := relay.anonMB()
		if used > peak {
			peak = used
			e.rec.add("memory %.1f MB", used)
		}
		if used > memoryMB {
			killedAt = time.Since(begin)
			e.rec.say("the platform kills the relay: %.1f MB of %d, %.1f s after the bad clients began", used, memoryMB, killedAt.Seconds())
			relay.kill()
		}
	}
	crashed := !relay.running()
	if bad != nil {
		bad.kill()
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	e.rec.say("at most %.1f MB of %d; usual clients: %s", peak, memoryMB, tally.text())
	if tally.of("served") < 50 {
		cannotRun("too few requests were served")
	}
	if crashed {
		return verdict{fmt.Sprintf("crash: the relay held %.1f MB where %d are allowed", peak, memoryMB)}
	}
	return nil
}
