// Package router assembles a router from its settings: the proxy that serves clients, the watches of the endpoint list
// and of release updates, the vote sender or the controller client, the configuration versions and the metrics. Run is
// the entry point. Times in float64 are seconds; instants are Unix time in seconds.
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
	"flintspread/internal/proxy"
	"flintspread/internal/releases"
	"flintspread/internal/watch"
)

// metricsHeaderTimeout bounds the time in which a client of the metrics address must send its request header.
const metricsHeaderTimeout = 5 * time.Second

// Router is a running router. Without a controller it watches the endpoint list and the release service and casts
// votes; with a controller it receives endpoints and release updates in assignments and casts no votes.
type Router struct {
	config     *config.Router
	log        *slog.Logger
	proxy      *proxy.Proxy
	httpClient *http.Client

	endpointList  endpoints.List
	endpointGuard endpoints.VersionGuard // for the list's stream; a controller orders its assignments itself
	endpointFile  string                 // where the endpoint list is saved

	voteSender       *releases.VoteSender     // nil with a controller
	controller       *controlrpc.RouterClient // nil without a controller
	controllerConfig *controllerConfig        // nil without a controller
	configVersions   *configVersions          // nil if the settings file is the only configuration

	lastSavedRelease   savedRelease  // used by the controller client's goroutine only
	healthMarkSequence atomic.Uint64 // sequence of the health marks in force, 0: none

	releaseMu      sync.Mutex
	releaseVersion uint64 // version of the newest release update applied

	watchCtx    context.Context // context of all watches; it outlives the listener
	stopWatches context.CancelFunc
	goroutines  sync.WaitGroup
	fatalErrors chan error // errors that end Run before its context ends
}

// Run serves until ctx ends, then drains the accepted requests and returns. It blocks until every goroutine that it
// started has ended. If it returns an error without having logged "serving", the router could not start; otherwise the
// error gives the reason why serving ended, or reports that requests were not answered.
func Run(ctx context.Context, settings *config.Router, log *slog.Logger) error {
	if err := os.MkdirAll(settings.StateDir, 0o755); err != nil {
		return err
	}
	listener, err := listen(settings)
	if err != nil {
		return fmt.Errorf(":listen: %w", err)
	}
	defer listener.Close()
	metricsListener, err := net.Listen("tcp", settings.MetricsAddress)
	if err != nil {
		return fmt.Errorf(":admin: %w", err)
	}
	defer metricsListener.Close()

	r := newRouter(settings, log)
	defer r.stopWatches()
	start := r.startStandalone
	if settings.Controller != nil {
		start = r.startWithController
	}
	if err := start(); err != nil {
		return err
	}
	if r.configVersions != nil {
		defer r.configVersions.close()
	}
	metricsServer := &http.Server{Handler: r.metricsHandler(r.observeAnswers()), ReadHeaderTimeout: metricsHeaderTimeout}
	r.goroutines.Go(func() { r.serveMetrics(metricsServer, metricsListener) })
	r.goroutines.Go(func() { r.fatalErrors <- r.proxy.Serve(listener) })
	log.Info("serving", "relay", settings.RouterGroup, "listen", listener.Addr().String(), "admin", metricsListener.Addr().String())

	select {
	case <-ctx.Done():
	case err = <-r.fatalErrors:
	}
	log.Info("shutting down gracefully", "relay", settings.RouterGroup)
	if unanswered := r.drain(listener); unanswered != nil {
		log.Error("failed to answer all requests before the end of the drain", "error", unanswered)
		err = errors.Join(err, unanswered)
	}
	r.stopWatches()
	metricsServer.Close()
	r.proxy.Close()
	r.goroutines.Wait()
	log.Info("stopped", "relay", settings.RouterGroup)
	return err
}

func newRouter(settings *config.Router, log *slog.Logger) *Router {
	watchCtx, stopWatches := context.WithCancel(context.Background())
	return &Router{
		config:       settings,
		log:          log,
		httpClient:   &http.Client{Transport: &http.Transport{DisableCompression: true}},
		endpointFile: filepath.Join(settings.StateDir, "units.json"),
		watchCtx:     watchCtx,
		stopWatches:  stopWatches,
		fatalErrors:  make(chan error, 2), // one slot each for the proxy and for one watch
	}
}

