//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

func init() { cases["omitted"] = playOmitted }

const (
	omittedTrial    = 2 // units of the build on trial, 4; the first leaves the list
	omittedBaseline = 3 // units of build 3
	omittedKeys     = 12
	omittedWork     = 250 * time.Millisecond
)

// playOmitted takes a unit of the build on trial off the list while it works on requests with one-way keys, and counts the
// keys that go to the earlier build after the unit has answered them. Without trouble the unit stays on the list.
func playOmitted(l *lab) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	document, err := l.document(":one-way-keys      false", ":one-way-keys      true")
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	answered := map[string]time.Time{} // when a unit of build 4 answered a key
	broken := map[string]bool{}
	working := 0
	var entries []endpoints.Endpoint
	for id := 1; id <= omittedTrial+omittedBaseline; id++ {
		build := 3
		if id <= omittedTrial {
			build = 4
		}
		s, err := startServer(id, build, func(w http.ResponseWriter, r *http.Request, _ time.Time) {
			key := r.Header.Get("Flint-Key")
			l.notef("unit %d of build %d gets key %q", id, build, key)
			mu.Lock()
			if at := answered[key]; key != "" && build == 3 && !at.IsZero() && time.Since(at) > 100*time.Millisecond {
				broken[key] = true
				l.notef("key %q goes to build 3, %.3f s after build 4 answered it", key, time.Since(at).Seconds())
			}
			if id == 1 {
				working++
			}
			mu.Unlock()
			time.Sleep(omittedWork)
			w.Header().Set("X-Build", fmt.Sprint(build))
			ok(w)
			mu.Lock()
			defer mu.Unlock()
			if id == 1 {
				working--
			}
		})
		if err != nil {
			return 0, err
		}
		entries = append(entries, endpoints.Endpoint{ID: uint32(id), Addr: s.addr, State: endpoints.StateReady, Build: build})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	control := fakes.StartControlService(listener, plainCredentials())
	control.Set(fakes.EndpointsResponse("r1", 1, entries))
	_, installerAddr, err := startLines(stage{Version: 1, Build: 4, Stage: 1, Phase: "on-trial", Cap: 0.5}, quietStage)
	if err != nil {
		return 0, err
	}
	_, address, err := l.startRouter(document, "", installerAddr, listener.Addr().String())
	if err != nil {
		return 0, err
	}
	if err := waitForVersion(l, address, "0"); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	for i := range omittedKeys {
		clients.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			for ctx.Err() == nil {
				key := fmt.Sprintf("k%d", i)
				result := call(conn, br, http.MethodGet, "/chute/1", map[string]string{"Flint-Key": key}, nil, 2*time.Second)
				l.notef("client: key %s: %q, %s", key, result.answer, result.build)
				if result.err != nil {
					return
				}
				mu.Lock()
				if result.build == "4" && answered[key].IsZero() {
					answered[key] = time.Now()
				}
				mu.Unlock()
			}
		})
	}
	for range 4000 {
		mu.Lock()
		ready := working >= 2
		mu.Unlock()
		if ready {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if l.trouble {
		l.notef("the list no longer names unit 1")
		control.Set(fakes.EndpointsResponse("r1", 2, entries[1:]))
	}
	time.Sleep(8 * time.Second)
	cancel()
	clients.Wait()
	l.notef("%d keys were answered by build 4, %d of them went to build 3 later", len(answered), len(broken))
	return len(broken), nil
}
