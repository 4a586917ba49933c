// Package main holds the stand-ins of the second review: units, discovery, the control service and clients, and a
// runner for each case. It uses the standard library only and imports nothing of the project.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// loopbackAnyPort is the address of all that a case plays, with any free port. The kernel remembers by address what it learns of a
// link, and tests of the project rest on what it takes 127.0.0.1 to be.
const loopbackAnyPort = "127.0.0.3:0"

// start is when the runner started; times in the record count from it.
var start = time.Now()

func since() float64 { return time.Since(start).Seconds() }

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	lines int
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, out: bufio.NewWriter(file)}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{since()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopChildren()
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
	os.Exit(2)
}

// tempDir is the temporary folder of this run.
var tempDir string

// Child processes, so that every exit ends them.
var (
	childMu  sync.Mutex
	children []*child
)

type child struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// launch starts a program as the deploy file does: by /bin/sh -c from the repository's root. name is for its log.
func launch(root, dir, name, command string, env ...string) *child {
	logName := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(logName, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	c := &child{cmd: cmd, done: make(chan struct{}), log: logName}
	go func() { cmd.Wait(); log.Close(); close(c.done) }()
	childMu.Lock()
	children = append(children, c)
	childMu.Unlock()
	return c
}

func (c *child) running() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (c *child) signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

func (c *child) kill() {
	if c.running() {
		c.signal(syscall.SIGKILL)
		<-c.done
	}
}

// anonMB returns the resident anonymous memory of the process in MB: without the pages of the program's file.
func (c *child) anonMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func stopChildren() {
	childMu.Lock()
	defer childMu.Unlock()
	for _, c := range children {
		c.kill()
	}
}

func freePort() string {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// ---- RESP2 ----

func respArray(words ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.Bytes()
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}

func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "*") {
		return nil, fmt.Errorf("bad command line %q", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 16 {
		return nil, fmt.Errorf("bad command line %q", line)
	}
	words := make([]string, n)
	for i := range words {
		if words[i], err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

func readBulk(r *bufio.Reader) (string, error) {
	line, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !strings.HasPrefix(line, "$") {
		return "", fmt.Errorf("bad value line %q", line)
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 || size > 1<<20 {
		return "", fmt.Errorf("bad value line %q", line)
	}
	buf := make([]byte, size+2)
	if _, err := io.ReadFull(r, buf); err != nil {
		return "", err
	}
	return string(buf[:size]), nil
}

// option returns the value of a name in a command's list of names and values.
func option(list, name string) string {
	for _, pair := range strings.Split(list, ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

// call is one command of a client as read by a unit.
type call struct {
	unit    *unit
	key, id string
	class   string
	at      time.Time // when its last byte came
	leftMs  int
	conn    net.Conn
	// answer writes the unit's answer: a value, or an error line if it starts with "-".
	answer func(text string)
}

// unit is a server: it listens, reads commands and passes each to handle, which must call answer in time or leave it.
type unit struct {
	host    string
	build   int
	born    time.Time
	address string
	health  string
	handle  func(*call)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func startUnit(host string, build int, born time.Time, handle func(*call)) *unit {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	u := &unit{host: host, build: build, born: born, address: l.Addr().String(), health: "SERVING", handle: handle, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = true
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	return u
}

func (u *unit) serve(c net.Conn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 32<<10)
	var writing sync.Mutex
	for {
		words, err := readCommand(r)
		if err != nil {
			return
		}
		switch {
		case words[0] == "PING":
			c.Write([]byte("+PONG\r\n"))
		case len(words) >= 4 && (words[0] == "API.READ" || words[0] == "API.WRITE"):
			left, _ := strconv.Atoi(option(words[3], "d"))
			u.handle(&call{unit: u, key: words[1], id: words[2], class: option(words[3], "c"), at: time.Now(), leftMs: left, conn: c,
				answer: func(text string) {
					writing.Lock()
					defer writing.Unlock()
					if strings.HasPrefix(text, "-") {
						c.Write([]byte(text + "\r\n"))
						return
					}
					fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
				}})
		default:
			c.Write([]byte("-SYNTAX\r\n"))
		}
	}
}

// ---- discovery ----

type discovery struct {
	mu      sync.Mutex
	seq     int
	entries map[string]map[string]any // by host
	history []map[string]any          // entry changes with their seq
	changed chan struct{}
	address string
	server  *http.Server
	rec     *record
	slow    atomic.Int64 // how long each new watch waits for the first byte of its answer, in ms
	opened  atomic.Int64 // watches asked for
	begun   atomic.Int64 // watches whose answer began while the relay still waited
}

func startDiscovery(rec *record) *discovery {
	d := &discovery{seq: 40, entries: map[string]map[string]any{}, changed: make(chan struct{}), rec: rec}
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	d.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.members)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d
}

// list sets a unit's entry and tells the watches.
func (d *discovery) list(u *unit, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.health = health
	d.seq++
	born := 0.0
	if !u.born.IsZero() {
		born = float64(u.born.UnixMilli())
	}
	entry := map[string]any{"host": u.host, "dial": u.address, "site": "hall-b", "class": "small-2c", "block": 0,
		"health": health, "share": 1.0, "born_ms": born, "image_id": u.build}
	if health == "DELETED" {
		delete(d.entries, u.host)
	} else {
		d.entries[u.host] = entry
	}
	d.history = append(d.history, map[string]any{"seq": d.seq, "entry": entry})
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.add("discovery seq %d: %s build %d %s", d.seq, u.host, u.build, health)
}

func (d *discovery) whole() map[string]any {
	hosts := []map[string]any{}
	names := []string{}
	for host := range d.entries {
		names = append(names, host)
	}
	slices.Sort(names)
	for _, host := range names {
		hosts = append(hosts, d.entries[host])
	}
	return map[string]any{"seq": d.seq, "whole": true, "hosts": hosts}
}

// known returns the whole list as the configuration holds it.
func (d *discovery) known() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *discovery) since(seq int) (hosts []map[string]any) {
	for _, h := range d.history {
		if h["seq"].(int) > seq {
			hosts = append(hosts, h["entry"].(map[string]any))
		}
	}
	return hosts
}

func (d *discovery) members(w http.ResponseWriter, r *http.Request) {
	flush := func() { w.(http.Flusher).Flush() }
	d.opened.Add(1)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(d.slow.Load()) * time.Millisecond):
	}
	d.begun.Add(1)
	d.mu.Lock()
	whole := d.whole()
	seq, changed := d.seq, d.changed
	d.mu.Unlock()
	if r.URL.Query().Get("stream") == "" {
		json.NewEncoder(w).Encode(whole)
		return
	}
	json.NewEncoder(w).Encode(whole)
	flush()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-beat.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			flush()
		case <-changed:
			d.mu.Lock()
			hosts := d.since(seq)
			seq, changed = d.seq, d.changed
			d.mu.Unlock()
			byHost := map[string]map[string]any{}
			order := []string{}
			for _, h := range hosts {
				host := h["host"].(string)
				if byHost[host] == nil {
					order = append(order, host)
				}
				byHost[host] = h
			}
			last := []map[string]any{}
			for _, host := range order {
				last = append(last, byHost[host])
			}
			json.NewEncoder(w).Encode(map[string]any{"seq": seq, "whole": false, "hosts": last})
			flush()
		}
	}
}

// ---- control service ----

type news struct {
	build, stage int
	phase        string
	limit        float64
	since        time.Time
}

func (n news) text() string {
	return fmt.Sprintf("%d %d %s %g %d", n.build, n.stage, n.phase, n.limit, time.Since(n.since).Milliseconds())
}

type controlService struct {
	mu      sync.Mutex
	now     news
	address string
	conns   map[net.Conn]*sync.Mutex
	onVote  func(build, stage int, verdict string)
	rec     *record
}

func startControl(rec *record, first news) *controlService {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		cannotRun("%v", err)
	}
	s := &controlService{now: first, address: l.Addr().String(), conns: map[net.Conn]*sync.Mutex{}, rec: rec}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for range time.Tick(time.Second) {
			s.push("*")
		}
	}()
	return s
}

