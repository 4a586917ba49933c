package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/invariants"
)

const (
	startAttempts    = 300 // to connect to a process that was started
	startInterval    = 10 * time.Millisecond
	startDialTimeout = 100 * time.Millisecond
)

// process is a router or controller with its settings, across its starts and stops. Its methods may be called from any goroutine.
type process struct {
	runner       *runner
	relay        string
	isController bool
	program      string
	adminAddress string // accepts connections once the process runs
	settingsFile string
	logFile      string

	mu   sync.Mutex
	cmd  *exec.Cmd               // nil: it is stopped
	life *invariants.Incarnation // the record of cmd
}

type processes []*process

// ofRelay gives the processes of a relay, those of the first one if the name is empty.
func (list processes) ofRelay(name string) (found processes) {
	if name == "" && len(list) > 0 {
		name = list[0].relay
	}
	for _, p := range list {
		if p.relay == name {
			found = append(found, p)
		}
	}
	return found
}

// startRelay starts a relay's controller, if the script has any, and its routers. It gives the address that clients connect to.
func (r *runner) startRelay(relay string) (address string, err error) {
	listen, err := fakes.FreePort()
	if err != nil {
		return "", err
	}
	if r.script.Routers == 0 {
		return listen, r.startRouter(relay, relay, listen)
	}
	if err := r.startController(relay); err != nil {
		return "", err
	}
	for i := range r.script.Routers {
		if err := r.startRouter(relay, fmt.Sprintf("%s-edge%d", relay, i+1), listen); err != nil {
			return "", err
		}
	}
	return listen, nil
}

func (r *runner) startRouter(relay, name, listen string) error {
	p, addresses, err := r.newProcess(relay, name)
	if err != nil {
		return err
	}
	p.program = "flintspread-router"
	r.routers = append(r.routers, p)
	return p.startWith(r.script.routerFile(relay, name, listen, r.path(name), addresses))
}

func (r *runner) startController(relay string) error {
	name := relay + "-plan"
	p, addresses, err := r.newProcess(relay, name)
	if err != nil {
		return err
	}
	p.program, p.isController = "flintspread-controller", true
	r.controllers = append(r.controllers, p)
	return p.startWith(r.script.controllerFile(relay, r.path(name), addresses))
}

func (r *runner) path(name string) string { return filepath.Join(r.dir, name) }

// newProcess makes a process that is not started yet.
func (r *runner) newProcess(relay, name string) (*process, processAddresses, error) {
	admin, err := fakes.FreePort()
	if err != nil {
		return nil, processAddresses{}, err
	}
	p := &process{runner: r, relay: relay, adminAddress: admin, settingsFile: r.path(name) + ".edn", logFile: r.path(name) + ".log"}
	return p, processAddresses{admin: admin, link: r.linkAddress(relay), services: r.servicesAddress}, nil
}

// linkAddress is where a relay's routers and controller meet.
func (r *runner) linkAddress(relay string) string { return "unix:" + r.path(relay+".sock") }

// startWith writes the settings and starts the process.
func (p *process) startWith(settings []byte) error {
	if err := os.WriteFile(p.settingsFile, settings, 0o644); err != nil {
		return err
	}
	return p.start()
}

// start starts the process unless it runs or the scenario is over, and waits until it accepts connections.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.runner.ctx.Err() != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.runner.bin, p.program), "run", p.settingsFile)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.life = &invariants.Incarnation{RouterGroup: p.relay, IsController: p.isController, StartedAt: p.runner.clock()}
	p.runner.record.Update(func(r *invariants.Record) { r.Incarnations = append(r.Incarnations, p.life) })
	p.cmd = cmd
	for range startAttempts {
		if c, err := net.DialTimeout("tcp", p.adminAddress, startDialTimeout); err == nil {
			c.Close()
			return nil
		}
		time.Sleep(startInterval)
	}
	return fmt.Errorf("%s does not accept; its log: %s", p.settingsFile, p.readLog())
}

// readLog gives the process's log, or why it can't be read.
func (p *process) readLog() []byte {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return []byte(err.Error())
	}
	return bytes.TrimSpace(text)
}

// stop ends the process by a signal and waits for it. One that fails, but for a SIGKILL, is an error of the scenario.
func (p *process) stop(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.runner.record.Update(func(*invariants.Record) {
		if p.life.Killed = sig == syscall.SIGKILL; !p.life.Killed {
			p.life.DrainingFrom = p.runner.clock()
		}
	})
	p.signal(sig)
	err := p.cmd.Wait()
	p.runner.record.Update(func(*invariants.Record) { p.life.EndedAt = p.runner.clock() })
	if err != nil && sig != syscall.SIGKILL {
		p.runner.addError(fmt.Errorf("%s, stopped: %w (log: %s)", p.settingsFile, err, p.logFile))
	}
	p.cmd = nil
}

// restartAfter kills the process, and starts it again some seconds later.
func (p *process) restartAfter(seconds float64) {
	p.stop(syscall.SIGKILL)
	p.runner.after(seconds, func() { p.runner.addError(p.start()) })
}

// pause stops the process from outside for a while. The process is locked meanwhile.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	from := p.runner.clock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.runner.record.Update(func(*invariants.Record) { p.life.Pauses = append(p.life.Pauses, [2]float64{from, p.runner.clock()}) })
}

// signal sends a signal. A process that has ended already is no error here: stop reports how it ended. Under the lock.
func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.runner.addError(fmt.Errorf("%s: %w", p.settingsFile, err))
	}
}
