package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// configVariable is the environment variable that names the configuration file.
const configVariable = "LB_CONFIG"

// Main runs a router until SIGTERM or SIGINT. The environment variable LB_CONFIG names its configuration file, which is
// read again on SIGHUP.
func Main() error {
	file := os.Getenv(configVariable)
	if file == "" {
		return errors.New(configVariable + ": not set; it must name the configuration file")
	}
	// From here on, SIGHUP does not terminate the process. A SIGHUP that arrives before the router starts is handled as
	// soon as it starts.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := ReadConfig(file)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n := New(cfg, log)
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		return err
	}
	var reloading sync.WaitGroup
	stopped := make(chan struct{})
	reloading.Go(func() { n.reloadOn(reloads, file, stopped) })
	err = n.Run(ctx, listener)
	close(stopped)
	reloading.Wait()
	return err
}

// reloadOn reloads the configuration file on each signal until stopped is closed. If the file is invalid, the previous
// configuration stays in force.
func (n *Node) reloadOn(signals <-chan os.Signal, file string, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-signals:
		}
		cfg, err := ReadConfig(file)
		if err != nil {
			n.log.Error("failed to reload the configuration; the previous one stays in force", "error", err)
			continue
		}
		n.log.Info("configuration reloaded", "discovery", cfg.DiscoveryAddress, "platform", cfg.PlatformAddress)
		n.Reload(cfg)
	}
}
