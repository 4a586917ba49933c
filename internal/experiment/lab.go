// Package experiment runs loads against a real edge process between quick stand-ins, as a grid of runs that is played in turn, kept on
// disk run by run, and told as one report.
package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/loadgen"
)

// Bench is an edge between quick units.
type Bench struct {
	Address string // where its clients connect
	admin   string
	cmd     *exec.Cmd
	units   []*fakes.FastEndpoint
	stop    func()
	dir     string
}

// Edge says how a bench's edge runs.
type Edge struct {
	Bin    string // folder of flintspread-router
	Procs  int    // processors that it may use, 0: all
	Shed   bool
	Memory int64
	Units  int
}

// Ops are those of the example settings.
func Ops() []loadgen.RequestClass {
	return []loadgen.RequestClass{
		{Name: "chute-lookup", Method: "GET", Path: "/chute/", Share: 0.4, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75},
		{Name: "batch-table", Method: "POST", Path: "/batch/", Share: 0.2, LatencyObjectiveSeconds: 0.6, TimeoutSeconds: 1.5, BodyBytes: 100},
		{Name: "divert-record", Method: "POST", Path: "/divert/", Share: 0.3, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75, BodyBytes: 20},
		{Name: "seal-gate", Method: "POST", Path: "/seal/", Share: 0.1, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75},
	}
}

const settingsText = `{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :warn}
 :sources {:list "http://%[4]s/list" :installer "http://%[4]s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :overload {:shed %[5]t :memory %[6]d} :schema 1
 :clients {:connections 20000 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 3.0}
 :units {:connections 256 :dial-time 0.25 :idle-time 15.0 :answer-bytes 4194304}
 :rules {:relays 1 :round 0.02 :deliveries 4 :parallel true :max-pause 1.0 :cold-from 0.3 :warm-up 4.0 :fall-multiple 3.0
         :fall-time 2.0 :window 4.0 :grace 1.0 :free 2.0 :count-per-op-type false :guarded-stages 0 :one-way-keys false
         :keys-kept 1000000 :forget-units 600.0}
 :release {:stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1 :by-clock false :replace true :harm-price 3.0
           :stale-price 0.5 :report-share 0.3 :vote-life 10.0 :vote-timeout 0.8 :votes-a-second 20.0}
 :op-types [{:name "chute-lookup"  :target 0.3 :timeout 0.75 :importance 2 :effect :redeliverable}
            {:name "batch-table"   :target 0.6 :timeout 1.5  :importance 3 :effect :redeliverable}
            {:name "divert-record" :target 0.3 :timeout 0.75 :importance 2 :effect :deduplicated :group :all :window 1.5}
            {:name "seal-gate"     :target 0.3 :timeout 0.75 :importance 3 :effect :at-most-once}]
 :routes [{:method "GET"  :path "/chute/"  :op-type "chute-lookup"} {:method "POST" :path "/batch/"  :op-type "batch-table"}
          {:method "POST" :path "/divert/" :op-type "divert-record"} {:method "POST" :path "/seal/"   :op-type "seal-gate"}]}
`