func (s *controlService) push(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		io.WriteString(c, line+"\r\n")
	}
}

// set changes the state of the newest build and tells it.
func (s *controlService) set(n news) {
	n.since = time.Now()
	s.mu.Lock()
	s.now = n
	s.mu.Unlock()
	s.rec.add("control: %s", n.text())
	s.push("* progress " + n.text())
}

func (s *controlService) state() news {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *controlService) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 1 && words[0] == "follow":
			s.mu.Lock()
			fmt.Fprintf(c, "OK\r\n* progress %s\r\n", s.now.text())
			s.conns[c] = &sync.Mutex{}
			s.mu.Unlock()
		case len(words) == 4 && words[0] == "judge":
			build, _ := strconv.Atoi(words[1])
			stage, _ := strconv.Atoi(words[2])
			s.rec.add("vote: %s", line)
			s.mu.Lock()
			fmt.Fprintf(c, "OK %s\r\n", s.now.text())
			s.mu.Unlock()
			if s.onVote != nil {
				s.onVote(build, stage, words[3])
			}
		default:
			fmt.Fprintf(c, "ERR ValidationError\r\n")
		}
	}
}

// ---- a relay on the platform ----

type object = map[string]any

// settings returns the settings of a small deployment; edit changes them.
func settings(classes []object) object {
	return object{
		"balancers": 1, "classes": classes, "client_habits": object{"marks_retry": false}, "discovery": "push",
		"family_info": object{"api_timeout": 1200.0, "auto_after": 4000.0, "bake": 3000.0, "counted_share": 0.4, "counts": "all",
			"exposure_caps": []float64{0.068, 0.17, 0.425, 0.935, 1.0}, "forward_only": false, "gate_mode": "automatic", "harm_fee": 3.0,
			"noes_needed": 1, "on_votes": 0, "push": 2000.0, "replace_mode": "parallel", "reported_share": 0.3, "shielded": 0,
			"spare_tries": 1.0, "stale_build_price": 0.35, "tally": 1000.0, "to_pause": 1, "vote_life": 10000.0, "votes_per_s": 20.0,
			"warm_keys": false, "waves": []float64{0.04, 0.1, 0.25, 0.55, 1.0}, "window": 4000.0},
		"flavors": []string{"small-2c"}, "me": 0, "my_zone": 0, "over_share_worth": 0.1,
		"policy_limits": object{"conn_idle": 30000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 250.0,
			"max_retry_after": 2000.0, "max_streams": 100, "may_cancel": true, "open_cap": 20000, "parallel_tries": true, "peers": false,
			"probes": true, "retry_after": true, "send_cap": 5},
		"round": 5.0,
		"rules": object{"answer_slack": 20.0, "ask_within": 10000.0, "cold_from": 0.3, "fall": 1500.0, "fall_multiple": 4.0,
			"stop_sending_within": 1000.0, "warm_up": 4900.0},
		"service_type": "rollout", "stages": []string{"sort-app"}, "telemetry": object{"fields": []string{}, "how": "none"},
		"tenants": []string{}, "tier": 0, "weight_kind": "none", "worth_by": "request", "zones": []string{"hall-b"},
	}
}

