package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/invariants"
	"flintspread/internal/platform/resp"
)

// testSite is a fake platform site with a router that runs until the test calls stopNode.
type testSite struct {
	*fakes.PlatformSite
	t           *testing.T
	node        *Node
	address     string        // the router's listening address
	stopClients chan struct{} // closed to stop the clients
	clients     sync.WaitGroup
	incarnation *invariants.Incarnation
	stopNode    func() // shuts down the router gracefully and waits until it has ended
}

// must returns a function that returns v, or fails the test if err is not nil.
func must[T any](t *testing.T) func(v T, err error) T {
	return func(v T, err error) T {
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// startNode starts a router on a site, and the given number of clients.
func startNode(t *testing.T, discovery, platform string, clients int, site *testSite) *testSite {
	return startEditedNode(t, discovery, platform, clients, site, func(*Node) {})
}

// startEditedNode is like startNode, but calls edit on the router before running it.
func startEditedNode(t *testing.T, discovery, platform string, clients int, site *testSite, edit func(*Node)) *testSite {
	listener := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	site.t, site.address, site.stopClients = t, listener.Addr().String(), make(chan struct{})
	cfg := must[*Config](t)(ParseConfig([]byte(site.Config(site.address, discovery, platform))))
	site.node = New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	edit(site.node)
	site.incarnation = &invariants.Incarnation{RouterGroup: site.RouterGroup, StartedAt: site.Clock()}
	site.Record.Update(func(r *invariants.Record) { r.Incarnations = append(r.Incarnations, site.incarnation) })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- site.node.Run(ctx, listener) }()
	for i := range clients {
		site.clients.Go(func() { site.RunClient(i+1, site.address, site.stopClients) })
	}
	site.stopNode = func() {
		site.incarnation.DrainingFrom = site.Clock()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return site
}

// checkInvariants waits for the clients to end and checks the first ruleCount invariants.
func (s *testSite) checkInvariants(ruleCount int) *invariants.Report {
	s.clients.Wait()
	s.incarnation.EndedAt = s.Clock()
	report := invariants.Check(s.Record, fakes.PlatformSiteBounds)
	for _, rule := range report.Rules[:ruleCount] {
		if rule.Violations > 0 {
			s.t.Errorf("%s: broken in %d of %d checks: %v", rule.Name, rule.Violations, rule.Checked, rule.FirstViolations)
		}
	}
	return report
}

// newSite returns a site with one endpoint for each element of builds. On baseline endpoints, failureShare of the
// attempts fail.
func newSite(t *testing.T, failureShare float64, builds ...int) *testSite {
	s := &testSite{PlatformSite: fakes.NewPlatformSite("n1")}
	t.Cleanup(s.Close)
	for i, build := range builds {
		share := failureShare
		if build == fakes.PlatformSiteCanary {
			share = 0
		}
		if err := s.StartEndpoint(i+1, build, share); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// startServices starts a discovery service and a control service, and returns their addresses. Discovery answers a
// request with a malformed message if sendMalformed is not nil and returns true. stop ends the discovery service and its
// connections; the control service only stops accepting connections.
func (s *testSite) startServices(t *testing.T, sendMalformed func() bool) (discovery, platform string, stop func()) {
	discovery, endDiscovery, discoveryErr := s.StartDiscovery(sendMalformed)
	platform, endPlatform, platformErr := s.StartControlService()
	if err := errors.Join(discoveryErr, platformErr); err != nil {
		t.Fatal(err)
	}
	return discovery, platform, func() {
		if err := errors.Join(endDiscovery(), endPlatform()); err != nil {
			t.Error(err)
		}
	}
}

// waitFor blocks until condition holds, and fails the test after 30 s; what names the condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out after 30 s waiting for", what)
}

// silentListener returns the address of a listener that accepts connections and never sends anything, and a function
// that returns the number of accepted connections.
func silentListener(t *testing.T) (address string, accepted func() int) {
	var count atomic.Int32
	listener, err := fakes.ServeConns(func(c net.Conn) {
		count.Add(1)
		if _, err := io.Copy(io.Discard, c); err != nil {
			c.Close()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String(), func() int { return int(count.Load()) }
}

// respClient is a RESP2 client that sends commands and reads replies line by line.
type respClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testSite) dial() *respClient {
	c := must[net.Conn](s.t)(net.Dial("tcp", s.address))
	s.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &respClient{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

// send sends one command; args starts with its name.
func (c *respClient) send(args ...string) {
	c.t.Helper()
	buf := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		buf = resp.AppendBulk(buf, arg)
	}
	if _, err := c.Write(buf); err != nil {
		c.t.Error(err)
	}
}

// line returns the next line, or the text of the error.
func (c *respClient) line() string {
	text, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text)
}