// Start starts the edge and what is around it.
func Start(e Edge) (b *Bench, err error) {
	b = &Bench{stop: func() {}}
	defer func() {
		if err != nil {
			b.stopOrWarn()
		}
	}()
	if b.dir, err = os.MkdirTemp("", "flintspread-lab-bench-"); err != nil {
		return b, err
	}
	for range max(1, e.Units) {
		u, err := fakes.StartFastEndpoint()
		if err != nil {
			return b, err
		}
		b.units = append(b.units, u)
	}
	control, stop, err := fakes.ServeFixedEndpoints(b.units)
	if err != nil {
		return b, err
	}
	b.stop = stop
	if b.Address, err = fakes.FreePort(); err != nil {
		return b, err
	}
	if b.admin, err = fakes.FreePort(); err != nil {
		return b, err
	}
	file := filepath.Join(b.dir, "edge.edn")
	text := fmt.Sprintf(settingsText, b.Address, b.admin, b.dir, control, e.Shed, max(1<<20, e.Memory))
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return b, err
	}
	log, err := os.Create(filepath.Join(b.dir, "edge.log"))
	if err != nil {
		return b, err
	}
	defer log.Close()
	b.cmd = exec.Command(filepath.Join(e.Bin, "flintspread-router"), "run", file)
	b.cmd.Stderr = log
	b.cmd.Env = os.Environ()
	if e.Procs > 0 {
		b.cmd.Env = append(b.cmd.Env, "GOMAXPROCS="+strconv.Itoa(e.Procs))
	}
	if err := b.cmd.Start(); err != nil {
		b.cmd = nil
		return b, err
	}
	for range 500 {
		if n, err := b.Number("flintedge_units"); err == nil && int(n) == len(b.units) {
			return b, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	said, _ := os.ReadFile(filepath.Join(b.dir, "edge.log"))
	return b, fmt.Errorf("the edge does not serve: %s", bytes.TrimSpace(said))
}

// Stop ends all of it.
func (b *Bench) Stop() error {
	var err error
	if b.cmd != nil {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGTERM)
		err = b.cmd.Wait()
		b.cmd = nil
	}
	b.stop()
	for _, u := range b.units {
		u.Stop()
	}
	if b.dir != "" {
		os.RemoveAll(b.dir)
	}
	return err
}

// stopOrWarn is Stop where a run's own result matters more than how its router ended.
func (b *Bench) stopOrWarn() {
	if err := b.Stop(); err != nil {
		slog.Warn("router did not stop cleanly", "error", err)
	}
}

// signal sends a signal to the router. One that has ended already is no error here: Stop reports how it ended.
func (b *Bench) signal(sig syscall.Signal) {
	signalProcess(b.cmd.Process, sig)
}

func signalProcess(process *os.Process, sig syscall.Signal) {
	if err := process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Warn("cannot signal the router", "signal", sig.String(), "error", err)
	}
}

// Number reads one of the edge's numbers.
func (b *Bench) Number(name string) (float64, error) {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get("http://" + b.admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text)
	if m == nil {
		return 0, errors.New("no number " + name)
	}
	return strconv.ParseFloat(string(m[1]), 64)
}

// Resident is the edge's resident memory, bytes.
func (b *Bench) Resident() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", b.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0, errors.New("statm of another form")
	}
	pages, err := strconv.ParseInt(words[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// Fault is what happens to the edge or its units during a run.
type Fault struct {
	Kind string  // stop (SIGSTOP for a while), starve (stopped so many ms of each 20), pause (units answer nothing), large (answers of so many bytes)
	At   float64 // s
	For  float64 // s
	By   float64
}

// Inflict does what faults say until ctx ends.
func (b *Bench) Inflict(ctx context.Context, faults []Fault) {
	wait := func(s float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s * float64(time.Second))):
			return true
		}
	}
	process := b.cmd.Process
	for _, f := range faults {
		go func() {
			if !wait(f.At) {
				return
			}
			switch f.Kind {
			case "stop":
				signalProcess(process, syscall.SIGSTOP)
				wait(f.For)
				signalProcess(process, syscall.SIGCONT)
			case "starve":
				for end := time.Now().Add(time.Duration(f.For * float64(time.Second))); time.Now().Before(end) && ctx.Err() == nil; {
					signalProcess(process, syscall.SIGSTOP)
					time.Sleep(time.Duration(f.By * float64(time.Millisecond)))
					signalProcess(process, syscall.SIGCONT)
					time.Sleep(time.Duration((20 - f.By) * float64(time.Millisecond)))
				}
			case "pause":
				for _, u := range b.units {
					u.Pause(time.Duration(f.For * float64(time.Second)))
				}
			case "large":
				for _, u := range b.units {
					u.SetAnswers(int(f.By), 50*time.Millisecond)
				}
				wait(f.For)
				for _, u := range b.units {
					u.ResetAnswers()
				}
			}
		}()
	}
}
