//go:build review3

// Command standin3 plays the cases of the review in the folders that name it. Each case starts the project's own programs
// as separate processes with the commands of the deploy file, plays the services, endpoints and clients around them on
// loopback addresses, and writes what was sent, answered and run to record.txt.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// loopback is the address of all that a case plays. The kernel remembers by address what it learns of a link, and tests of the
// project rest on what it takes 127.0.0.1 to be.
const loopback = "127.0.0.3"

// allCases holds the cases by name; each registers itself.
var allCases = map[string]func(*play){}

// play is one run of a case: its folder, its temporary folder, its record and the processes that it started.
type play struct {
	dir, temp string
	trouble   bool
	began     time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// process is a started program of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

func newPlay(dir string) (*play, error) {
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &play{dir: dir, temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}, nil
}

// now returns the seconds since the case began.
func (p *play) now() float64 { return time.Since(p.began).Seconds() }

// say writes one line to the record, with the time.
func (p *play) say(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", p.now(), fmt.Sprintf(format, args...))
}

// file writes a file into the temporary folder and returns its path.
func (p *play) file(name, text string) string {
	path := filepath.Join(p.temp, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.fail("cannot write %s: %v", path, err)
	}
	return path
}

// start starts a command of the deploy file from the repository's root, through a shell as the operators do. Its log goes
// to NAME.log in the temporary folder.
func (p *play) start(name, command string, env ...string) *process {
	log, err := os.OpenFile(filepath.Join(p.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.fail("cannot open a log: %v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", "exec "+command)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.fail("cannot start %s: %v", name, err)
	}
	proc := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.say("process %s ended: %v", name, err)
		log.Close()
		close(proc.ended)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, proc)
	p.mu.Unlock()
	p.say("process %s started", name)
	return proc
}

// signal sends a signal to a process that this case started.
func (p *play) signal(proc *process, signal syscall.Signal) {
	p.say("signal %v to %s", signal, proc.name)
	if err := proc.cmd.Process.Signal(signal); err != nil {
		p.say("signal %v to %s: %v", signal, proc.name, err)
	}
}

// kill kills a process and waits for its end.
func (p *play) kill(proc *process) {
	p.signal(proc, syscall.SIGKILL)
	<-proc.ended
}

// alive reports whether a process runs.
func (proc *process) alive() bool {
	select {
	case <-proc.ended:
		return false
	default:
		return true
	}
}

// end ends the case with an exit code: it ends every process that still runs and removes the temporary folder. With KEEP=1
// the folder stays.
func (p *play) end(code int, format string, args ...any) {
	verdict := map[int]string{exitKept: "kept", exitBroken: "BROKEN", exitNotRun: "could not run"}[code]
	p.say("verdict: %s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, args...))
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, proc := range processes {
		if proc.alive() {
			// The process may be stopped or may have ended meanwhile; SIGKILL serves both.
			_ = proc.cmd.Process.Kill()
			<-proc.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(p.temp)
	} else {
		fmt.Println("kept", p.temp)
	}
	p.mu.Lock()
	os.Exit(code)
}

// fail ends a case that could not run.
func (p *play) fail(format string, args ...any) { p.end(exitNotRun, format, args...) }

// freeAddress returns a loopback address that nobody listens on.
func (p *play) freeAddress() string {
	l := p.listen()
	defer l.Close()
	return l.Addr().String()
}

func (p *play) listen() net.Listener {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		p.fail("cannot listen: %v", err)
	}
	return l
}

// serve runs an HTTP server on a free loopback address until the case ends, and returns the address.
func (p *play) serve(handler http.Handler) string {
	l := p.listen()
	go func() {
		if err := http.Serve(l, handler); err != nil {
			p.say("a stand-in's server ended: %v", err)
		}
	}()
	return l.Addr().String()
}

// until waits until a condition holds, for some seconds at most, and reports whether it does.
func until(seconds float64, condition func() bool) bool {
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}

// sleep waits for some seconds.
func sleep(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }

func main() {
	if len(os.Args) != 3 || allCases[os.Args[1]] == nil {
		fmt.Println("usage: standin3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	p, err := newPlay(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(110*time.Second, func() { p.fail("took longer than 110 s") })
	allCases[os.Args[1]](p)
}
