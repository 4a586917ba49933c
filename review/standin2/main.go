package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// env is what a case gets: the repository's root, a temporary folder, the record, and whether the disruption happens.
type env struct {
	root, dir string
	rec       *record
	trouble   bool
}

// verdict is what a case found: the ways in which the rule was broken; none if it held.
type verdict []string

var cases = map[string]func(*env) verdict{}

func main() {
	if len(os.Args) == 8 && os.Args[1] == "bad" {
		badMain(os.Args[2:])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	tempDir = dir
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { <-signals; stopChildren(); os.RemoveAll(dir); os.Exit(2) }()
	e := &env{root: os.Args[2], dir: dir, rec: newRecord(os.Args[3]), trouble: os.Getenv("TROUBLE") != "0"}
	broken := run(e)
	stopChildren()
	os.RemoveAll(dir)
	for _, text := range broken {
		e.rec.say("BROKEN: %s", text)
	}
	if len(broken) == 0 {
		e.rec.say("the rule held")
	}
	e.rec.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
}
