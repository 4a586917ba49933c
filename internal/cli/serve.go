package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"flintspread/internal/config"
)

// Program describes a program for Serve. T is the type of its settings.
type Program[T any] struct {
	Read func(file string) (*T, error)                                  // reads and checks the settings file
	Log  func(*T) config.Log                                            // returns the log settings
	Run  func(ctx context.Context, settings *T, log *slog.Logger) error // serves until ctx ends
}

// Serve runs a program with its settings file until SIGTERM or SIGINT. SIGHUP reloads the file.
func Serve[T any](program Program[T], file string) error {
	settings, err := program.Read(file)
	if err != nil {
		return err
	}
	log, level := newLogger(program.Log(settings))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	stopReloads := onHangup(func() { program.reload(file, log, level) })
	defer stopReloads()
	return program.Run(ctx, settings, log)
}

// reload reads the settings file again. Only the log level takes effect while the program runs. The other settings are
// checked, so that an error is logged before the next start fails because of it.
func (p Program[T]) reload(file string, log *slog.Logger, level *slog.LevelVar) {
	settings, err := p.Read(file)
	if err != nil {
		log.Error("failed to reload the settings file; the previous settings stay in force", "error", err)
		return
	}
	setLevel(level, p.Log(settings))
	log.Info("settings file reloaded; the log level is applied, other changes need a restart")
}

// newLogger returns a logger with the given settings, and its level, which may be changed while the logger is in use.
func newLogger(settings config.Log) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	setLevel(level, settings)
	options := &slog.HandlerOptions{Level: level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), level
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options)), level
}

func setLevel(level *slog.LevelVar, settings config.Log) {
	if err := level.UnmarshalText([]byte(settings.Level)); err != nil {
		level.Set(slog.LevelInfo) // unreachable: the level was validated with the settings
	}
}

// onHangup calls reload on each SIGHUP until stop is called, which waits for a running reload. After stop, SIGHUP is
// ignored and does not terminate the process.
func onHangup(reload func()) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var running sync.WaitGroup
	stopped := make(chan struct{})
	running.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-hangups:
				reload()
			}
		}
	})
	return func() {
		close(stopped)
		running.Wait()
	}
}
