//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

func init() { cases["drain"] = playDrain }

const (
	drainUnits   = 4
	drainClients = 6
	drainWork    = 2600 * time.Millisecond // of a batch table, within its timeout of 3 s
	drainTimeout = 3 * time.Second
	drainSlack   = 500 * time.Millisecond
)

// playDrain restarts a router while requests are in flight, after a configuration version has raised the longest timeout
// and the drain time. Without trouble, the router's file has the same settings from the start.
func playDrain(l *lab) (int, error) {
	// The settings of the file: the drain time is above the longest timeout, 1.5 s.
	before, err := l.document(":drain-time  10.0", ":drain-time  2.0")
	if err != nil {
		return 0, err
	}
	after, err := l.document(":drain-time  10.0", ":drain-time  5.0", `{:name "batch-table"   :target 0.6 :timeout 1.5`,
		`{:name "batch-table"   :target 0.6 :timeout 3.0`)
	if err != nil {
		return 0, err
	}
	control, controlAddr, entries, err := startControl(drainUnits, func(w http.ResponseWriter, r *http.Request, _ time.Time) {
		l.notef("a unit runs %s %s", r.Method, r.URL.Path)
		work := 50 * time.Millisecond
		if isBatch(r) {
			work = drainWork
		}
		time.Sleep(work)
		ok(w)
	})
	if err != nil {
		return 0, err
	}
	control.Set(fakes.EndpointsResponse("r1", 1, entries))
	_, installerAddr, err := startLines(stage{Version: 1, Build: 1, Stage: 2, Phase: "released", Cap: 1}, quietStage)
	if err != nil {
		return 0, err
	}
	document := before
	if !l.trouble {
		document = after
	}
	router, address, err := l.startRouter(document, "", installerAddr, controlAddr)
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
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	for i := range drainClients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		clients.Go(func() {
			defer conn.Close()
			l.notef("client %d: POST /batch/%d", i, i)
			result := call(conn, bufio.NewReader(conn), http.MethodPost, fmt.Sprintf("/batch/%d", i),
				map[string]string{"Flint-Time": fmt.Sprint(drainTimeout.Seconds())}, []byte("rebuild"), drainTimeout+drainSlack)
			l.notef("client %d: answer %q by version %s after %.3f s, error %v", i, result.answer, result.version, result.elapsed.Seconds(), result.err)
			if result.err != nil {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	l.notef("SIGTERM to the router")
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	clients.Wait()
	ended := make(chan error, 1)
	go func() { ended <- router.Wait() }()
	select {
	case err := <-ended:
		l.notef("the router ended: %v", err)
	case <-time.After(10 * time.Second):
		return 0, errors.New("the router did not end")
	}
	return lost, nil
}

// startControl starts units of build 1 with a handler, and a control service. It returns the units' entries.
func startControl(units int, handle func(w http.ResponseWriter, r *http.Request, arrived time.Time)) (*fakes.ControlService, string, []endpoints.Endpoint, error) {
	var entries []endpoints.Endpoint
	for id := 1; id <= units; id++ {
		s, err := startServer(id, 1, handle)
		if err != nil {
			return nil, "", nil, err
		}
		entries = append(entries, endpoints.Endpoint{ID: uint32(id), Addr: s.addr, State: endpoints.StateReady, Build: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, err
	}
	return fakes.StartControlService(listener, plainCredentials()), listener.Addr().String(), entries, nil
}

// waitForVersion waits until the router serves requests by a configuration version.
func waitForVersion(l *lab, address, version string) error {
	for range 100 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		result := call(conn, bufio.NewReader(conn), http.MethodGet, "/chute/1", nil, nil, 2*time.Second)
		conn.Close()
		if result.answer == "acked" && result.version == version {
			l.notef("a request was served by version %s", version)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no request was served by version %s", version)
}
