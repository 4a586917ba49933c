package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = floodCase }

// badClients opens connections to a relay, sends many valid commands at once on each, reads the answers, and does so
// again. It runs until its process is killed.
func badClients(address string, connections, commands, valueBytes int, class string, waitMs int) {
	value := strings.Repeat("x", valueBytes)
	var running sync.WaitGroup
	for i := range connections {
		running.Go(func() {
			for round := 0; ; round++ {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				go func() {
					for n := range commands {
						id := fmt.Sprintf("bad-%d-%d-%d", i, round, n)
						if _, err := conn.Write(respArray("API.WRITE", "k"+id, id, fmt.Sprintf("c=%s,d=%d,k=%s", class, waitMs, id), value)); err != nil {
							return
						}
					}
				}()
				in := bufio.NewReader(conn)
				for range commands {
					conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					line, err := readLine(in)
					if err != nil {
						break
					}
					if strings.HasPrefix(line, "$") {
						readLine(in)
					}
				}
				conn.Close()
			}
		})
	}
	running.Wait()
}

// startBadClients runs badClients in a process of its own, so that they don't hold up the usual clients.
func startBadClients(e *env, address string, connections, commands, valueBytes int, class string, waitMs int) *child {
	self, err := os.Executable()
	if err == nil {
		self, err = filepath.Abs(self)
	}
	if err != nil {
		cannotRun("%v", err)
	}
	e.rec.say("%d bad clients begin: %d commands at once with values of %d bytes, again and again", connections, commands, valueBytes)
	return launch(e.root, e.dir, "bad", fmt.Sprintf("exec %s bad %s %d %d %d %s %d", self, address, connections, commands, valueBytes, class, waitMs), "GOMAXPROCS=2")
}

func badMain(args []string) {
	number := func(i int) int {
		n, err := strconv.Atoi(args[i])
		if err != nil {
			os.Exit(2)
		}
		return n
	}
	badClients(args[0], number(1), number(2), number(3), args[4], number(5))
}

// floodCase: bad clients send hundreds of commands at once; usual clients need their answers all the same.
func floodCase(e *env) verdict {
	const (
		badConns   = 100
		commands   = 400
		valueBytes = 100
		waitMs     = 300
	)
	d := startDiscovery(e.rec)
	first := releasedNews()
	control := startControl(e.rec, first)
	startUnits(e, d, 15, 50*time.Millisecond)
	cfg := &relayConfig{name: "n1", listen: freePort(), discovery: d.address, control: control.address, memoryMB: 192, sockets: 1024,
		news: first, known: d.known(), settings: settings(rumbulaClasses())}
	relay := startRelay(e, cfg)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tally counter
	for range 20 {
		clients.Go(func() { usualClient(e, cfg.listen, "chute-lookup", waitMs, 100*time.Millisecond, stop, &tally) })
	}
	lag := time.Duration(0) // by how much this process itself was late
	clients.Go(func() {
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			now := time.Now()
			lag = max(lag, now.Sub(last)-10*time.Millisecond)
			last = now
		}
	})
	time.Sleep(3 * time.Second)
	e.rec.say("before: %s", tally.text())
	var bad *child
	if e.trouble {
		bad = startBadClients(e, cfg.listen, badConns, commands, valueBytes, "divert-record", 750)
	}
	time.Sleep(20 * time.Second)
	if bad != nil {
		bad.kill()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	e.rec.say("in all: %s; relay running %t, memory %.1f MB; this process was late by %.3f s at most", tally.text(), relay.running(), relay.anonMB(), lag.Seconds())
	if lag > 400*time.Millisecond {
		cannotRun("this process itself was late by %.3f s", lag.Seconds())
	}
	if n := tally.of("late"); n > 0 {
		return verdict{fmt.Sprintf("lost: %d requests of usual clients had no answer half a second after their time", n)}
	}
	return nil
}
