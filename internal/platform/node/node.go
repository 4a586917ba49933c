// Package node runs a router on the platform: it connects the proxy to the platform's control service and discovery
// service, as described by one configuration file, and handles the signals that the platform sends. Main is the
// program's entry point; Node.Run returns once all its goroutines have ended. A float64 duration is in seconds; a
// float64 instant is in seconds on the proxy's clock.
package node

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/loadshed"
	"flintspread/internal/platform/control"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/policy"
	"flintspread/internal/proxy"
	"flintspread/internal/releases"
)

// Values that the platform's specification prescribes and the configuration file does not contain.
const (
	clientReadSeconds     = 2.3    // timeout for the first byte from a client, and again for the rest of a request
	clientIdleSeconds     = 2.2    // idle timeout of a client connection; the platform permits closing it after 2 s
	forgetEndpointSeconds = 60.0   // time to remember an endpoint after it left the list
	maxOneWayKeys         = 50_000 // maximum number of one-way keys to remember

	// rememberHostSeconds is the time to remember a host's endpoint ID after the host left the list. A host that returns
	// within this time keeps its ID.
	rememberHostSeconds = 2 * forgetEndpointSeconds
)

// Node is one router on the platform.
type Node struct {
	config     *Config
	log        *slog.Logger
	proxy      *proxy.Proxy
	platform   *control.Client
	httpClient *http.Client // for discovery

	mu                      sync.Mutex // guards the fields up to stopping, and serializes changes of the endpoint list
	registry                discovery.Registry
	endpointList            endpoints.List
	versionGuard            endpoints.VersionGuard
	discoveryAddress        string
	currentFollower         int  // number of the follower whose full lists are used; older ones may still deliver changes
	newestConnectedFollower int  // number of the newest follower that has received data
	stopping                bool // no new followers may be started

	shutdownPlan   loadshed.ShutdownPlan
	readinessDelay time.Duration // after which the router is ready even without a message from discovery
	maxListBytes   int64         // maximum size of a discovery message

	watches     context.Context // context of the watches and the stats log; cancelled after the listener is closed
	stopWatches context.CancelFunc
	running     sync.WaitGroup // all goroutines that Run and Reload started
}

// New creates a router from its configuration, whose release and endpoint list are the initial state. It also sets
// GOMAXPROCS and the memory limit of the process. It starts the proxy's timer, which Run stops.
func New(cfg *Config, log *slog.Logger) *Node {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.CPULimitCores))))
	limits := loadshed.SplitLimits(cfg.MaxFileDescriptors, cfg.MemoryLimitBytes)
	debug.SetMemoryLimit(limits.HeapBytes)
	policyConfig := routerPolicy(cfg.Policy)
	n := &Node{
		config:           cfg,
		log:              log,
		discoveryAddress: cfg.DiscoveryAddress,
		maxListBytes:     limits.ListBytes,
		registry:         discovery.Registry{KeepSeconds: rememberHostSeconds},
		httpClient:       &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
		shutdownPlan:     loadshed.PlanShutdown(policyConfig.LongestTimeoutSeconds()),
	}
	n.watches, n.stopWatches = context.WithCancel(context.Background())
	n.platform = &control.Client{
		StageCount:    len(policyConfig.StageShares),
		VoteTimeout:   toDuration(policyConfig.VoteTimeoutSeconds),
		Log:           log,
		OnRelease:     n.applyRelease,
		OnWrongAnswer: n.reportWrongAnswer,
		OnVoteReply:   func(_ releases.Vote, reply policy.VoteReply) { n.proxy.OnVoteReply(reply) },
	}
	n.platform.Init(cfg.PlatformAddress)
	n.proxy = proxy.NewRESP(proxySettings(cfg, policyConfig, limits), cfg.Seed, log, n.castVote)
	if cfg.Release != nil {
		n.applyRelease(cfg.Release)
	}
	if cfg.KnownEndpoints != nil {
		if err := n.applyDiscovery(cfg.KnownEndpoints); err != nil {
			// Not fatal: the discovery service will send a new list.
			log.Error("failed to apply the endpoint list of the configuration file", "error", err)
		}
	}
	n.readinessDelay = toDuration(loadshed.ReadinessDelaySeconds(n.endpointCount() > 0))
	return n
}

// routerPolicy returns the policy settings with the values that the platform leaves to the router.
func routerPolicy(cfg policy.Config) policy.Config {
	cfg.ForgetEndpointSeconds = forgetEndpointSeconds
	cfg.MaxRememberedKeys = maxOneWayKeys
	cfg.RequestsPerConn = 1 // even if endpoints allow more: the proxy has only one attempt in flight per connection
	return cfg
}

