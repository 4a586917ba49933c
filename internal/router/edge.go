// Package edge puts one edge together: the relay, its list and its news of releases, its votes, its numbers.
package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
	"flintspread/internal/proxy"
	"flintspread/internal/releases"
	"flintspread/internal/watch"
)

// Router is a running edge. Without a planner it asks list and installer itself and votes; with one it does neither.
type Router struct {
	set   *config.Router
	log   *slog.Logger
	relay *proxy.Proxy
	list  endpoints.List
	file  string
	http  *http.Client
	box   *releases.VoteSender
	end   *controlrpc.RouterClient // nil where the edge judges for itself

	led  *led       // nil where the edge judges for itself
	kept remembered // by the link's goroutine

	marksNo atomic.Uint64 // of the marks that came last

	newsMu sync.Mutex
	newest uint64 // version of the newest that was taken
}

// Run serves until ctx ends, then answers what is in hand and returns. An error before anything was served is a reason
// not to start.
func Run(ctx context.Context, set *config.Router, log *slog.Logger) error {
	if err := os.MkdirAll(set.StateDir, 0o755); err != nil {
		return err
	}
	listener, err := listen(set)
	if err != nil {
		return fmt.Errorf(":listen: %w", err)
	}
	defer listener.Close()
	admin, err := net.Listen("tcp", set.Admin)
	if err != nil {
		return fmt.Errorf(":admin: %w", err)
	}
	defer admin.Close()
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	e := &Router{set: set, log: log, file: filepath.Join(set.StateDir, "units.json"),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	feeds, stopFeeds := context.WithCancel(context.Background())
	var running sync.WaitGroup
	failed := make(chan error, 2)
	if set.Controller == nil {
		e.box = &releases.VoteSender{Relay: set.Relay, URL: set.Sources.Installer, Timeout: set.Release.VoteTimeout, Client: e.http, Log: log,
			OnSend: func(releases.Vote) {}, OnReply: e.voted}
		e.box.Open()
		e.relay = proxy.NewHTTP(set, seed, log, e.box.Cast)
		e.fromDisk()
		if set.Control == nil {
			running.Go(func() { watch.Follow(feeds, e.source(set.Sources.List), e.takeList, func() {}) })
		} else {
			vs, err := e.openVersions()
			if err != nil {
				stopFeeds()
				return err
			}
			defer vs.store.Close()
			running.Go(func() {
				if err := vs.follow(feeds); err != nil {
					failed <- err
				}
			})
		}
		running.Go(func() {
			watch.Follow(feeds, e.source(set.Sources.Installer+"/stage"), e.takeNews, func() {})
		})
		running.Go(func() { e.box.Run(feeds) })
	} else {
		e.relay = proxy.NewHTTP(set, seed, log, nil)
		e.fromDisk()
		e.recall()
		vs, err := e.openVersions()
		if err != nil {
			stopFeeds()
			return err
		}
		defer vs.store.Close()
		e.led = &led{vs: vs}
		e.end = &controlrpc.RouterClient{Config: set.Controller, Log: log, Now: e.relay.Now, Relay: set.Relay, Router: set.Name,
			Incarnation: uint64(time.Now().UnixNano()), ConfigHash: ConfigHash(set.Policy()), FillReport: e.count, ApplyAssignment: e.takeView}
		running.Go(func() {
			if err := e.end.Run(feeds, e.list.At); err != nil {
				failed <- err
			}
		})
	}
	ops := &http.Server{Handler: e.admin(e.timed()), ReadHeaderTimeout: 5 * time.Second}
	running.Go(func() { ops.Serve(admin) })
	running.Go(func() { failed <- e.relay.Serve(listener) })
	log.Info("serving", "relay", set.Relay, "listen", listener.Addr().String(), "admin", admin.Addr().String())

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	log.Info("draining", "relay", set.Relay)
	proxy.CloseListener(listener)
	// The list goes on while there is something in hand: drains still bind.
	until, cancel := context.WithTimeout(context.Background(), time.Duration(set.Clients.DrainTime*float64(time.Second)))
	defer cancel()
	if late := e.relay.Drain(until); late != nil {
		log.Error("drain", "error", late)
		err = errors.Join(err, late)
	}
	stopFeeds()
	ops.Close()
	e.relay.Close()
	running.Wait()
	log.Info("stopped", "relay", set.Relay)
	return err
}

// listen opens the clients' address. A shared one is spread over the edges there by the kernel, connection by connection.
func listen(set *config.Router) (net.Listener, error) {
	var lc net.ListenConfig
	if set.Shared {
		lc.Control = func(_, _ string, c syscall.RawConn) (err error) {
			if outer := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); outer != nil {
				return outer
			}
			return err
		}
	}
	return lc.Listen(context.Background(), "tcp", set.Listen)
}

func (e *Router) source(url string) watch.Source {
	s := e.set.Sources
	return watch.Source{URL: url, SilenceSeconds: s.Silence, BackoffMinSeconds: s.BackLeast, BackoffMaxSeconds: s.BackMost, Log: e.log, Client: e.http}
}

// fromDisk starts on the last list there was.
func (e *Router) fromDisk() {
	list, err := endpoints.Load(e.file)
	if err != nil {
		e.log.Error("last list", "error", err)
	}
	e.list = *list
	if list.Len() > 0 {
		line := list.FullUpdate(wall())
		e.log.Info("last list", "units", list.Len(), "version", list.Version, "age", fmt.Sprintf("%.1fs", line.Age))
		e.relay.ApplyEndpoints(line)
	}
}

func wall() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// takeList is called by the list's stream alone.
func (e *Router) takeList(line *endpoints.Update) error {
	if err := line.Check(); err != nil {
		return err
	}
	changes, err := e.list.Apply(line, wall())
	if err != nil {
		return err
	}
	e.relay.ApplyEndpoints(changes)
	if len(changes.Endpoints) > 0 {
		if err := e.list.Save(e.file); err != nil { // it serves on without
			e.log.Error("list not saved", "error", err)
		}
	}
	return nil
}

func (e *Router) takeNews(line *releases.Update) error {
	if line.Heartbeat {
		return nil
	}
	return e.news(line)
}

// voted enters what became of a vote. Its reply may bring news.
func (e *Router) voted(_ releases.Vote, reply policy.VoteReply, line *releases.Update) {
	if line != nil {
		if err := e.news(line); err != nil {
			e.log.Warn("reply to a vote", "error", err)
		}
	}
	e.relay.OnVoteReply(reply)
}

// news takes what came as a line or as a reply to a vote. What one overtook on the way is old.
func (e *Router) news(line *releases.Update) error {
	if err := line.Check(len(e.set.Release.Stages)); err != nil {
		return err
	}
	e.newsMu.Lock()
	defer e.newsMu.Unlock()
	if line.Version < e.newest {
		e.log.Info("old news of a release dropped", "version", line.Version, "newest", e.newest)
		return nil
	}
	e.newest = line.Version
	e.relay.ApplyRelease(line.Build, line.Stage, line.PolicyPhase(), line.Cap, line.Age)
	return nil
}
