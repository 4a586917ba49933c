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

// testSite is a fake site with a router that runs until the test stops it.
type testSite struct {
	*fakes.PlatformSite
	t           *testing.T
	node        *Node
	address     string
	stopClients chan struct{}
	clients     sync.WaitGroup
	life        *invariants.Incarnation
	stopNode    func()
}

func must[T any](t *testing.T) func(v T, err error) T {
	return func(v T, err error) T {
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// startNode runs a router on a site, and the given number of clients.
func startNode(t *testing.T, discovery, platform string, clients int, site *testSite) *testSite {
	return startEditedNode(t, discovery, platform, clients, site, func(*Node) {})
}

// startEditedNode is like startNode; edit changes the router before it runs.
func startEditedNode(t *testing.T, discovery, platform string, clients int, site *testSite, edit func(*Node)) *testSite {
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	site.t, site.address, site.stopClients = t, l.Addr().String(), make(chan struct{})
	settings := must[*Config](t)(ParseConfig([]byte(site.Config(site.address, discovery, platform))))
	site.node = New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	edit(site.node)
	site.life = &invariants.Incarnation{RouterGroup: site.RouterGroup, StartedAt: site.Clock()}
	site.Record.Update(func(r *invariants.Record) { r.Incarnations = append(r.Incarnations, site.life) })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- site.node.Run(ctx, l) }()
	for i := range clients {
		site.clients.Go(func() { site.RunClient(i+1, site.address, site.stopClients) })
	}
	site.stopNode = func() {
		site.life.DrainingFrom = site.Clock()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return site
}

// checkInvariants checks the first rules invariants once the clients have ended.
func (s *testSite) checkInvariants(rules int) *invariants.Report {
	s.clients.Wait()
	s.life.EndedAt = s.Clock()
	report := invariants.Check(s.Record, fakes.PlatformSiteBounds)
	for _, rule := range report.Rules[:rules] {
		if rule.Violations > 0 {
			s.t.Errorf("%s: %d of %d broken: %v", rule.Name, rule.Violations, rule.Checked, rule.FirstViolations)
		}
	}
	return report
}

// newSite returns a site with an endpoint of each build. A share of the attempts at baseline endpoints fails.
func newSite(t *testing.T, badShare float64, builds ...int) *testSite {
	s := &testSite{PlatformSite: fakes.NewPlatformSite("n1")}
	t.Cleanup(s.Close)
	for i, build := range builds {
		share := badShare
		if build == fakes.PlatformSiteCanary {
			share = 0
		}
		if err := s.StartEndpoint(i+1, build, share); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// startServices starts a discovery service and a control service.
func (s *testSite) startServices(t *testing.T, spoil func() bool) (discovery, platform string, end func()) {
	discovery, endDiscovery, discoveryErr := s.StartDiscovery(spoil)
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

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 3000 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 30 s:", what)
}

// silentListener accepts connections and never sends anything; accepted counts them.
func silentListener(t *testing.T) (address string, accepted func() int) {
	var n atomic.Int32
	l, err := fakes.ServeConns(func(c net.Conn) {
		n.Add(1)
		if _, err := io.Copy(io.Discard, c); err != nil {
			c.Close()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() int { return int(n.Load()) }
}

// respClient sends requests and reads reply lines.
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

func (c *respClient) send(words ...string) {
	c.t.Helper()
	buf := resp.AppendArray(nil, len(words))
	for _, word := range words {
		buf = resp.AppendBulk(buf, word)
	}
	if _, err := c.Write(buf); err != nil {
		c.t.Error(err)
	}
}

func (c *respClient) line() string {
	text, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text)
}
