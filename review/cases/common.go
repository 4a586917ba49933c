//go:build review

// Command cases plays the cases of the review. Each case starts the project's programs as separate processes and holds
// the stand-ins around them: clients, endpoints, and the services that a router follows.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"flintspread/internal/fakes"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// longestCase ends a case that hangs.
const longestCase = 110 * time.Second

// lab is what every case needs: the record, a temporary folder, and the processes to end.
type lab struct {
	trouble bool   // false: the same without the disruption
	root    string // of the repository
	dir     string // temporary
	began   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	processes []*exec.Cmd
}

// cases holds the cases by name. Each returns how often the rule was broken, or why it could not run.
var cases = map[string]func(*lab) (broken int, err error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME, in the folder of a case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(run func(*lab) (int, error)) int {
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "flintspread-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	root, err := filepath.Abs("../..")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, began: time.Now(), record: bufio.NewWriter(file)}
	l.notef("trouble %v", l.trouble)
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(l)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(longestCase):
		r.err = fmt.Errorf("not over after %v", longestCase)
	}
	l.endAll()
	code := exitHeld
	switch {
	case r.err != nil:
		l.notef("the case could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
		code = exitNotRun
	case r.broken > 0:
		l.notef("BROKEN: %d times", r.broken)
		fmt.Printf("broken: %d times\n", r.broken)
		code = exitBroken
	default:
		l.notef("held")
		fmt.Println("held")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.record.Flush(); err != nil {
		return exitNotRun
	}
	file.Close()
	return code
}

// notef adds a line to the record, with the time since the start of the case.
func (l *lab) notef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a program with the shell, from the root of the repository, as the deploy file does. Its log goes to the
// record.
func (l *lab) start(name, command string) (*exec.Cmd, error) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = l.root
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	l.notef("started %s: %s", name, command)
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			l.notef("%s: %s", name, lines.Text())
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, cmd)
	return cmd, nil
}

// endAll kills the processes that are left and waits for them.
func (l *lab) endAll() {
	l.mu.Lock()
	processes := l.processes
	l.processes = nil
	l.mu.Unlock()
	for _, cmd := range processes {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
}

// writeFile writes a file in the temporary folder and returns its path.
func (l *lab) writeFile(name, text string) (string, error) {
	file := filepath.Join(l.dir, name)
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// document returns the document part of the example settings, from :schema on, with replacements of its text.
func (l *lab) document(replacements ...string) (string, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy/edge.edn"))
	if err != nil {
		return "", err
	}
	document := string(text)[strings.Index(string(text), ":schema 1"):]
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(document, replacements[i]) {
			return "", fmt.Errorf("%q is not in the example settings", replacements[i])
		}
		document = strings.Replace(document, replacements[i], replacements[i+1], 1)
	}
	return document, nil
}

// startRouter starts a router with the given document and waits until it accepts connections. control is the address
// of a control service; if it is empty, the router follows the list service at listAddr.
func (l *lab) startRouter(document, listAddr, installerAddr, control string) (cmd *exec.Cmd, address string, err error) {
	address, err = fakes.FreePort()
	if err != nil {
		return nil, "", err
	}
	admin, err := fakes.FreePort()
	if err != nil {
		return nil, "", err
	}
	list, controlKey := fmt.Sprintf(":list \"http://%s/list\"", listAddr), ""
	if control != "" {
		list = ""
		controlKey = fmt.Sprintf(":control {:addresses [%q] :silence 2.0 :back-least 0.1 :back-most 1.0 :patience 5.0 :most-bytes 8000000}\n", control)
	}
	file, err := l.writeFile("edge.edn", fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {%s :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 1.0}
 %s %s`, address, admin, filepath.Join(l.dir, "state"), list, installerAddr, controlKey, document))
	if err != nil {
		return nil, "", err
	}
	if cmd, err = l.start("router", "exec bin/flintspread-router run "+file); err != nil {
		return nil, "", err
	}
	for range 100 {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			return cmd, address, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, "", fmt.Errorf("the router does not listen at %s", address)
}

// lines is a stand-in for a service that streams lines: the list service, or the release service, which takes votes too.
type lines struct {
	mu      sync.Mutex
	first   any           // first line of a new stream
	line    any           // last line that was sent on all streams
	quiet   any           // line that says that nothing changed
	changed chan struct{} // closed and replaced when line changes
	vote    func(text []byte) any
}

func startLines(first, quiet any) (*lines, string, error) {
	s := &lines{first: first, quiet: quiet, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return s, listener.Addr().String(), nil
}

// set sends a line on all streams. New streams begin with first.
func (s *lines) set(line, first, quiet any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line, s.first, s.quiet = line, first, quiet
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *lines) state() (first, line, quiet any, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.line, s.quiet, s.changed
}

// ServeHTTP implements http.Handler.
func (s *lines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var body bytes.Buffer
		if _, err := body.ReadFrom(r.Body); err == nil && s.vote != nil {
			_ = json.NewEncoder(w).Encode(s.vote(body.Bytes()))
		}
		return
	}
	line, _, _, changed := s.state()
	for {
		if json.NewEncoder(w).Encode(line) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			_, line, _, changed = s.state()
		case <-time.After(500 * time.Millisecond):
			_, _, line, _ = s.state()
		}
	}
}

// unit is an entry of the list service's lines.
type unit struct {
	ID    int     `json:"id"`
	Addr  string  `json:"addr"`
	State string  `json:"state"`
	Build int     `json:"build"`
	Start float64 `json:"start,omitempty"`
}

// list is a line of the list service.
type list struct {
	Version int    `json:"version"`
	Full    bool   `json:"full,omitempty"`
	Units   []unit `json:"units,omitempty"`
}

// stage is a line of the release service.
type stage struct {
	Version int     `json:"version"`
	Build   int     `json:"build"`
	Stage   int     `json:"stage"`
	Phase   string  `json:"phase"`
	Cap     float64 `json:"cap"`
	Age     float64 `json:"age"`
	Vote    string  `json:"vote,omitempty"`
}

// quietStage says that a release did not change.
var quietStage = map[string]any{"quiet": true}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// callResult is what a client saw of a request.
type callResult struct {
	answer  string // Flint-Answer, or the status where there is none; empty: no answer
	status  int
	pause   float64 // Flint-Pause in seconds
	version string
	build   string // X-Build, from the stand-in units
	body    []byte
	elapsed time.Duration
	err     error
}

// call sends a request on a connection and waits for its answer until limit after the sending.
func call(conn net.Conn, br *bufio.Reader, method, path string, headers map[string]string, body []byte, limit time.Duration) (result callResult) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: router\r\n", method, path)
	for name, value := range headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	head.Write(body)
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(limit))
	if _, err := conn.Write(head.Bytes()); err != nil {
		return callResult{err: err, elapsed: time.Since(sent)}
	}
	sent = time.Now() // the request counts from its last byte
	_ = conn.SetDeadline(sent.Add(limit))
	response, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return callResult{err: err, elapsed: time.Since(sent)}
	}
	defer response.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil {
		return callResult{err: err, elapsed: time.Since(sent)}
	}
	result = callResult{answer: response.Header.Get("Flint-Answer"), status: response.StatusCode, body: text.Bytes(),
		version: response.Header.Get("Flint-Version"), build: response.Header.Get("X-Build"), elapsed: time.Since(sent)}
	if result.answer == "" {
		result.answer = fmt.Sprint(response.StatusCode)
	}
	if pause := response.Header.Get("Flint-Pause"); pause != "" {
		_, _ = fmt.Sscanf(pause, "%f", &result.pause)
	}
	return result
}
