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
	startAttempts    = 300 // connection attempts to a started process before it counts as failed
	startInterval    = 10 * time.Millisecond
	startDialTimeout = 100 * time.Millisecond
)

// process is a router or controller together with its settings. It can be started and stopped repeatedly; its methods
// may be called from any goroutine.
type process struct {
	runner       *runner
	relay        string
	isController bool
	program      string
	adminAddress string // accepts connections as soon as the process is up
	settingsFile string
	logFile      string

	mu          sync.Mutex
	cmd         *exec.Cmd               // nil while the process is stopped
	incarnation *invariants.Incarnation // record of the lifetime of cmd
}

type processes []*process

// ofRelay returns the processes of the named relay, or those of the first relay if the name is empty.
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

// startRelay starts a relay's routers, and its controller if the script has controllers. It returns the address that
// clients connect to.
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
	return p.writeSettingsAndStart(r.script.routerFile(relay, name, listen, r.path(name), addresses))
}

func (r *runner) startController(relay string) error {
	name := relay + "-plan"
	p, addresses, err := r.newProcess(relay, name)
	if err != nil {
		return err
	}
	p.program, p.isController = "flintspread-controller", true
	r.controllers = append(r.controllers, p)
	return p.writeSettingsAndStart(r.script.controllerFile(relay, r.path(name), addresses))
}

func (r *runner) path(name string) string { return filepath.Join(r.dir, name) }

// newProcess returns a process without starting it.
func (r *runner) newProcess(relay, name string) (*process, processAddresses, error) {
	admin, err := fakes.FreePort()
	if err != nil {
		return nil, processAddresses{}, err
	}
	p := &process{runner: r, relay: relay, adminAddress: admin, settingsFile: r.path(name) + ".edn", logFile: r.path(name) + ".log"}
	return p, processAddresses{admin: admin, link: r.linkAddress(relay), services: r.servicesAddress}, nil
}

// linkAddress returns the Unix socket address of the link between a relay's controller and its routers.
func (r *runner) linkAddress(relay string) string { return "unix:" + r.path(relay+".sock") }

// writeSettingsAndStart writes the settings file and starts the process.
func (p *process) writeSettingsAndStart(settings []byte) error {
	if err := os.WriteFile(p.settingsFile, settings, 0o644); err != nil {
		return err
	}
	return p.start()
}

// start starts the process and waits until it accepts connections. It does nothing if the process is running or the
// scenario is over.
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
	p.incarnation = &invariants.Incarnation{RouterGroup: p.relay, IsController: p.isController, StartedAt: p.runner.clock()}
	p.runner.record.Update(func(r *invariants.Record) { r.Incarnations = append(r.Incarnations, p.incarnation) })
	p.cmd = cmd
	for range startAttempts {
		if c, err := net.DialTimeout("tcp", p.adminAddress, startDialTimeout); err == nil {
			c.Close()
			return nil
		}
		time.Sleep(startInterval)
	}
	return fmt.Errorf("%s with settings %s does not accept connections on %s; its log: %s", p.program, p.settingsFile, p.adminAddress, p.readLog())
}

// readLog returns the process's log, or the error text if it cannot be read.
func (p *process) readLog() []byte {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return []byte(err.Error())
	}
	return bytes.TrimSpace(text)
}

// stop sends the process a signal and waits until it exits. A failure exit is an error of the scenario, except after
// SIGKILL.
func (p *process) stop(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.runner.record.Update(func(*invariants.Record) {
		if p.incarnation.Killed = sig == syscall.SIGKILL; !p.incarnation.Killed {
			p.incarnation.DrainingFrom = p.runner.clock()
		}
	})
	p.signal(sig)
	err := p.cmd.Wait()
	p.runner.record.Update(func(*invariants.Record) { p.incarnation.EndedAt = p.runner.clock() })
	if err != nil && sig != syscall.SIGKILL {
		p.runner.addError(fmt.Errorf("%s with settings %s failed while stopping: %w (log: %s)", p.program, p.settingsFile, err, p.logFile))
	}
	p.cmd = nil
}

// restartAfter kills the process and starts it again after the given time.
func (p *process) restartAfter(seconds float64) {
	p.stop(syscall.SIGKILL)
	p.runner.after(seconds, func() { p.runner.addError(p.start()) })
}

// pause suspends the process with SIGSTOP for the given time. It holds the lock meanwhile, so that no other start or
// stop interferes.
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
	p.runner.record.Update(func(*invariants.Record) {
		p.incarnation.Pauses = append(p.incarnation.Pauses, [2]float64{from, p.runner.clock()})
	})
}

// signal sends a signal. A process that has already exited is not an error here, because stop reports how it exited.
// The caller must hold the lock.
func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.runner.addError(fmt.Errorf("failed to send signal %s to %s with settings %s: %w", sig, p.program, p.settingsFile, err))
	}
}
