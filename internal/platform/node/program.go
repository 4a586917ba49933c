package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
)

// Main runs the relay that the platform's environment describes, until SIGTERM.
func Main() error {
	file := os.Getenv("LB_CONFIG")
	if file == "" {
		return fmt.Errorf("LB_CONFIG: not set; it names the configuration")
	}
	// From here on a reload is kept until it can be served, and never the end.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	told, err := ReadConfig(file)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n := New(told, log)
	l, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			t, err := ReadConfig(file)
			if err != nil {
				log.Error("configuration not taken; the last good one stays", "error", err)
				continue
			}
			log.Info("configuration read", "discovery", t.Discovery, "platform", t.Platform)
			n.Reload(t)
		}
	}()
	return n.Run(ctx, l)
}
