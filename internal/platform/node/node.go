// Package node runs a router on the platform: it connects the proxy with the platform's control service and discovery
// service, as one configuration file describes, and handles the platform's signals. Main is the program's entry point;
// Node.Run waits for all goroutines. Times in float64 are seconds; instants are on the proxy's clock.
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

// Values that the platform's description prescribes and the configuration file does not contain.
const (
	clientReadSeconds     = 2.3                       // for a client's first byte, then for the rest of a request
	clientIdleSeconds     = 2.2                       // of a client connection; the platform allows closing after 2 s
	forgetEndpointSeconds = 60.0                      // time to remember an endpoint after it left the list
	maxRememberedKeys     = 50_000                    // bound on one-way keys
	keepHostSeconds       = 2 * forgetEndpointSeconds // a host that returns meanwhile keeps its endpoint id
)

// Node is one router on the platform.
type Node struct {
	settings   *Config
	log        *slog.Logger
	proxy      *proxy.Proxy
	platform   *control.Client
	httpClient *http.Client // for discovery

	mu               sync.Mutex // guards the fields up to stopping, and serializes changes of the endpoint list
	registry         discovery.Registry
	endpointList     endpoints.List
	versionGuard     discovery.VersionGuard
	discoveryAddress string
	currentFollower  int  // the follower whose full lists count; earlier ones may still deliver changes
	newestConnected  int  // the newest follower that received something
	stopping         bool // no more followers are started

	shutdownPlan   loadshed.ShutdownPlan
	readinessDelay time.Duration // after which the router is ready even if discovery sent nothing
	maxListBytes   int64         // limit of one discovery message

	watches     context.Context // context of all watches; it outlives the listener
	stopWatches context.CancelFunc
	running     sync.WaitGroup
}

// New creates a router from its configuration, with the release and the endpoint list in it as initial state. It also
// sets the process-wide GOMAXPROCS and memory limit. The proxy's timer runs from here on; Run ends it.
func New(settings *Config, log *slog.Logger) *Node {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(settings.Cores))))
	limits := loadshed.SplitLimits(settings.Sockets, settings.MemoryBytes)
	debug.SetMemoryLimit(limits.HeapBytes)
	policyConfig := routerPolicy(settings.Policy)
	n := &Node{
		settings:         settings,
		log:              log,
		discoveryAddress: settings.DiscoveryAddress,
		maxListBytes:     limits.BufferBytes / 2,
		registry:         discovery.Registry{KeepSeconds: keepHostSeconds},
		httpClient:       &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
		shutdownPlan:     loadshed.PlanShutdown(policyConfig.LongestTimeoutSeconds()),
	}
	n.watches, n.stopWatches = context.WithCancel(context.Background())
	n.platform = &control.Client{
		Stages:        len(policyConfig.StageShares),
		VoteTimeout:   seconds(policyConfig.VoteTimeoutSeconds),
		Log:           log,
		OnRelease:     n.applyRelease,
		OnWrongAnswer: n.reportWrongAnswer,
		OnVoteReply:   func(_ releases.Vote, reply policy.VoteReply) { n.proxy.OnVoteReply(reply) },
	}
	n.platform.Open(settings.PlatformAddress)
	n.proxy = proxy.NewRESP(proxySettings(settings, policyConfig, limits), settings.Seed, log, n.castVote)
	if settings.Release != nil {
		n.applyRelease(settings.Release)
	}
	if settings.KnownEndpoints != nil {
		if err := n.applyDiscovery(settings.KnownEndpoints); err != nil {
			log.Error("endpoint list of the configuration rejected", "error", err) // discovery will send a new one
		}
	}
	n.readinessDelay = seconds(loadshed.ReadinessDelaySeconds(n.endpointCount() > 0))
	return n
}

// routerPolicy adds the settings that the platform leaves to the router.
func routerPolicy(settings policy.Config) policy.Config {
	settings.ForgetEndpointSeconds = forgetEndpointSeconds
	settings.MaxRememberedKeys = maxRememberedKeys
	settings.RequestsPerConn = 1 // whatever endpoints allow: the proxy has one attempt in flight per connection
	return settings
}

