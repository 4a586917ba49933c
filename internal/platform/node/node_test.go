package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flintspread/internal/fakes"
	"flintspread/internal/loadshed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The invariants hold for the traffic recorded at the clients and endpoints of a short scenario: endpoints fail in every
// way that the fakes support, votes advance a release through its stages, discovery sends malformed messages, an endpoint
// drains, and the services' addresses change under load.
func TestScenarioWithReleaseAndAddressChanges(t *testing.T) {
	s := newSite(t, 0.05, 1, 1, 1, 1, fakes.PlatformSiteCanary, fakes.PlatformSiteCanary)
	var discoveryRequests atomic.Int32
	discovery, platform, stopOld := s.startServices(t, func() bool { return discoveryRequests.Add(1) <= 3 })
	startNode(t, discovery, platform, 12, s)
	waitFor(t, "the first vote", func() bool { return s.Votes() > 0 })
	// Reload with new addresses twice in quick succession; the old services stop a little later.
	cfg := *s.node.config
	cfg.DiscoveryAddress, cfg.PlatformAddress, _ = s.startServices(t, nil)
	s.node.Reload(&cfg)
	s.node.Reload(&cfg)
	time.Sleep(300 * time.Millisecond)
	stopOld()
	s.SetEndpoint("u1", "127.0.0.1:1", 1, "DRAINING")
	waitFor(t, "the release", s.Released)
	time.Sleep(200 * time.Millisecond)
	s.SetEndpoint("u1", "127.0.0.1:1", 1, "DELETED")
	close(s.stopClients)
	s.clients.Wait()
	s.stopNode()
	report := s.checkInvariants(5)
	if report.Answers["acked"] < report.Requests*8/10 || report.AttemptsByBuild[fakes.PlatformSiteCanary] == 0 {
		t.Errorf("%d requests, answers %v, attempts by build %v", report.Requests, report.Answers, report.AttemptsByBuild)
	}
}

// After the stop signal, requests are accepted on open connections as long as there is time to answer them. Every
// accepted request is answered, even with unresponsive endpoints, and the router ends before it may be killed.
func TestGracefulShutdown(t *testing.T) {
	s := newSite(t, 0.2, 1, 1, 1)
	discovery, platform, _ := s.startServices(t, nil)
	startNode(t, discovery, platform, 6, s)
	waitFor(t, "traffic", func() bool { return s.node.proxy.Stats().Succeeded > 50 })
	// Plan for longer request timeouts than those of this test, so that ServeUntil is after AcceptUntil.
	s.node.shutdownPlan = loadshed.PlanShutdown(2)
	signalAt := s.Clock()
	s.stopNode()
	if took := s.Clock() - signalAt; took < s.node.shutdownPlan.ServeUntil || took > s.node.shutdownPlan.KillAfter {
		t.Errorf("shutdown took %.2f s, planned %+v", took, s.node.shutdownPlan)
	}
	s.checkInvariants(2)
	servedLate := 0
	for _, request := range s.Record.Requests {
		afterClose := request.SentAt > signalAt+s.node.shutdownPlan.AcceptUntil
		if afterClose && len(request.Answers) == 1 && request.Answers[0].Kind == "acked" {
			servedLate++
		}
	}
	if servedLate == 0 {
		t.Error("no request was served after the listener was closed")
	}
}

// A router becomes ready when an endpoint list with endpoints arrives from discovery. If discovery sends nothing, it
// becomes ready after a short time, with or without endpoints from the configuration file.
func TestReadiness(t *testing.T) {
	silent, accepted := silentListener(t)
	for _, builds := range [][]int{{1}, nil} {
		s := startNode(t, silent, silent, 0, newSite(t, 0, builds...))
		c := s.dial()
		c.send("PING")
		if got := c.line(); got != "+PONG" {
			t.Errorf("reply to PING with %d known endpoints and a silent discovery: %q", len(builds), got)
		}
		s.stopNode()
	}
	if accepted() == 0 {
		t.Error("the router did not connect to discovery")
	}
	// The endpoint list arrives while the PING waits for its reply. The readiness delay is too long to cause the reply.
	gate := make(chan struct{}) // closed to let discovery answer
	site := newSite(t, 0)
	listener := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	discovery, _, _ := site.startServices(t, nil)
	gatedDiscovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-gate:
		case <-req.Context().Done():
			return
		}
		response, err := http.Get("http://" + discovery + req.URL.String())
		if err != nil {
			return
		}
		defer response.Body.Close()
		var buf [4096]byte
		n, _ := response.Body.Read(buf[:])
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	})}
	go func() {
		if err := gatedDiscovery.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	defer gatedDiscovery.Close()
	s := startEditedNode(t, listener.Addr().String(), silent, 0, site, func(n *Node) { n.readinessDelay = 1000 * time.Second })
	defer s.stopNode()
	c := s.dial()
	c.send("PING")
	waitFor(t, "the client's connection", func() bool { return s.node.proxy.Stats().ClientConns == 1 })
	if err := s.StartEndpoint(1, 1, 0); err != nil {
		t.Fatal(err)
	}
	close(gate)
	if got := c.line(); got != "+PONG" || s.node.endpointCount() != 1 {
		t.Errorf("reply to PING %q with %d endpoints", got, s.node.endpointCount())
	}
}

// A client that connected before the router started is answered, even if the stop signal arrives before the router
// accepts connections. The router also ends without an error if its configuration is reloaded during the shutdown.
func TestStopSignalBeforeStart(t *testing.T) {
	s := newSite(t, 0, 1)
	discovery, platform, _ := s.startServices(t, nil)
	listener := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	s.t, s.address = t, listener.Addr().String()
	cfg := must[*Config](t)(ParseConfig([]byte(s.Config(s.address, discovery, platform))))
	s.node = New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := s.dial() // accepted by the kernel, not yet by the router
	c.send("API.READ", "k", fmt.Sprintf("%016x", 1), "c=lookup,d=500")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	done := make(chan error, 1)
	go func() { done <- s.node.Run(ctx, listener) }()
	if got := c.line(); got != "$17" {
		t.Errorf("reply %q, want $17", got)
	}
	cfg.DiscoveryAddress, _, _ = s.startServices(t, nil)
	s.node.Reload(cfg)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
