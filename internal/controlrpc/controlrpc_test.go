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

// startController serves assignments for an epoch until stop is called.
func startController(t *testing.T, link *config.Link, epoch uint64, log *logBuffer) (addr string, stop func()) {
	var mu sync.Mutex
	leader := lease.NewLeader(epoch, link.LeaseSeconds, 0, 1, 0)
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e9 }
	server := &ControllerServer{Config: link, Log: log.logger(), Relay: "r1",
		AcceptReport: func(report *linkpb.Digest) lease.Reason {
			mu.Lock()
			defer mu.Unlock()
			return leader.AcceptReport(now(), report.Major, report.Edge, report.Life, report.Seq, report.Following)
		},
		NextAssignment: func(router string, listVersion uint64) *linkpb.View {
			mu.Lock()
			defer mu.Unlock()
			header, share, leaseSeconds := leader.NextAssignment(now(), router)
			assignment := &linkpb.View{Major: header.Major, Epoch: header.Epoch, Number: header.Sequence, Life: header.Incarnation,
				Echo: header.AcknowledgedReport, Share: share, Lease: leaseSeconds, ListAt: now(), ListNo: 5}
			if listVersion != 5 {
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

// startRouter follows a controller until stop is called. assignments counts the applied assignments, lists those with
// an endpoint list.
func startRouter(t *testing.T, link *config.Link, log *logBuffer) (router *RouterClient, assignments, lists *atomic.Int64, stop func()) {
	assignments, lists = new(atomic.Int64), new(atomic.Int64)
	startedAt := time.Now()
	router = &RouterClient{Config: link, Log: log.logger(), Now: func() float64 { return 100 + time.Since(startedAt).Seconds() },
		Relay: "r1", Router: "e1", Incarnation: 1,
		FillReport: func(*linkpb.Digest) {},
		ApplyAssignment: func(assignment *linkpb.View, endpoints, _ bool, _ float64) {
			assignments.Add(1)
			if endpoints && assignment.HasList {
				lists.Add(1)
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx, 0) }()
	return router, assignments, lists, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// eventually fails the test if a condition does not become true within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not within 5 s: %s", what)
}

// unixLink returns settings for a Unix socket in a temporary folder of the test.
func unixLink(t *testing.T) *config.Link {
	return &config.Link{Address: "unix:" + filepath.Join(t.TempDir(), "s"), ReportIntervalSeconds: 0.02, SilenceSeconds: 0.5, LeaseSeconds: 1}
}

// A controller that dies and restarts is followed again, even on a socket file left by a killed one; an older
// controller is not.
func TestRestarts(t *testing.T) {
	defer goleak.VerifyNone(t)
	link, log := unixLink(t), &logBuffer{}
	router, assignments, lists, stop := startRouter(t, link, log)
	defer stop()
	for _, epoch := range []uint64{10, 11, 13} {
		_, end := startController(t, link, epoch, log)
		before := assignments.Load()
		eventually(t, "assignments", func() bool { return assignments.Load() > before+5 })
		if n := router.Stats(); n.Epoch != epoch {
			t.Errorf("follows %d, not %d", n.Epoch, epoch)
		}
		end()
	}
	if n := lists.Load(); n != 1 {
		t.Errorf("the endpoint list came %d times though it did not change", n)
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
	eventually(t, "the older controller learns that it is superseded", func() bool { return log.contains("superseded") })
	if n := router.Stats(); n.Epoch != 13 {
		t.Errorf("went back to %d", n.Epoch)
	}
	end()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(link); err == nil || !strings.Contains(err.Error(), "is no socket") {
		t.Error("took over a file that is no socket:", err)
	}
}

// A connection that breaks every 50 ms still delivers assignments, and never an older one.
func TestFlappingConnectionStillBringsAssignments(t *testing.T) {
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
	var flaps atomic.Int64
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
				flaps.Add(1)
			})
		}
	})
	_, assignments, _, stop := startRouter(t, &proxied, log)
	eventually(t, "twenty flaps", func() bool { return flaps.Load() >= 20 })
	if n := assignments.Load(); n < 10 {
		t.Errorf("%d assignments over %d flaps", n, flaps.Load())
	}
	stop()
	listener.Close()
	running.Wait()
}

// forward copies one direction of a connection until either end fails, and then closes the other end.
func forward(t *testing.T, to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		t.Log("cut:", err)
	}
	to.Close()
}

// A silent controller is considered dead and does not block the router.
func TestSilentControllerIsLeft(t *testing.T) {
	link, log := unixLink(t), &logBuffer{}
	path, _ := link.SocketPath()
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, assignments, _, stop := startRouter(t, link, log) // connects to a listener that never answers
	eventually(t, "the silence is noticed", func() bool { return log.contains("silent for 0.5 s") || log.contains("Unavailable") })
	stop()
	if assignments.Load() != 0 {
		t.Error("assignments from a silent controller")
	}
}

// A router with another relay or schema is rejected, and the error names both values.
func TestOtherSchemaOrRelay(t *testing.T) {
	link, log := unixLink(t), &logBuffer{}
	_, end := startController(t, link, 10, log)
	defer end()
	router, _, _, stop := startRouter(t, link, log)
	stop()
	router.Relay = "r2"
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx, 0) }()
	eventually(t, "the relay is named", func() bool { return log.contains(`is of relay \"r2\", this planner of \"r1\"`) })
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	err := (&ControllerServer{Relay: "r1"}).Follow(&oneReport{report: &linkpb.Digest{Major: lease.SchemaMajor + 1, Edge: "e9", Relay: "r1"}})
	if err == nil || !strings.Contains(err.Error(), `edge "e9" speaks schema 2.0, this planner 1.1`) {
		t.Error(err)
	}
}

// oneReport is a stream that delivers the same report repeatedly.
type oneReport struct {
	linkpb.Planner_FollowServer
	report *linkpb.Digest
}

// Recv returns the report.
func (o *oneReport) Recv() (*linkpb.Digest, error) { return o.report, nil }

// A new report replaces an unsent one.
func TestNewestReportReplacesUnsent(t *testing.T) {
	router := &RouterClient{Now: func() float64 { return 1 }, FillReport: func(*linkpb.Digest) {}, follower: lease.NewFollower(1)}
	queue := make(chan *linkpb.Digest, 1)
	for range 5 {
		router.queueReport(queue)
	}
	if report := <-queue; report.Seq != 5 || router.Stats().ReportsDropped != 4 {
		t.Errorf("report %d waits, %d dropped", report.Seq, router.Stats().ReportsDropped)
	}
}
