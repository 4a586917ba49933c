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

// Program is what Serve runs by a settings file of type T.
type Program[T any] struct {
	Read func(file string) (*T, error)                                  // reads and checks the file
	Log  func(*T) config.Log                                            // the part on the log
	Run  func(ctx context.Context, settings *T, log *slog.Logger) error // serves until ctx ends
}

// Serve runs a program by its settings file until SIGTERM or an interrupt. SIGHUP has the file read again.
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

// reload reads the settings file again. Only the log's level changes while the program runs; the rest is checked, so that the next start
// does not fail on it.
func (p Program[T]) reload(file string, log *slog.Logger, level *slog.LevelVar) {
	settings, err := p.Read(file)
	if err != nil {
		log.Error("settings rejected; the last good ones stay", "error", err)
		return
	}
	setLevel(level, p.Log(settings))
	log.Info("settings reloaded: the log's level counts now, the rest at the next start")
}

// newLogger makes the log that settings ask for. Its level may be changed while it is used.
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
		level.Set(slog.LevelInfo) // not reached: reading the settings checks the level
	}
}

// onHangup calls reload on each SIGHUP until the function that it returns is called, which waits for a call that runs. The signal does not
// end the process after that either.
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
