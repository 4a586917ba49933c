//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

func init() { cases["mended"] = playMended }

const (
	mendedUnits    = 7
	mendedFailing  = 1   // units that fail quickly: 14%; the brief: up to 16%
	mendedFailures = 0.9 // share of their requests that they fail; the brief: 31 to 97%
	mendedClients  = 6
	mendedLength   = 12 * time.Second // the brief: 9.3 to 29 s
	mendedPatience = 2                // :patience, in s
)

// playMended sends a controller a configuration version that has to be rejected, since the endpoint list that it needs
// does not come, and then the mended version under the same number. Both acknowledged versions say that seal-gate is an
// at-most-once op type, the rejected one does not. It counts the requests of seal-gate that ran twice. Without trouble,
// the rejected version is left out.
func playMended(l *lab) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	runs := map[string][]int{} // units that ran a request, by its id
	var failing bool
	var entries []endpoints.Endpoint
	for id := 1; id <= mendedUnits; id++ {
		s, err := startServer(id, 1, func(w http.ResponseWriter, r *http.Request, _ time.Time) {
			mu.Lock()
			runs[r.URL.Path] = append(runs[r.URL.Path], id)
			fails := failing && id <= mendedFailing && rand.Float64() < mendedFailures
			mu.Unlock()
			l.notef("unit %d runs %s %s, fails %v", id, r.Method, r.URL.Path, fails)
			if fails {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
			ok(w)
		})
		if err != nil {
			return 0, err
		}
		entries = append(entries, endpoints.Endpoint{ID: uint32(id), Addr: s.addr, State: endpoints.StateReady, Build: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	control := fakes.StartControlService(listener, plainCredentials())
	control.Set(fakes.EndpointsResponse("r1", 1, entries))
	_, installerAddr, err := startLines(stage{Version: 1, Build: 1, Stage: 2, Phase: "released", Cap: 1}, quietStage)
	if err != nil {
		return 0, err
	}
	if err := l.startController(installerAddr, listener.Addr().String()); err != nil {
		return 0, err
	}
	address, err := l.startLedRouter()
	if err != nil {
		return 0, err
	}
	if err := waitForVersion(l, address, "0"); err != nil {
		return 0, err
	}
	wrong, err := l.document(`{:name "seal-gate"     :target 0.3 :timeout 0.75 :importance 3 :effect :at-most-once}`,
		`{:name "seal-gate"     :target 0.3 :timeout 0.75 :importance 3 :effect :redeliverable}`)
	if err != nil {
		return 0, err
	}
	mended, err := l.document(":max-pause     1.0", ":max-pause     0.8")
	if err != nil {
		return 0, err
	}
	if l.trouble {
		l.notef("the control service sends version 1, with a mistake, which needs list 2")
		control.Set(fakes.DocumentResponse("r1", 1, 2, "{"+wrong))
		if err := waitForLog(control, "Document NACK"); err != nil {
			return 0, err
		}
	}
	l.notef("the control service sends version 1, mended")
	response := fakes.DocumentResponse("r1", 1, 0, "{"+mended)
	response.VersionInfo = "v1-mended"
	control.Set(response)
	if err := waitForLog(control, `Document ACK`); err != nil {
		return 0, err
	}
	if err := waitForVersion(l, address, "1"); err != nil {
		return 0, err
	}
	for _, line := range control.Log() {
		l.notef("control service: %s", line)
	}
	mu.Lock()
	failing = true
	mu.Unlock()
	var clients sync.WaitGroup
	for i := range mendedClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			for n := 0; ctx.Err() == nil; n++ {
				path := fmt.Sprintf("/seal/%d-%d", i, n)
				result := call(conn, br, http.MethodPost, path, nil, []byte("seal"), 2*time.Second)
				l.notef("client %d: POST %s: %q by version %s", i, path, result.answer, result.version)
				if result.err != nil {
					return
				}
				sleep(ctx, time.Duration(rand.ExpFloat64()*float64(100*time.Millisecond)))
			}
		})
	}
	time.Sleep(mendedLength)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for path, units := range runs {
		if strings.HasPrefix(path, "/seal/") && len(units) > 1 {
			twice++
			l.notef("%s ran on units %v", path, units)
		}
	}
	l.notef("%d requests, %d ran twice", len(runs), twice)
	return twice, nil
}

// waitForLog waits for a line of a control service's log.
func waitForLog(control *fakes.ControlService, prefix string) error {
	for range 200 {
		for _, line := range control.Log() {
			if strings.HasPrefix(line, prefix) {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no %q from the controller: %q", prefix, control.Log())
}

func (l *lab) socket() string { return filepath.Join(l.dir, "plan.sock") }

// startController starts the controller of router group r1 with the example settings.
func (l *lab) startController(installerAddr, control string) error {
	admin, err := fakes.FreePort()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(l.root, "deploy/plan.edn"))
	if err != nil {
		return err
	}
	file, err := l.writeFile("plan.edn", fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 1.0}
 :control {:addresses [%q] :silence 2.0 :back-least 0.1 :back-most 1.0 :patience %d.0 :most-bytes 8000000}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
 %s`, admin, filepath.Join(l.dir, "plan"), installerAddr, control, mendedPatience, l.socket(), string(text)[strings.Index(string(text), ":rules {"):]))
	if err != nil {
		return err
	}
	_, err = l.start("controller", "exec bin/flintspread-controller run "+file)
	return err
}

// startLedRouter starts a router of group r1 and waits until it accepts connections.
func (l *lab) startLedRouter() (address string, err error) {
	address, err = fakes.FreePort()
	if err != nil {
		return "", err
	}
	admin, err := fakes.FreePort()
	if err != nil {
		return "", err
	}
	document, err := l.document()
	if err != nil {
		return "", err
	}
	file, err := l.writeFile("edge.edn", fmt.Sprintf(`{:relay "r1" :edge "r1-a" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :planner {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
 %s`, address, admin, filepath.Join(l.dir, "state"), l.socket(), document))
	if err != nil {
		return "", err
	}
	if _, err := l.start("router", "exec bin/flintspread-router run "+file); err != nil {
		return "", err
	}
	for range 100 {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			return address, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", fmt.Errorf("the router does not listen at %s", address)
}
