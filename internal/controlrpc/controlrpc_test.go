package controlrpc

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
)

// logBuffer is a log whose content can be searched.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// contains reports whether a text was logged.
func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), s)
}

// logger returns a logger that writes to the buffer at debug level.
func (l *logBuffer) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(l, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// testListVersion is the version of the endpoint list that the tests' controllers send.
const testListVersion = 5

// startController starts a controller of an epoch, which serves assignments until stop is called.
func startController(t *testing.T, link *config.Link, epoch uint64, log *logBuffer) (addr string, stop func()) {
	return startObservedController(t, link, epoch, log, func(uint64) {})
}

// startObservedController is like startController, but calls onListVersion before each assignment, with the version of
// the endpoint list that the router has reported.
func startObservedController(t *testing.T, link *config.Link, epoch uint64, log *logBuffer, onListVersion func(uint64)) (addr string, stop func()) {
	var mu sync.Mutex
	leader := lease.NewLeader(epoch, link.LeaseSeconds, 0, 1, 0)
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e9 }
	server := &ControllerServer{Config: link, Log: log.logger(), RouterGroup: "r1",
		AcceptReport: func(report *linkpb.Digest) lease.Reason {
			mu.Lock()
			defer mu.Unlock()
			return leader.AcceptReport(now(), report.Major, report.Edge, report.Life, report.Seq, report.Following)
		},
		NextAssignment: func(router string, listVersion uint64) *linkpb.View {
			mu.Lock()
			defer mu.Unlock()
			header, share, leaseSeconds := leader.NextAssignment(now(), router)
			onListVersion(listVersion)
			assignment := &linkpb.View{Major: header.Major, Epoch: header.Epoch, Number: header.Sequence, Life: header.Incarnation,
				Echo: header.AcknowledgedReport, Share: share, Lease: leaseSeconds, ListAt: now(), ListNo: testListVersion}
			if listVersion != testListVersion {
				assignment.HasList, assignment.Units = true, []*linkpb.Unit{{Id: 1}}
			}
			return assignment
		}}
	listener, err := Listen(link)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	return listener.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// startRouter starts a router, which follows a controller until stop is called. assignments counts the assignments that
// the router applied, lists those of them with an endpoint list.
func startRouter(t *testing.T, link *config.Link, log *logBuffer) (router *RouterClient, assignments, lists *atomic.Int64, stop func()) {
	assignments, lists = new(atomic.Int64), new(atomic.Int64)
	startedAt := time.Now()
	router = &RouterClient{Config: link, Log: log.logger(), Now: func() float64 { return 100 + time.Since(startedAt).Seconds() },
		RouterGroup: "r1", Router: "e1", Incarnation: 1,
		FillReport: func(*linkpb.Digest) {},
		ApplyAssignment: func(assignment *linkpb.View, endpoints, _ bool, _ float64) {
			assignments.Add(1)
			if endpoints && assignment.HasList {
				lists.Add(1)
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx, 0, 0) }()
	return router, assignments, lists, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// eventually waits for a condition, and fails the test if it does not become true within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("condition not met within 5 s: %s", what)
}

// unixLink returns settings for a Unix socket in a temporary folder of the test.
func unixLink(t *testing.T) *config.Link {
	return &config.Link{Address: "unix:" + filepath.Join(t.TempDir(), "s"), ReportIntervalSeconds: 0.02, SilenceSeconds: 0.5, LeaseSeconds: 1}
}

// A router follows a controller again after it restarts with a higher epoch, and does not follow an older one. A controller
// replaces the socket file of a killed controller, but no other file.
func TestControllerRestarts(t *testing.T) {
	defer goleak.VerifyNone(t)
	link, log := unixLink(t), &logBuffer{}
	router, assignments, lists, stop := startRouter(t, link, log)
	defer stop()
	var hasList atomic.Bool
	onListVersion := func(listVersion uint64) {
		if listVersion == testListVersion {
			hasList.Store(true)
		} else if hasList.Load() {
			t.Errorf("the router reports endpoint list version %d after it had version %d", listVersion, testListVersion)
		}
	}
	for _, epoch := range []uint64{10, 11, 13} {
		_, end := startObservedController(t, link, epoch, log, onListVersion)
		before := assignments.Load()
		eventually(t, "assignments", func() bool { return assignments.Load() > before+5 && hasList.Load() })
		if stats := router.Stats(); stats.Epoch != epoch {
			t.Errorf("router follows epoch %d, want %d", stats.Epoch, epoch)
		}
		end()
	}
	// A report that was sent before the first list arrived may be answered by the list as well.
	if !hasList.Load() || lists.Load() == 0 {
		t.Errorf("the router received the endpoint list %d times; it has reported the list: %t", lists.Load(), hasList.Load())
	}
	path, _ := link.SocketPath()
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	if err := stale.Close(); err != nil {
		t.Fatal(err)
	}
	_, end := startController(t, link, 12, log)
	eventually(t, "the older controller rejects a report as superseded", func() bool { return log.contains("superseded") })
	if stats := router.Stats(); stats.Epoch != 13 {
		t.Errorf("router follows epoch %d after epoch 13", stats.Epoch)
	}
	end()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(link); err == nil || !strings.Contains(err.Error(), "is not a socket") {
		t.Error("listening on a file that is not a socket:", err)
	}
}

// A connection that breaks every 50 ms still delivers assignments.
func TestFlappingConnectionDeliversAssignments(t *testing.T) {
	defer goleak.VerifyNone(t)
	link, log := unixLink(t), &logBuffer{}
	_, end := startController(t, link, 10, log)
	defer end()
	path, _ := link.SocketPath()
	proxied := *link
	proxied.Address = "unix:" + path + "f"
	listener, err := net.Listen("unix", path+"f")
	if err != nil {
		t.Fatal(err)
	}
	var connections atomic.Int64
	var running sync.WaitGroup
	running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("unix", path)
			if err != nil {
				client.Close()
				continue
			}
			running.Go(func() { forward(t, server, client) })
			running.Go(func() { forward(t, client, server) })
			running.Go(func() {
				time.Sleep(50 * time.Millisecond)
				client.Close()
				server.Close()
				connections.Add(1)
			})
		}
	})
	_, assignments, _, stop := startRouter(t, &proxied, log)
	eventually(t, "twenty connections broken", func() bool { return connections.Load() >= 20 })
	if n := assignments.Load(); n < 10 {
		t.Errorf("%d assignments over %d connections, want 10 or more", n, connections.Load())
	}
	stop()
	listener.Close()
	running.Wait()
}