func class(name, semantics string, aimMs, deadlineMs, ttlMs, value float64) object {
	return object{"name": name, "semantics": semantics, "aim": aimMs, "deadline": deadlineMs, "group": "all", "key_ttl": ttlMs,
		"late_value": 0.0, "stream": false, "value": value}
}

type relayConfig struct {
	name      string
	listen    string
	discovery string
	control   string
	memoryMB  int
	sockets   int
	news      news
	known     map[string]any
	settings  object
}

func (c *relayConfig) write(path string) {
	n := c.news
	text, err := json.MarshalIndent(object{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"platform": object{"address": c.control, "news": object{"build": n.build, "stage": n.stage, "phase": n.phase, "cap": n.limit,
			"age_ms": time.Since(n.since).Milliseconds()}},
		"known": c.known, "settings": c.settings}, "", " ")
	if err != nil {
		cannotRun("%v", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		cannotRun("%v", err)
	}
}

// startRelay starts the relay by the deploy file's run command and waits until it answers PING.
func startRelay(e *env, c *relayConfig) *child {
	path := filepath.Join(e.dir, c.name+".json")
	c.write(path)
	relay := launch(e.root, e.dir, c.name, "exec bin/flintspread-router node", "LB_CONFIG="+path, "LB_NAME="+c.name, "LB_LISTEN="+c.listen, "LB_DISCOVERY="+c.discovery)
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) && relay.running() {
		if ping(c.listen) == nil {
			return relay
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("the relay %s is not ready", c.name)
	return nil
}

func ping(address string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write(respArray("PING"))
	line, err := readLine(bufio.NewReader(c))
	if err == nil && line != "+PONG" {
		err = errors.New(line)
	}
	return err
}

// client is a usual client: one request at a time on a connection that it keeps.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// result of a request.
type result struct {
	kind  string // served, refused, failed, late (no answer in time), broken (the connection ended)
	text  string
	pause time.Duration
	took  time.Duration
}

// ask sends one request and waits for its answer for wait.
func (c *client) ask(words []string, wait time.Duration) result {
	for try := 0; ; try++ {
		fresh := c.conn == nil
		if fresh {
			conn, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				return result{kind: "unreached", text: err.Error()}
			}
			c.conn, c.reader = conn, bufio.NewReaderSize(conn, 16<<10)
		}
		sent := time.Now()
		c.conn.SetDeadline(sent.Add(wait))
		_, err := c.conn.Write(respArray(words...))
		var line string
		if err == nil {
			line, err = readLine(c.reader)
		}
		if err != nil {
			var netErr net.Error
			timedOut := errors.As(err, &netErr) && netErr.Timeout()
			c.close()
			if !fresh && !timedOut && try == 0 {
				continue // the relay closed between two requests: once more on a new connection
			}
			kind := "broken"
			if timedOut {
				kind = "late"
			}
			return result{kind: kind, text: err.Error(), took: time.Since(sent)}
		}
		took := time.Since(sent)
		switch {
		case strings.HasPrefix(line, "$"):
			size, _ := strconv.Atoi(line[1:])
			buf := make([]byte, size+2)
			if _, err := io.ReadFull(c.reader, buf); err != nil {
				c.close()
				return result{kind: "broken", text: err.Error(), took: took}
			}
			return result{kind: "served", text: string(buf[:size]), took: time.Since(sent)}
		case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
			ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
			return result{kind: "refused", text: line, pause: time.Duration(ms) * time.Millisecond, took: took}
		}
		return result{kind: "failed", text: line, took: took}
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

var ids struct {
	mu sync.Mutex
	n  int
}

func newID() string {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", uint64(ids.n)*0x9e3779b97f4a7c15)
}
