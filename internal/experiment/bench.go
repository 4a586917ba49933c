package experiment

import (
	"bytes"
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

const (
	startAttempts  = 500 // checks whether a started router has its endpoint list
	startInterval  = 10 * time.Millisecond
	metricsTimeout = 2 * time.Second
	minMemoryBytes = 1 << 20 // smallest memory budget that the settings allow
)

// Bench is a test bench: a router process with fast fake endpoints, a fake endpoint list and a fake release service.
type Bench struct {
	Address string // HOST:PORT that clients connect to

	adminAddress string
	dir          string // folder of settings, log and state
	cmd          *exec.Cmd
	endpoints    []*fakes.FastEndpoint
	stopServices func()
}

// RouterOptions configures a bench and its router.
type RouterOptions struct {
	Bin         string // folder of the program flintspread-router
	MaxProcs    int    // processors that the router may use; 0: all
	Shed        bool   // enables load shedding: the router rejects requests when it is itself overloaded
	MemoryBytes int64  // memory budget for connections and messages, in bytes
	Endpoints   int    // number of endpoints; at least one is started
}

// Classes returns the request classes of the bench's settings. The first one has the shortest latency objective.
func Classes() []loadgen.RequestClass {
	return []loadgen.RequestClass{
		{Name: "chute-lookup", Method: "GET", Path: "/chute/", Share: 0.4, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75},
		{Name: "batch-table", Method: "POST", Path: "/batch/", Share: 0.2, LatencyObjectiveSeconds: 0.6, TimeoutSeconds: 1.5, BodyBytes: 100},
		{Name: "divert-record", Method: "POST", Path: "/divert/", Share: 0.3, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75, BodyBytes: 20},
		{Name: "seal-gate", Method: "POST", Path: "/seal/", Share: 0.1, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 0.75},
	}
}

// settingsText is the format of the router's settings file. Its arguments are the listen address, the admin address,
// the state folder, the address of the endpoint list and release service, whether to shed load, and the memory budget
// in bytes.
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

// Start starts a router with its fakes and waits until the router has its endpoint list. The caller must stop the bench.
func Start(options RouterOptions) (*Bench, error) {
	b := &Bench{stopServices: func() {}}
	if err := b.start(options); err != nil {
		b.stopOrWarn()
		return nil, err
	}
	return b, nil
}

func (b *Bench) start(options RouterOptions) error {
	services, err := b.startFakes(max(1, options.Endpoints))
	if err != nil {
		return err
	}
	if b.dir, err = os.MkdirTemp("", "flintspread-lab-bench-"); err != nil {
		return err
	}
	if b.Address, err = fakes.FreePort(); err != nil {
		return err
	}
	if b.adminAddress, err = fakes.FreePort(); err != nil {
		return err
	}
	settings := fmt.Sprintf(settingsText, b.Address, b.adminAddress, b.dir, services, options.Shed, max(minMemoryBytes, options.MemoryBytes))
	if err := b.startRouter(options, settings); err != nil {
		return err
	}
	return b.waitUntilReady()
}

// startFakes starts endpoints, and serves their list and a release service at one address, which it returns.
func (b *Bench) startFakes(endpoints int) (services string, err error) {
	for range endpoints {
		e, err := fakes.StartFastEndpoint()
		if err != nil {
			return "", err
		}
		b.endpoints = append(b.endpoints, e)
	}
	services, stop, err := fakes.ServeFixedEndpoints(b.endpoints)
	if err != nil {
		return "", err
	}
	b.stopServices = stop
	return services, nil
}

func (b *Bench) logFile() string { return filepath.Join(b.dir, "edge.log") }

func (b *Bench) startRouter(options RouterOptions, settings string) error {
	file := filepath.Join(b.dir, "edge.edn")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	log, err := os.Create(b.logFile())
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(options.Bin, "flintspread-router"), "run", file)
	cmd.Stderr = log
	cmd.Env = os.Environ()
	if options.MaxProcs > 0 {
		cmd.Env = append(cmd.Env, "GOMAXPROCS="+strconv.Itoa(options.MaxProcs))
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	b.cmd = cmd
	return nil
}

// waitUntilReady waits until the router knows all endpoints.
func (b *Bench) waitUntilReady() error {
	for range startAttempts {
		if n, err := b.Metric("flintedge_units"); err == nil && int(n) == len(b.endpoints) {
			return nil
		}
		time.Sleep(startInterval)
	}
	log, err := os.ReadFile(b.logFile())
	if err != nil {
		return fmt.Errorf("the router did not get its %d endpoints, and reading its log failed: %w", len(b.endpoints), err)
	}
	return fmt.Errorf("the router did not get its %d endpoints; its log: %s", len(b.endpoints), bytes.TrimSpace(log))
}

// Stop stops the router gracefully, then the fakes, and removes the bench's folder. The error reports how the router
// exited.
func (b *Bench) Stop() (err error) {
	if b.cmd != nil {
		b.signal(syscall.SIGCONT) // a fault may have suspended it
		b.signal(syscall.SIGTERM)
		err = b.cmd.Wait()
		b.cmd = nil
	}
	b.stopServices()
	for _, e := range b.endpoints {
		e.Stop()
	}
	if b.dir != "" {
		os.RemoveAll(b.dir)
	}
	return err
}

// stopOrWarn calls Stop and logs its error. It is for callers whose own result matters more than how the router exited.
func (b *Bench) stopOrWarn() {
	if err := b.Stop(); err != nil {
		slog.Warn("router did not exit cleanly", "error", err)
	}
}

// signal sends a signal to the router. A router that has already exited is not an error here, because Stop reports how
// it exited.
func (b *Bench) signal(sig syscall.Signal) { signalProcess(b.cmd.Process, sig) }

func signalProcess(process *os.Process, sig syscall.Signal) {
	if err := process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Warn("failed to send a signal to the router", "signal", sig.String(), "error", err)
	}
}

// Metric reads the value of a router's metric without labels.
func (b *Bench) Metric(name string) (float64, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + b.adminAddress + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text)
	if match == nil {
		return 0, fmt.Errorf("the router's metrics have no %s without labels", name)
	}
	return strconv.ParseFloat(string(match[1]), 64)
}

// ResidentBytes returns the router's resident memory.
func (b *Bench) ResidentBytes() (int64, error) {
	file := fmt.Sprintf("/proc/%d/statm", b.cmd.Process.Pid)
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0, fmt.Errorf("%s has %d fields, want at least 2", file, len(words))
	}
	pages, err := strconv.ParseInt(words[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