// forward copies one direction of a connection until either connection fails, and then closes the destination.
func forward(t *testing.T, to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		t.Log("connection broken:", err)
	}
	to.Close()
}

// A controller that accepts a connection but sends nothing is considered dead, and does not block the router.
func TestSilentControllerTimesOut(t *testing.T) {
	link, log := unixLink(t), &logBuffer{}
	path, _ := link.SocketPath()
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	_, assignments, _, stop := startRouter(t, link, log) // connects to a listener that sends nothing
	eventually(t, "the timeout is logged", func() bool { return log.contains("no assignment received for 0.5 s") || log.contains("Unavailable") })
	stop()
	if assignments.Load() != 0 {
		t.Errorf("%d assignments from a silent controller", assignments.Load())
	}
}

// A router with another relay or major schema version is rejected, and the error names both values.
func TestSchemaOrRelayMismatch(t *testing.T) {
	link, log := unixLink(t), &logBuffer{}
	_, end := startController(t, link, 10, log)
	defer end()
	router, _, _, stop := startRouter(t, link, log)
	stop()
	router.RouterGroup = "r2"
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx, 0, 0) }()
	eventually(t, "the router logs both relays", func() bool { return log.contains(`is of relay \"r2\", this planner of \"r1\"`) })
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	err := (&ControllerServer{RouterGroup: "r1"}).Follow(&repeatedReport{report: &linkpb.Digest{Major: lease.SchemaMajor + 1, Edge: "e9", Relay: "r1"}})
	if err == nil || !strings.Contains(err.Error(), `edge "e9" speaks schema 2.0, this planner 1.2`) {
		t.Error(err)
	}
}

// repeatedReport is a stream on which the same report is received repeatedly.
type repeatedReport struct {
	linkpb.Planner_FollowServer
	report *linkpb.Digest
}

// Recv returns the report.
func (r *repeatedReport) Recv() (*linkpb.Digest, error) { return r.report, nil }

// A new report replaces an unsent one in the queue.
func TestNewestReportReplacesUnsent(t *testing.T) {
	router := &RouterClient{Now: func() float64 { return 1 }, FillReport: func(*linkpb.Digest) {}, follower: lease.NewFollower(1)}
	queue := make(chan *linkpb.Digest, 1)
	for range 5 {
		router.queueReport(queue)
	}
	if report := <-queue; report.Seq != 5 || router.Stats().ReportsDropped != 4 {
		t.Errorf("report %d is queued and %d were dropped, want report 5 and 4", report.Seq, router.Stats().ReportsDropped)
	}
}