func proxySettings(settings *Config, policyConfig policy.Config, limits loadshed.ResourceLimits) *config.Router {
	clients := config.Clients{
		MaxConns:              limits.ClientConns,
		IdleEvictionThreshold: limits.IdleEvictionThreshold,
		ReadTimeoutSeconds:    clientReadSeconds,
		IdleTimeoutSeconds:    clientIdleSeconds,
	}
	upstreams := config.Endpoints{
		MaxConnsPerEndpoint: limits.EndpointConns,
		MaxConns:            limits.EndpointConns,
		DialTimeoutSeconds:  settings.DialSeconds,
		IdleTimeoutSeconds:  loadshed.EndpointIdleSeconds(policyConfig.ConnIdleSeconds),
	}
	return config.ForPlatform(settings.Name, policyConfig, settings.ClassNames, clients, upstreams, limits.BufferBytes)
}

// Run serves until ctx ends, then shuts down gracefully and returns. It closes the listener, and blocks until every
// goroutine that it started has ended. It must be called only once.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	defer n.stopWatches()
	n.running.Go(func() { n.platform.Run(n.watches) })
	n.followDiscovery()
	failed := make(chan error, 1)
	n.running.Go(func() { failed <- n.proxy.Serve(listener) })
	n.running.Go(func() { n.logStats(n.watches) })
	ready := time.AfterFunc(n.readinessDelay, n.proxy.SetReady)
	defer ready.Stop()
	n.log.Info("serving", "relay", n.settings.Name, "listen", listener.Addr().String())
	var err error
	select {
	case <-ctx.Done():
		n.log.Info("shutting down gracefully", "relay", n.settings.Name)
		n.stopAccepting(listener)
	case err = <-failed:
	}
	n.drain(listener)
	n.stop()
	n.log.Info("stopped", "relay", n.settings.Name)
	return err
}

// stopAccepting follows the shutdown plan up to the point from which no more requests are accepted. It blocks
// meanwhile. Clients may not know of the shutdown yet, or have no other router, so they are served as long as there is
// time to answer them. If the longest timeout is below 0.6 s, ServeUntil is before AcceptUntil; otherwise the second
// sleep is not positive and returns at once.
func (n *Node) stopAccepting(listener net.Listener) {
	plan := n.shutdownPlan
	n.proxy.SetAnswerDeadline(n.proxy.Now() + plan.AnswerBy)
	closing := time.AfterFunc(seconds(plan.AcceptUntil), func() { proxy.CloseListener(listener) })
	time.Sleep(seconds(plan.ServeUntil))
	n.proxy.StopServing()
	time.Sleep(seconds(plan.AcceptUntil - plan.ServeUntil))
	closing.Stop()
}

// drain closes the listener and waits for the requests in flight, up to the end of the shutdown plan.
func (n *Node) drain(listener net.Listener) {
	plan := n.shutdownPlan
	proxy.CloseListener(listener)
	ctx, cancel := context.WithTimeout(context.Background(), seconds(plan.GiveUpAt-max(plan.ServeUntil, plan.AcceptUntil)))
	defer cancel()
	if err := n.proxy.Drain(ctx); err != nil {
		n.log.Error("requests left at the end of the drain", "error", err)
	}
}

// stop stops the watches and the proxy, and waits for all goroutines. A later Reload starts no follower.
func (n *Node) stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.stopWatches()
	n.proxy.Close()
	n.running.Wait()
}

// Reload applies the addresses of a new configuration; other changes are logged and take effect at the next start. It
// does not block. An old address stays in use until the new one answers; for discovery, at most for handoverTimeout.
func (n *Node) Reload(settings *Config) {
	if n.settings.needsRestart(settings) {
		n.log.Warn("settings changed that need a restart; only the addresses were applied")
	}
	n.platform.SetAddress(settings.PlatformAddress)
	n.mu.Lock()
	same := n.discoveryAddress == settings.DiscoveryAddress
	n.discoveryAddress = settings.DiscoveryAddress
	n.mu.Unlock()
	if !same {
		n.followDiscovery()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
