// Package node runs a router on the platform's sockets: it puts the proxy, the platform's control service and its discovery service
// together from one configuration file, and follows the platform's signals. Times in float64 are seconds; instants in them are on the
// proxy's clock.
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

// What the platform's description gives, and the configuration file does not.
const (
	clientReadSeconds     = 2.3                       // for a client's first byte, and for a request from its first byte to its last
	clientIdleSeconds     = 2.2                       // of a client's connection; the platform allows closing one that was idle for 2 s
	forgetEndpointSeconds = 60.0                      // after it left the list
	maxRememberedKeys     = 50_000                    // for one-way keys
	keepHostSeconds       = 2 * forgetEndpointSeconds // so that a host that comes back meanwhile is the same endpoint
)

// Node is one router on the platform.
type Node struct {
	settings   *Config
	log        *slog.Logger
	proxy      *proxy.Proxy
	platform   *control.Client
	httpClient *http.Client // for discovery

	mu               sync.Mutex // guards what follows, and orders changes of the endpoint list
	registry         discovery.Registry
	endpointList     endpoints.List
	versionGuard     discovery.VersionGuard
	discoveryAddress string
	currentFollower  int  // the follower whose full lists count; earlier ones may still bring changes
	newestConnected  int  // the newest follower that discovery said something to
	stopping         bool // no follower is started any more

	shutdownPlan   loadshed.ShutdownPlan
	readinessDelay time.Duration // after which the router calls itself ready though discovery said nothing
	maxListBytes   int64         // of one message of discovery

	watches     context.Context // of what the router follows; it outlasts the listener
	stopWatches context.CancelFunc
	running     sync.WaitGroup
}

// New makes a router from its configuration, and sets the process's processors and memory limit by it. It starts on the release and the
// endpoint list that the configuration holds.
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
		shutdownPlan:     loadshed.PlanShutdown(longestTimeoutSeconds(policyConfig.Classes)),
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
			log.Error("endpoint list of the configuration rejected", "error", err) // discovery sends it anew
		}
	}
	n.readinessDelay = seconds(loadshed.ReadinessDelaySeconds(n.endpointCount() > 0))
	return n
}

// routerPolicy completes the platform's policy settings by what they leave to the router.
func routerPolicy(settings policy.Config) policy.Config {
	settings.ForgetEndpointSeconds = forgetEndpointSeconds
	settings.MaxRememberedKeys = maxRememberedKeys
	settings.RequestsPerConn = 1 // whatever endpoints allow: this router has one attempt in flight on a connection
	return settings
}

func proxySettings(settings *Config, policyConfig policy.Config, limits loadshed.ResourceLimits) *config.Router {
	clients := config.Clients{
		MaxConns:           limits.ClientConns,
		EvictIdleAbove:     limits.IdleEvictionThreshold,
		ReadTimeoutSeconds: clientReadSeconds,
		IdleTimeoutSeconds: clientIdleSeconds,
	}
	upstreams := config.Endpoints{
		MaxConnsPerEndpoint: limits.EndpointConns,
		MaxConns:            limits.EndpointConns,
		DialTimeoutSeconds:  settings.DialSeconds,
		IdleTimeoutSeconds:  loadshed.EndpointIdleSeconds(policyConfig.ConnIdleSeconds),
	}
	return config.ForPlatform(settings.Name, policyConfig, settings.ClassNames, clients, upstreams, limits.BufferBytes)
}

func longestTimeoutSeconds(classes []policy.RequestClass) float64 {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.TimeoutSeconds)
	}
	return longest
}

// Run serves until ctx ends, then shuts down gracefully and returns. It closes the listener, and blocks until every goroutine that it
// started has ended. It is called once.
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

// stopAccepting goes through the shutdown plan up to the point from which no request is accepted. Clients may not know of the shutdown
// yet, or have nowhere else to go: they are served as long as there is time to answer them. With timeouts below 0.6 s ServeUntil comes
// before AcceptUntil, else after it; the negative sleep ends at once.
func (n *Node) stopAccepting(listener net.Listener) {
	plan := n.shutdownPlan
	n.proxy.SetAnswerDeadline(n.proxy.Now() + plan.AnswerBy)
	closing := time.AfterFunc(seconds(plan.AcceptUntil), func() { proxy.CloseListener(listener) })
	time.Sleep(seconds(plan.ServeUntil))
	n.proxy.StopServing()
	time.Sleep(seconds(plan.AcceptUntil - plan.ServeUntil))
	closing.Stop()
}

// drain closes the listener and waits for what is in flight, up to the end of the shutdown plan.
func (n *Node) drain(listener net.Listener) {
	plan := n.shutdownPlan
	proxy.CloseListener(listener)
	ctx, cancel := context.WithTimeout(context.Background(), seconds(plan.GiveUpAt-max(plan.ServeUntil, plan.AcceptUntil)))
	defer cancel()
	if err := n.proxy.Drain(ctx); err != nil {
		n.log.Error("requests left at the end of the drain", "error", err)
	}
}

// stop ends what the router follows and waits for it. A reload that comes from now on starts nothing.
func (n *Node) stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.stopWatches()
	n.proxy.Close()
	n.running.Wait()
}

// Reload takes the addresses of a configuration that was replaced. It does not block; the old addresses are left once the new ones
// answer.
func (n *Node) Reload(settings *Config) {
	if n.settings.needsRestart(settings) {
		n.log.Warn("the configuration has other settings or limits than those in force; they count from the next start")
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
