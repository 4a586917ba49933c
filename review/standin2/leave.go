package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = leaveCase }

// leaveCase: a client writes two commands one behind the other and leaves before the first is answered.
func leaveCase(e *env) verdict {
	const work = 300 * time.Millisecond
	list := startListService(e.rec, time.Second)
	installer := startReleaseService(e.rec, 1, 2, "released", 1)
	var mu sync.Mutex
	closedAt := map[string]time.Time{} // by the id of a client
	var after []float64
	for i := range 4 {
		address := startHTTPUnit(func(r *http.Request) (int, string) {
			id := r.Header.Get("X-Client")
			mu.Lock()
			closed := closedAt[id]
			late := time.Since(closed)
			if !closed.IsZero() && late > 100*time.Millisecond {
				after = append(after, late.Seconds())
			}
			mu.Unlock()
			e.rec.add("unit %d got %s %s of client %s (client left: %t, %.3f s ago)", i+1, r.Method, r.URL.Path, id, !closed.IsZero(), late.Seconds())
			time.Sleep(work)
			return 200, "done " + r.URL.Path
		})
		list.put(i+1, address, "ready", 1, 0)
	}
	_, listen := startRouter(e, list.address, installer)
	time.Sleep(time.Second)
	answered := 0
	for n := range 20 {
		id := fmt.Sprint(n)
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			cannotRun("%v", err)
		}
		fmt.Fprintf(conn, "POST /batch/%s HTTP/1.1\r\nHost: x\r\nX-Client: %s\r\nContent-Length: 2\r\n\r\nxxPOST /seal/%s HTTP/1.1\r\nHost: x\r\nX-Client: %s\r\nContent-Length: 2\r\n\r\nyy", id, id, id, id)
		e.rec.add("client %s sent /batch/%s and /seal/%s", id, id, id)
		if e.trouble {
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			conn.Close()
			closedAt[id] = time.Now()
			mu.Unlock()
			e.rec.add("client %s left", id)
			time.Sleep(700 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		for range 2 {
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			response.Body.Close()
			e.rec.add("client %s got %s %s", id, response.Status, response.Header.Get("Flint-Answer"))
			if response.StatusCode == 200 {
				answered++
			}
		}
		conn.Close()
	}
	if !e.trouble && answered < 30 {
		cannotRun("only %d answers", answered)
	}
	if len(after) > 0 {
		return verdict{fmt.Sprintf("lost: %d attempts began more than 0.1 s after their client had closed its connection, the latest %.3f s after", len(after), after[len(after)-1])}
	}
	return nil
}
