//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

func init() { cases["stages"] = playStages }

const (
	stagesUnits    = 10
	stagesTrial    = 4 // of them run the build on trial
	stagesClients  = 12
	stagesGrace    = 1 * time.Second // :grace of the example settings
	stagesSlack    = 300 * time.Millisecond
	stagesObserved = 10 * time.Second // from the news that the build goes back
)

// playStages changes the rollout's stages by a configuration version, and sends the build on trial back in a stage that
// the router's file does not have. It counts the attempts at the build after that. Without trouble, the router's file
// has the same stages from the start.
func playStages(l *lab) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before, err := l.document()
	if err != nil {
		return 0, err
	}
	after, err := l.document(":stages         [0.1 0.4 1.0]", ":stages         [0.04 0.1 0.25 0.55 1.0]",
		":caps           [0.15 0.5 1.0]", ":caps           [0.068 0.17 0.42 0.94 1.0]")
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var trialArrivals []time.Time
	var entries []endpoints.Endpoint
	for id := 1; id <= stagesUnits; id++ {
		build := 3
		if id <= stagesTrial {
			build = 4
		}
		s, err := startServer(id, build, func(w http.ResponseWriter, r *http.Request, arrived time.Time) {
			l.notef("unit %d of build %d gets %s %s", id, build, r.Method, r.URL.Path)
			if build == 4 {
				mu.Lock()
				trialArrivals = append(trialArrivals, arrived)
				mu.Unlock()
			}
			time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
			ok(w)
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
	state := stage{Version: 1, Build: 4, Stage: 2, Phase: "on-trial", Cap: 0.42}
	installer, installerAddr, err := startLines(state, quietStage)
	if err != nil {
		return 0, err
	}
	installer.vote = func(text []byte) any {
		first, _, _, _ := installer.state()
		reply := first.(stage)
		reply.Vote = "counted"
		if !json.Valid(text) {
			reply.Vote = "refused"
		}
		return reply
	}
	document := before
	if !l.trouble {
		document = after
	}
	_, address, err := l.startRouter(document, "", installerAddr, listener.Addr().String())
	if err != nil {
		return 0, err
	}
	wantVersion := "0"
	if l.trouble {
		control.Set(fakes.DocumentResponse("r1", 1, 0, "{"+after))
		wantVersion = "1"
	}
	if err := waitForVersion(l, address, wantVersion); err != nil {
		return 0, err
	}
	for _, line := range control.Log() {
		l.notef("control service: %s", line)
	}
	answers := map[string]int{}
	var clients sync.WaitGroup
	for i := range stagesClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			for n := 0; ctx.Err() == nil; n++ {
				result := call(conn, br, http.MethodGet, fmt.Sprintf("/chute/%d-%d", i, n), nil, nil, 2*time.Second)
				l.notef("client %d: GET /chute/%d-%d: %q after %.3f s", i, i, n, result.answer, result.elapsed.Seconds())
				mu.Lock()
				answers[result.answer]++
				mu.Unlock()
				if result.err != nil {
					return
				}
				sleep(ctx, time.Duration(rand.ExpFloat64()*float64(100*time.Millisecond)))
			}
		})
	}
	tell := func(news stage) time.Time {
		l.notef("the release service says: build %d, stage %d, %s, cap %g", news.Build, news.Stage, news.Phase, news.Cap)
		installer.set(news, news, quietStage)
		return time.Now()
	}
	time.Sleep(3 * time.Second)
	tell(stage{Version: 2, Build: 4, Stage: 3, Phase: "on-trial", Cap: 0.94})
	time.Sleep(3 * time.Second)
	told := tell(stage{Version: 3, Build: 4, Stage: 3, Phase: "going-back", Cap: 0})
	time.Sleep(stagesObserved)
	cancel()
	clients.Wait()
	late, before0 := 0, 0
	for _, at := range trialArrivals {
		switch {
		case at.After(told.Add(stagesGrace + stagesSlack)):
			late++
		case at.Before(told):
			before0++
		}
	}
	l.notef("answers %v; build 4 got %d requests before the news that it goes back, %d more than %v after it", answers, before0, late, stagesGrace+stagesSlack)
	return late, nil
}
