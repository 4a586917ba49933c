package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// rumbulaClasses are classes like those of the first deployment, with an idempotency key for the last one.
func rumbulaClasses() []object {
	return []object{class("chute-lookup", "safe", 300, 750, 5000, 2), class("batch-table", "safe", 600, 1500, 5000, 3),
		class("divert-record", "keyed", 300, 750, 1500, 2)}
}

// counter counts results by kind.
type counter struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counter) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[kind]++
}

func (c *counter) of(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[kind]
}

func (c *counter) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for kind, n := range c.n {
		parts = append(parts, fmt.Sprintf("%s %d", kind, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// parkingClasses are classes like those of the car parks.
func parkingClasses() []object {
	return []object{class("space-check", "safe", 600, 2000, 5000, 1), class("booking-edit", "safe", 600, 2500, 5000, 2),
		class("exit-pay", "keyed", 600, 2000, 1200, 5)}
}

// releasedNews is the state of a build that was released long ago.
func releasedNews() news {
	return news{build: 1, stage: 4, phase: "released", limit: 1, since: time.Now().Add(-time.Minute)}
}

// startUnits starts and lists sound units that serve each request after the time work.
func startUnits(e *env, d *discovery, count int, work time.Duration) {
	for i := range count {
		u := startUnit(fmt.Sprintf("s-%02d", i), 1, time.Time{}, func(c *call) {
			time.AfterFunc(work, func() { c.answer("v-" + c.id) })
		})
		d.list(u, "SERVING")
	}
}

// slack is how long after its time an answer may come: half a second, and 50 ms for sockets.
const slack = 550 * time.Millisecond

// usualClient asks one request of an idempotent class after another, with a pause between them, until stop is closed.
func usualClient(e *env, address, class string, waitMs int, pause time.Duration, stop chan struct{}, tally *counter) {
	c := &client{address: address}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := newID()
		sent := since()
		r := c.ask([]string{"API.READ", "k" + id[:6], id, fmt.Sprintf("c=%s,d=%d", class, waitMs)}, time.Duration(waitMs)*time.Millisecond+slack)
		if r.kind == "served" && r.text != "v-"+id {
			r.kind = "foreign"
		}
		tally.add(r.kind)
		e.rec.add("client sent %s at %.3f: %s %s after %.3f s", id, sent, r.kind, r.text, r.took.Seconds())
	}
}
