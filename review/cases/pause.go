//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pause"] = playPause }

const (
	pauseUnits    = 4
	pauseLossy    = 1                       // units that lose answers: a quarter; the page: up to 64%
	pauseLoss     = 0.5                     // share of their answers that is lost; the page: 36 to 81%
	pauseClients  = 12                      // each with one request at a time
	pauseWindow   = 1500 * time.Millisecond // :window of divert-record, for which every unit drops a repeat
	pauseTimeout  = 750 * time.Millisecond
	pauseSteady   = 3 * time.Second
	pauseLength   = 18 * time.Second // the page: 17 to 33 s
	pauseTries    = 2                // the brief: clients retry up to 2 times
	pausePatience = 500 * time.Millisecond
)

// memory is what the units of a group remember of idempotency keys: each drops a repeat for the window of the settings,
// whichever of them ran the request.
type memory struct {
	window time.Duration

	mu   sync.Mutex
	last map[string]time.Time // when a key was run last
	runs map[string][]time.Time
}

// run runs a request unless it is a repeat, and reports whether it did.
func (m *memory) run(key string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, known := m.last[key]; known && now.Sub(last) < m.window {
		return false
	}
	m.last[key] = now
	m.runs[key] = append(m.runs[key], now)
	return true
}

// playPause lets a unit lose answers, and counts the deduplicated requests that ran twice: clients ask again only after
// an answer that says that it does no harm, and only when it tells them to.
func playPause(l *lab) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &memory{window: pauseWindow, last: map[string]time.Time{}, runs: map[string][]time.Time{}}
	var losing sync.Map // ids of the units that lose answers
	line := list{Version: 1, Full: true}
	for id := 1; id <= pauseUnits; id++ {
		s, err := startServer(id, 1, func(w http.ResponseWriter, r *http.Request, arrived time.Time) {
			key := r.Header.Get("Idempotency-Key")
			ran := m.run(key, arrived)
			time.Sleep(time.Duration(36+rand.IntN(27)) * time.Millisecond)
			_, lossy := losing.Load(id)
			lost := lossy && rand.Float64() < pauseLoss
			l.notef("unit %d: %s, ran %v, answer lost %v", id, key, ran, lost)
			if lost {
				<-r.Context().Done() // the answer never comes; the router gives up
				return
			}
			ok(w)
		})
		if err != nil {
			return 0, err
		}
		line.Units = append(line.Units, s.entry())
	}
	_, listAddr, err := startLines(line, list{Version: 1})
	if err != nil {
		return 0, err
	}
	_, installerAddr, err := startLines(stage{Version: 1, Build: 1, Stage: 2, Phase: "released", Cap: 1}, quietStage)
	if err != nil {
		return 0, err
	}
	document, err := l.document(":relays        2", ":relays        1")
	if err != nil {
		return 0, err
	}
	_, address, err := l.startRouter(document, listAddr, installerAddr, "")
	if err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range pauseClients {
		clients.Go(func() { pauseClient(ctx, l, i, address) })
	}
	time.Sleep(pauseSteady)
	if l.trouble {
		for id := 1; id <= pauseLossy; id++ {
			losing.Store(id, true)
			l.notef("unit %d begins to lose answers", id)
		}
	}
	time.Sleep(pauseLength)
	losing.Clear()
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	twice := 0
	for key, runs := range m.runs {
		if len(runs) > 1 {
			twice++
			l.notef("%s ran %d times, the second time %.3f s after the first", key, len(runs), runs[1].Sub(runs[0]).Seconds())
		}
	}
	l.notef("%d keys, %d ran twice", len(m.runs), twice)
	return twice, nil
}

// pauseClient records diverts one after the other. It asks again with the same key after the answer "nacked", when the
// pause that came with it is over.
func pauseClient(ctx context.Context, l *lab, number int, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		l.notef("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("divert-%d-%d", number, i)
		headers := map[string]string{"Idempotency-Key": key, "Flint-Time": fmt.Sprint(pauseTimeout.Seconds())}
		for try := 0; try <= pauseTries; try++ {
			result := call(conn, br, http.MethodPost, "/divert/"+key, headers, []byte("divert"), pauseTimeout+pausePatience)
			if result.answer != "acked" {
				l.notef("client %d: %s: %q, come again after %.3f s, after %.3f s, error %v", number, key, result.answer, result.pause, result.elapsed.Seconds(), result.err)
			}
			if result.err != nil {
				return
			}
			if result.answer != "nacked" || ctx.Err() != nil {
				break
			}
			time.Sleep(time.Duration(result.pause * float64(time.Second)))
		}
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(100*time.Millisecond)))
	}
}
