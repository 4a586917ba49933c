// Package program holds what the programs have in common: exit codes, logging, version, signals.
package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"flintspread/internal/config"
)

// Exit codes.
const (
	ExitFailed    = 1
	ExitBadConfig = 2 // the settings file is at fault; nothing was started
)

// Main runs a root command and ends the process.
func Main(root *cobra.Command) {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.AddCommand(&cobra.Command{Use: "version", Short: "Print the build", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), root.Name(), Version()) }})
	err := root.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
	if config.IsFieldError(err) {
		os.Exit(ExitBadConfig)
	}
	os.Exit(ExitFailed)
}

// Logger gives the log that settings ask for, and its level to change.
func Logger(l config.Log) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	level.UnmarshalText([]byte(l.Level)) // checked by settings
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts)), level
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts)), level
}

// SignalContext gives a context that ends on SIGTERM or an interrupt, and calls reload on each SIGHUP.
func SignalContext(reload func()) (context.Context, func()) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			reload()
		}
	}()
	return ctx, stop
}

// Version names the build.
func Version() string {
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

// Reload reads a settings file anew. Only the log's level changes while the program runs; the rest is checked, so that the
// next start will not fail on it.
func Reload(log *slog.Logger, level *slog.LevelVar, read func() (config.Log, error)) {
	l, err := read()
	if err != nil {
		log.Error("settings not taken; the last good ones stay", "error", err)
		return
	}
	level.UnmarshalText([]byte(l.Level))
	log.Info("settings read: the log's level is taken, the rest at the next start")
}
