//go:build review3

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

func init() { allCases["cut-state"] = cutState }

// cutState is the case of a controller whose state file is cut while it is down. It tries each number of whole pages, with
// one start for each.
func cutState(p *play) {
	list := newListService(p)
	var units []unit
	for id := 1; id <= 2000; id++ {
		units = append(units, unit{ID: id, Addr: loopback + ":1", State: "ready", Build: 1})
	}
	list.put(units)
	sleep(0.01)
	installer := &voteInstaller{p: p, votes: make(chan string, 1000)}
	installer.set(`{"version":1,"build":1,"stage":2,"phase":"released","cap":1.0,"age":1000}`)
	dir := filepath.Join(p.temp, "plan")
	plan := p.file("plan.edn", fmt.Sprintf(`{:relay "r1" :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:list "http://%s/list" :installer "http://%s" :silence 5.0 :back-least 0.1 :back-most 5.0}
 :link {:address "unix:%s" :beat 0.1 :silence 1.0 :lease 1.0}
`, p.freeAddress(), dir, p.serve(list), p.serve(installer), p.temp+"/link.sock")+controllerPart(groupRules))
	command := "bin/flintspread-controller run " + plan
	controller := p.start("controller", command)
	state := filepath.Join(dir, "planner.db")
	sleep(3)
	if !controller.alive() {
		p.fail("the controller ended")
	}
	p.kill(controller)
	intact, err := os.ReadFile(state)
	if err != nil || len(intact) < 1<<16 {
		p.fail("a state file of %d bytes: %v", len(intact), err)
	}
	// reads reports whether a started controller got past its state file.
	reads := func() bool {
		text, err := os.ReadFile(filepath.Join(p.temp, "controller.log"))
		return err == nil && strings.Count(string(text), "controller started") > 0
	}
	crashes := 0
	const page = 4096
	starts := len(intact)/page - 1
	for pages := 1; pages <= starts; pages++ {
		text := intact
		if p.trouble {
			text = intact[:pages*page]
		}
		if err := errors.Join(os.WriteFile(state, text, 0o600), os.Truncate(filepath.Join(p.temp, "controller.log"), 0)); err != nil {
			p.fail("cannot cut the state file: %v", err)
		}
		controller := p.start("controller", command)
		until(5, func() bool { return reads() || !controller.alive() })
		log, err := os.ReadFile(filepath.Join(p.temp, "controller.log"))
		if err != nil {
			p.fail("no log: %v", err)
		}
		first, _, _ := strings.Cut(string(log), "\n")
		p.say("%d of %d bytes: %s", len(text), len(intact), first)
		if strings.Contains(string(log), "fatal error: fault") {
			crashes++
			continue
		}
		if !reads() {
			p.fail("the controller neither started nor crashed with a state file of %d bytes: %s", len(text), first)
		}
		p.kill(controller)
	}
	if crashes > 0 {
		p.end(exitBroken, "the controller crashed in %d of %d starts on a state file that is cut", crashes, starts)
	}
	p.end(exitKept, "%d starts, no crash", starts)
}
