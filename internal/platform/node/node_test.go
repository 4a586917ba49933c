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

// A short scenario: endpoints that fail in every way, a release that advances through its stages by votes, malformed
// messages of discovery, an endpoint that drains, and addresses that change under load. The invariants are checked
// against the traffic seen on the sockets.
func TestScenarioWithReleaseAndMoves(t *testing.T) {
	s := newSite(t, 0.05, 1, 1, 1, 1, fakes.PlatformSiteCanary, fakes.PlatformSiteCanary)
	var malformed atomic.Int32
	discovery, platform, endOld := s.startServices(t, func() bool { return malformed.Add(1) <= 3 })
	startNode(t, discovery, platform, 12, s)
	eventually(t, "the first vote", func() bool { return s.Votes() > 0 })
	// New addresses, twice in quick succession; the old ones go away a little later.
	settings := *s.node.settings
	settings.DiscoveryAddress, settings.PlatformAddress, _ = s.startServices(t, nil)
	s.node.Reload(&settings)
	s.node.Reload(&settings)
	time.Sleep(300 * time.Millisecond)
	endOld()
	s.SetEndpoint("u1", "127.0.0.1:1", 1, "DRAINING")
	eventually(t, "the release", s.Released)
	time.Sleep(200 * time.Millisecond)
	s.SetEndpoint("u1", "127.0.0.1:1", 1, "DELETED")
	close(s.stopClients)
	s.clients.Wait()
	s.stopNode()
	report := s.checkInvariants(5)
	if report.Answers["acked"] < report.Requests*8/10 || report.AttemptsByBuild[fakes.PlatformSiteCanary] == 0 {
		t.Errorf("%d asked, %v, %v", report.Requests, report.Answers, report.AttemptsByBuild)
	}
}

// After the signal, clients are served on their connections as long as there is time to answer them. Every accepted
// request is answered, even with unresponsive endpoints, and the router ends before it would be killed.
func TestGracefulShutdown(t *testing.T) {
	s := newSite(t, 0.2, 1, 1, 1)
	discovery, platform, _ := s.startServices(t, nil)
	startNode(t, discovery, platform, 6, s)
	eventually(t, "traffic", func() bool { return s.node.proxy.Stats().Succeeded > 50 })
	s.node.shutdownPlan = loadshed.PlanShutdown(2) // a plan for longer request timeouts than this test has
	from := s.Clock()
	s.stopNode()
	if took := s.Clock() - from; took < s.node.shutdownPlan.ServeUntil || took > s.node.shutdownPlan.KillAfter {
		t.Errorf("%.2f s until the end, planned %+v", took, s.node.shutdownPlan)
	}
	s.checkInvariants(2)
	late := 0
	for _, c := range s.Record.Requests {
		if c.SentAt > from+s.node.shutdownPlan.AcceptUntil && len(c.Answers) == 1 && c.Answers[0].Kind == "acked" {
			late++
		}
	}
	if late == 0 {
		t.Error("nobody was served once the listener was closed")
	}
}

// A router is ready once it knows endpoints: as soon as discovery's list arrives, or after a short time if discovery
// sends nothing, with an old list, an empty one or none.
func TestReady(t *testing.T) {
	silent, accepted := silentListener(t)
	for _, builds := range [][]int{{1}, nil} {
		s := startNode(t, silent, silent, 0, newSite(t, 0, builds...))
		c := s.dial()
		c.send("PING")
		if got := c.line(); got != "+PONG" {
			t.Errorf("%d endpoints known, discovery silent: %q", len(builds), got)
		}
		s.stopNode()
	}
	if accepted() == 0 {
		t.Error("no connection to discovery")
	}
	// Here the list arrives only while the PING waits. The timeout is off, so that nothing else can answer it.
	gate := make(chan struct{})
	site := newSite(t, 0)
	srv := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	realDiscovery, _, _ := site.startServices(t, nil)
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-gate:
		case <-req.Context().Done():
			return
		}
		from, err := http.Get("http://" + realDiscovery + req.URL.String())
		if err != nil {
			return
		}
		defer from.Body.Close()
		var buf [4096]byte
		n, _ := from.Body.Read(buf[:])
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	})}
	go func() {
		if err := web.Serve(srv); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	defer web.Close()
	s := startEditedNode(t, srv.Addr().String(), silent, 0, site, func(n *Node) { n.readinessDelay = 1000 * time.Second })
	defer s.stopNode()
	c := s.dial()
	c.send("PING")
	eventually(t, "the connection", func() bool { return s.node.proxy.Stats().ClientConns == 1 })
	if err := s.StartEndpoint(1, 1, 0); err != nil {
		t.Fatal(err)
	}
	close(gate)
	if got := c.line(); got != "+PONG" || s.node.endpointCount() != 1 {
		t.Errorf("%q with %d endpoints", got, s.node.endpointCount())
	}
}

// With a stop signal before the router serves and a reload during the shutdown, clients that connect are still
// answered.
func TestStopBeforeStart(t *testing.T) {
	s := newSite(t, 0, 1)
	discovery, platform, _ := s.startServices(t, nil)
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	s.t, s.address = t, l.Addr().String()
	settings := must[*Config](t)(ParseConfig([]byte(s.Config(s.address, discovery, platform))))
	s.node = New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := s.dial() // accepted by the kernel, not yet by the program
	c.send("API.READ", "k", fmt.Sprintf("%016x", 1), "c=lookup,d=500")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	done := make(chan error, 1)
	go func() { done <- s.node.Run(ctx, l) }()
	if got := c.line(); got != "$17" {
		t.Errorf("%q", got)
	}
	other, _, _ := s.startServices(t, nil)
	settings.DiscoveryAddress = other
	s.node.Reload(settings)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
