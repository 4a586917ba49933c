// Package controller runs the control plane of one router group. A controller follows the endpoint list, the release
// service and, if configured, control services and query servers; combines their data with the routers' reports in a
// policy.Balancer; votes on the canary; and sends assignments to every router over gRPC (package controlrpc).
//
// Instants are float64 seconds since the Unix epoch on the controller's clock, and their names end in At; durations are
// float64 seconds. One mutex, called the controller's lock, serializes all calls to the policy; methods that need it say
// so. No disk or network I/O happens while it is held, except to save a configuration version that takes effect
// (configVersions.decide).
package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
	"flintspread/internal/router"
	"flintspread/internal/watch"
)

// adminHeaderTimeout is the time within which a client of the metrics address must send its request header.
const adminHeaderTimeout = 5 * time.Second

// Controller is a running control plane process, created by Run.
type Controller struct {
	settings   *config.Controller
	log        *slog.Logger
	store      *StateStore
	voteSender *releases.VoteSender
	server     *controlrpc.ControllerServer

	startTime    time.Time     // origin of Controller.now on the monotonic clock
	startedAt    float64       // startTime in seconds since the Unix epoch
	configHash   uint64        // of the settings that must match those of the routers
	saveRequests chan struct{} // capacity 1; a value makes saveEndpoints save the list

	mu                sync.Mutex // serializes calls to the policy; guards the non-atomic fields below
	balancer          *policy.Balancer
	leader            *lease.Leader
	endpointList      endpoints.List
	endpointGuard     endpoints.VersionGuard
	release           releases.Update // Version is 0 if none was received yet; AgeSeconds is as of releaseReceivedAt
	releaseReceivedAt float64
	lastNotified      notifiedVote // last vote that the routers were notified of
	configVersions    *configVersions
	metricsEvidence   *metricsEvidence        // nil without query servers
	routerStatuses    map[string]routerStatus // by router
	mismatchLogged    map[string]bool         // routers whose differing configuration hash was logged
	supersededLogged  bool                    // whether the existence of a newer controller was logged
	nextTickAt        float64                 // 0: no tick yet
	reportStride      atomic.Uint64           // the samples of one in reportStride reports are used; 0 means 1
	reportsSkipped    atomic.Uint64           // reports whose samples were skipped
	reportsAccepted   uint64
	assignmentsMade   uint64
}

// Run runs a controller until ctx ends, the gRPC server fails or following the control services fails; then it stops all
// components and waits for them. It returns nil if ctx ended, and otherwise the error that prevented the start or ended
// the run.
func Run(ctx context.Context, settings *config.Controller, log *slog.Logger) error {
	store, saved, err := openStateStore(settings.StateDir, log)
	if err != nil {
		return err
	}
	defer closeStore(log, "controller state", store)
	c := newController(settings, log, store)
	if err := c.resume(saved); err != nil {
		return err
	}
	defer closeStore(log, "configuration versions", c.configVersions.store)
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	c.openVoteSender(client)
	log.Info("controller started", "relay", settings.RouterGroup, "epoch", c.leader.Epoch(), "link", settings.Link.Address,
		"admin", listeners.admin.Addr().String())
	err = c.serve(ctx, client, listeners)
	log.Info("controller stopped", "relay", settings.RouterGroup)
	return err
}

// openStateStore opens the store in the state folder. If it had to rename an unreadable state file, that is logged.
func openStateStore(dir string, log *slog.Logger) (*StateStore, SavedState, error) {
	store, saved, renamed, err := OpenStateStore(dir)
	if err != nil {
		return nil, SavedState{}, err
	}
	if renamed != "" {
		log.Error("renamed an unreadable state file; starting with an empty state", "file", renamed)
	}
	return store, saved, nil
}

// closeStore closes a store at the end of a run. An error is only logged, because all acknowledged writes are synced.
func closeStore(log *slog.Logger, name string, store io.Closer) {
	if err := store.Close(); err != nil {
		log.Error("failed to close the store", "store", name, "error", err)
	}
}

// newController returns a controller that has neither restored its state nor started any component.
func newController(settings *config.Controller, log *slog.Logger, store *StateStore) *Controller {
	now := time.Now()
	c := &Controller{
		settings: settings, log: log, store: store,
		startTime: now, startedAt: float64(now.UnixNano()) / 1e9,
		configHash: router.ConfigHash(settings.Policy()), saveRequests: make(chan struct{}, 1),
		mismatchLogged: map[string]bool{}, routerStatuses: map[string]routerStatus{},
	}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.balancer = policy.New(settings.Policy(), seed, c.startedAt)
	c.server = &controlrpc.ControllerServer{Config: &settings.Link, Log: log, RouterGroup: settings.RouterGroup,
		AcceptReport: c.acceptReport, NextAssignment: c.nextAssignment}
	return c
}