// startStandalone creates the proxy and starts the watches of a router without a controller.
func (r *Router) startStandalone() error {
	settings := r.config
	r.voteSender = &releases.VoteSender{
		RouterGroup:    settings.RouterGroup,
		URL:            settings.Sources.ReleaseServiceURL,
		TimeoutSeconds: settings.Release.VoteTimeoutSeconds,
		Client:         r.httpClient,
		Log:            r.log,
		OnSend:         func(releases.Vote) {},
		OnReply:        r.onVoteReply,
	}
	r.voteSender.Open()
	r.proxy = proxy.NewHTTP(settings, r.seed(), r.log, r.voteSender.Cast)
	r.loadEndpoints()
	if settings.Control == nil {
		r.goroutines.Go(func() {
			watch.Follow(r.watchCtx, r.watchSource(settings.Sources.EndpointListURL), r.onEndpointMessage, func() {})
		})
	} else {
		if err := r.openConfigVersions(); err != nil {
			return err
		}
		r.goroutines.Go(func() {
			if err := r.configVersions.follow(r.watchCtx); err != nil {
				r.fatalErrors <- err
			}
		})
	}
	r.goroutines.Go(func() {
		watch.Follow(r.watchCtx, r.watchSource(settings.Sources.ReleaseServiceURL+"/stage"), r.onReleaseMessage, func() {})
	})
	r.goroutines.Go(func() { r.voteSender.Run(r.watchCtx) })
	return nil
}

// startWithController creates the proxy and starts the controller client of a router with a controller.
func (r *Router) startWithController() error {
	settings := r.config
	r.proxy = proxy.NewHTTP(settings, r.seed(), r.log, nil)
	r.loadEndpoints()
	if err := r.openConfigVersions(); err != nil {
		return err
	}
	r.restoreRelease() // its stage is one of the version that has just been restored
	r.controllerConfig = &controllerConfig{versions: r.configVersions}
	r.controller = &controlrpc.RouterClient{
		Config:          settings.Controller,
		Log:             r.log,
		Now:             r.proxy.Now,
		RouterGroup:     settings.RouterGroup,
		Router:          settings.Name,
		Incarnation:     uint64(time.Now().UnixNano()),
		ConfigHash:      ConfigHash(settings.Policy()),
		FillReport:      r.fillReport,
		ApplyAssignment: r.applyAssignment,
	}
	r.goroutines.Go(func() {
		if err := r.controller.Run(r.watchCtx, r.endpointList.Version, r.endpointList.ConfirmedAt); err != nil {
			r.fatalErrors <- err
		}
	})
	return nil
}

// seed returns the seed from the settings, or a random one if they have none.
func (r *Router) seed() uint64 {
	if r.config.Seed == 0 {
		return rand.Uint64()
	}
	return r.config.Seed
}

// drain closes the listener and waits for the requests in flight, at most for the proxy's drain timeout. The watches keep
// running meanwhile: endpoint and release updates apply as long as requests are in flight.
func (r *Router) drain(listener net.Listener) error {
	proxy.CloseListener(listener)
	ctx, cancel := context.WithTimeout(context.Background(), seconds(r.proxy.DrainTimeoutSeconds()))
	defer cancel()
	return r.proxy.Drain(ctx)
}

func (r *Router) serveMetrics(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		r.log.Error("metrics server failed", "error", err)
	}
}

// listen opens the address for clients. With :share-port the kernel distributes connections among the routers of this
// host that listen on the same address.
func listen(settings *config.Router) (net.Listener, error) {
	var listenConfig net.ListenConfig
	if settings.ReusePort {
		listenConfig.Control = reusePort
	}
	return listenConfig.Listen(context.Background(), "tcp", settings.ListenAddress)
}

// reusePort is a net.ListenConfig.Control that lets several sockets listen on one address.
func reusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// watchSource returns the source of a stream at url, with the limits from the settings.
func (r *Router) watchSource(url string) watch.Source {
	sources := r.config.Sources
	return watch.Source{
		URL:               url,
		SilenceSeconds:    sources.SilenceSeconds,
		BackoffMinSeconds: sources.BackoffMinSeconds,
		BackoffMaxSeconds: sources.BackoffMaxSeconds,
		Log:               r.log,
		Client:            r.httpClient,
	}
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// wallClock returns the Unix time in seconds.
func wallClock() float64 { return float64(time.Now().UnixNano()) / 1e9 }