func proxySettings(cfg *Config, policyConfig policy.Config, limits loadshed.ResourceLimits) *config.Router {
	clients := config.Clients{
		MaxConns:              limits.ClientConns,
		IdleEvictionThreshold: limits.IdleEvictionThreshold,
		ReadTimeoutSeconds:    clientReadSeconds,
		IdleTimeoutSeconds:    clientIdleSeconds,
	}
	upstreams := config.Endpoints{
		MaxConnsPerEndpoint: limits.EndpointConns,
		MaxConns:            limits.EndpointConns,
		DialTimeoutSeconds:  cfg.DialTimeoutSeconds,
		IdleTimeoutSeconds:  loadshed.EndpointIdleSeconds(policyConfig.ConnIdleSeconds),
	}
	overload := config.Overload{
		MemoryBytes:       limits.ConnBytes + limits.MessageBytes,
		ConnMemoryBytes:   limits.ConnBytes,
		SocketBufferBytes: limits.SocketBufferBytes,
	}
	return config.ForPlatform(cfg.Name, policyConfig, cfg.ClassNames, clients, upstreams, overload)
}

// Run serves until ctx ends or accepting connections fails, then shuts down gracefully and closes the listener. It
// blocks until every goroutine that it started has ended, and returns the error of accepting connections, if any. It
// must be called only once.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	defer n.stopWatches()
	n.running.Go(func() { n.platform.Run(n.watches) })
	n.followDiscovery()
	serveEnded := make(chan error, 1)
	n.running.Go(func() { serveEnded <- n.proxy.Serve(listener) })
	n.running.Go(func() { n.logStats(n.watches) })
	ready := time.AfterFunc(n.readinessDelay, n.proxy.SetReady)
	defer ready.Stop()
	n.log.Info("serving", "relay", n.config.Name, "listen", listener.Addr().String())
	var err error
	select {
	case <-ctx.Done():
		n.log.Info("shutting down gracefully", "relay", n.config.Name)
		n.stopAccepting(listener)
	case err = <-serveEnded:
	}
	n.drain(listener)
	n.stop()
	n.log.Info("stopped", "relay", n.config.Name)
	return err
}

// stopAccepting executes the shutdown plan until no more requests are accepted, and blocks until then. Clients may not
// know of the shutdown yet, or have no other router, so requests are accepted as long as there is time to answer them.
// ServeUntil is before AcceptUntil only if the longest request timeout is below 0.6 s; otherwise the second sleep has
// no positive duration and returns immediately.
func (n *Node) stopAccepting(listener net.Listener) {
	plan := n.shutdownPlan
	n.proxy.SetAnswerDeadline(n.proxy.Now() + plan.AnswerBy)
	closeTimer := time.AfterFunc(toDuration(plan.AcceptUntil), func() { proxy.CloseListener(listener) })
	time.Sleep(toDuration(plan.ServeUntil))
	n.proxy.StopServing()
	time.Sleep(toDuration(plan.AcceptUntil - plan.ServeUntil))
	closeTimer.Stop()
}

// drain closes the listener and waits for the requests in flight, at most until the end of the shutdown plan.
func (n *Node) drain(listener net.Listener) {
	plan := n.shutdownPlan
	proxy.CloseListener(listener)
	ctx, cancel := context.WithTimeout(context.Background(), toDuration(plan.GiveUpAt-max(plan.ServeUntil, plan.AcceptUntil)))
	defer cancel()
	if err := n.proxy.Drain(ctx); err != nil {
		n.log.Error("failed to answer all requests before the end of the drain", "error", err)
	}
}

// stop stops the watches and the proxy, and waits for all goroutines. Reload starts no follower after that.
func (n *Node) stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.stopWatches()
	n.proxy.Close()
	n.running.Wait()
}

// Reload applies the addresses of a new configuration without blocking. Other changes are logged and take effect at the
// next start. An old address stays in use until data arrives from the new one; for discovery, at most for
// handoverTimeout.
func (n *Node) Reload(cfg *Config) {
	if n.config.needsRestart(cfg) {
		n.log.Warn("configuration changes need a restart to take effect; applied only the addresses")
	}
	n.platform.SetAddress(cfg.PlatformAddress)
	n.mu.Lock()
	same := n.discoveryAddress == cfg.DiscoveryAddress
	n.discoveryAddress = cfg.DiscoveryAddress
	n.mu.Unlock()
	if !same {
		n.followDiscovery()
	}
}

// toDuration converts a number of seconds to a time.Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