// now returns seconds since the Unix epoch: the wall clock time at startup, advanced by the monotonic clock.
func (c *Controller) now() float64 { return c.startedAt + time.Since(c.startTime).Seconds() }

// resume starts a new epoch, restores the state that the previous process saved, and opens the configuration history.
func (c *Controller) resume(saved SavedState) error {
	epoch, err := c.store.BeginEpoch(saved.Epoch, c.now())
	if err != nil {
		return fmt.Errorf("state: failed to save the new epoch: %w", err)
	}
	if c.settings.Health != nil {
		if c.metricsEvidence, err = c.newMetricsEvidence(); err != nil {
			return err
		}
	}
	c.restore(epoch, saved)
	if c.configVersions, err = c.openConfigVersions(); err != nil {
		return err
	}
	c.restoreRelease(saved)
	return nil
}

// restore makes the controller the leader of the new epoch, and passes the saved endpoint list to the policy.
func (c *Controller) restore(epoch uint64, saved SavedState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	link := c.settings.Link
	c.leader = lease.NewLeader(epoch, link.LeaseSeconds, c.settings.Rules.CanaryWindowSeconds, link.SilenceSeconds, now)
	if saved.Endpoints != nil {
		c.endpointList = *saved.Endpoints
		c.endpointList.FullUpdate(now).ApplyTo(c.balancer, now)
		c.endpointsChanged()
		c.log.Info("endpoint list restored", "endpoints", c.endpointList.Len(), "version", c.endpointList.Version,
			"age_seconds", now-c.endpointList.ConfirmedAt)
	}
}

// restoreRelease passes the saved release and vote to the policy. They are of the configuration version that was in force,
// which must have been restored before. A saved release that is invalid, for example because the settings now have fewer
// stages, is ignored.
func (c *Controller) restoreRelease(saved SavedState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if release := saved.Release; release != nil && release.Check(c.stageCount()) == nil {
		c.applyRelease(*release, saved.ReleaseAt)
	}
	if vote := saved.Vote; vote != nil {
		c.balancer.RestoreVote(now, vote.Build, vote.Stage, vote.Verdict, max(0, now-vote.CastAt), vote.OutcomeKnown)
	}
}

// listeners holds the controller's open listeners.
type listeners struct {
	routers net.Listener // gRPC
	admin   net.Listener // HTTP, for metrics
}

// listen opens both listeners, or none.
func listen(settings *config.Controller) (l listeners, err error) {
	if l.routers, err = controlrpc.Listen(&settings.Link); err != nil {
		return l, fmt.Errorf(":link :address: %w", err)
	}
	if l.admin, err = net.Listen("tcp", settings.MetricsAddress); err != nil {
		l.routers.Close()
		return l, fmt.Errorf(":admin: %w", err)
	}
	return l, nil
}

// serve runs all components of the controller until ctx ends, the gRPC server fails or following the control services
// fails, and waits for the components to stop. A failure of the metrics server is only logged.
func (c *Controller) serve(ctx context.Context, client *http.Client, l listeners) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	failed := make(chan error, 2) // capacity for the errors of the gRPC server and of following the control services
	c.startFeeds(ctx, &running, client, failed)
	running.Go(func() { c.voteSender.Run(ctx) })
	running.Go(func() { c.saveEndpoints(ctx) })
	running.Go(func() { c.runTicks(ctx) })
	running.Go(func() { failed <- c.server.Serve(ctx, l.routers) })
	admin := &http.Server{Handler: c.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	running.Go(func() {
		if err := admin.Serve(l.admin); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error("metrics server failed", "error", err)
		}
	})
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	admin.Close()
	running.Wait()
	return err
}

// startFeeds starts following the endpoint list, the release service and, if configured, control services and query
// servers. If following the control services fails, it sends the error to failed.
func (c *Controller) startFeeds(ctx context.Context, running *sync.WaitGroup, client *http.Client, failed chan<- error) {
	sources := c.settings.Sources
	source := func(url string) watch.Source {
		return watch.Source{URL: url, SilenceSeconds: sources.SilenceSeconds, BackoffMinSeconds: sources.BackoffMinSeconds,
			BackoffMaxSeconds: sources.BackoffMaxSeconds, Log: c.log, Client: client}
	}
	if c.settings.Control == nil {
		running.Go(func() { watch.Follow(ctx, source(sources.EndpointListURL), c.applyEndpointUpdate, func() {}) })
	} else {
		running.Go(func() {
			if err := c.configVersions.follow(ctx); err != nil {
				failed <- err
			}
		})
	}
	running.Go(func() { watch.Follow(ctx, source(sources.ReleaseServiceURL+"/stage"), c.applyReleaseUpdate, func() {}) })
	if c.metricsEvidence != nil {
		running.Go(func() { c.metricsEvidence.run(ctx) })
	}
}
