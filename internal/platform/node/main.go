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

// Main runs a router, configured by the file that the environment variable LB_CONFIG names, until SIGTERM or an
// interrupt. On SIGHUP it reads the file again.
func Main() error {
	file := os.Getenv(configVariable)
	if file == "" {
		return errors.New(configVariable + ": not set; it names the configuration")
	}
	// From here on SIGHUP does not end the process. One that arrives early is handled once the router starts.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := ReadConfig(file)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n := New(settings, log)
	listener, err := net.Listen("tcp", settings.ListenAddress)
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

// reloadOn reloads the configuration file on each signal until stopped is closed. An invalid file changes nothing.
func (n *Node) reloadOn(signals <-chan os.Signal, file string, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-signals:
		}
		settings, err := ReadConfig(file)
		if err != nil {
			n.log.Error("configuration rejected; the last good one stays", "error", err)
			continue
		}
		n.log.Info("configuration reloaded", "discovery", settings.DiscoveryAddress, "platform", settings.PlatformAddress)
		n.Reload(settings)
	}
}
