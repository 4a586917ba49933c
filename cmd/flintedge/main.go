// Command flintedge forwards commands between clients and units, and moves traffic between builds.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"flintspread/edge"
	"flintspread/settings"
)

const (
	exitFailed   = 1
	exitSettings = 2 // the settings file is at fault; nothing was started
)

func main() {
	root := &cobra.Command{Use: "flintedge", Short: "Forwards commands to units while their builds change",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		&cobra.Command{Use: "run FILE", Short: "Serve by a settings file; SIGTERM drains and stops", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return run(args[0]) }},
		&cobra.Command{Use: "check FILE", Short: "Check a settings file and say what is wrong with it", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				set, err := settings.ReadEdge(args[0])
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: relay %q, %d op types, %d routes, %d stages\n",
						args[0], set.Relay, len(set.OpTypes), len(set.Routes), len(set.Release.Stages))
				}
				return err
			}},
		&cobra.Command{Use: "version", Short: "Print the build", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "flintedge", version()) }},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "flintedge:", err)
		var fault *settings.Fault
		if errors.As(err, &fault) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

func run(file string) error {
	set, err := settings.ReadEdge(file)
	if err != nil {
		return err
	}
	log, level := logger(set.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			again(file, set, log, level)
		}
	}()
	return edge.Run(ctx, set, log)
}

// again reads the settings anew. Only the log's level changes while commands are in hand; the rest is checked, so that
// the next start will not fail on it.
func again(file string, now *settings.Edge, log *slog.Logger, level *slog.LevelVar) {
	set, err := settings.ReadEdge(file)
	if err != nil {
		log.Error("settings not taken; the last good ones stay", "error", err)
		return
	}
	level.UnmarshalText([]byte(set.Log.Level))
	log.Info("settings read: the log's level is taken, the rest at the next start", "relay", now.Relay)
}

func logger(l settings.Log) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	level.UnmarshalText([]byte(l.Level)) // checked by settings
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts)), level
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts)), level
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
