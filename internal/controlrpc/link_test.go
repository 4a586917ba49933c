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
	"flintspread/internal/fakes/testca"
	"flintspread/internal/lease"
)

// issueLink writes a certificate of a name that ends then, and gives a link that uses it and expects peer.
func issueLink(o *testca.CA, file, name string, ends time.Time, address, peer string) *config.Link {
	cert, key := o.Issue(file, name, ends)
	return &config.Link{Address: address, Beat: 0.02, Silence: 0.5, Lease: 1, Peer: peer, CA: o.CAFile(), Cert: cert, Key: key}
}

// logBuffer is a log that can be searched.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), s)
}

func (l *logBuffer) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(l, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// startController serves views of an epoch until stop is called.
func startController(t *testing.T, set *config.Link, epoch uint64, log *logBuffer) (addr string, stop func()) {
	var mu sync.Mutex
	leader := lease.NewLeader(epoch, set.Lease, 0, 1, 0)
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e9 }
	p := &ControllerServer{Config: set, Log: log.logger(), Relay: "r1",
		AcceptReport: func(d *linkpb.Digest) lease.Reason {
			mu.Lock()
			defer mu.Unlock()
			return leader.AcceptReport(now(), d.Major, d.Edge, d.Life, d.Seq, d.Following)
		},
		NextAssignment: func(edge string, listNo uint64) *linkpb.View {
			mu.Lock()
			defer mu.Unlock()
			h, share, life := leader.NextAssignment(now(), edge)
			v := &linkpb.View{Major: h.Major, Epoch: h.Epoch, Number: h.Sequence, Life: h.Incarnation, Echo: h.AckedReport, Share: share, Lease: life, ListAt: now(), ListNo: 5}
			if listNo != 5 {
				v.HasList, v.Units = true, []*linkpb.Unit{{Id: 1}}
			}
			return v
		}}
	l, err := Listen(set)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx, l) }()
	return l.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// startRouter follows until stop is called; views counts those taken, lists those with the list.
func startRouter(t *testing.T, set *config.Link, log *logBuffer) (e *RouterClient, views, lists *atomic.Int64, stop func()) {
	views, lists = new(atomic.Int64), new(atomic.Int64)
	from := time.Now()
	e = &RouterClient{Config: set, Log: log.logger(), Now: func() float64 { return 100 + time.Since(from).Seconds() }, Relay: "r1", Router: "e1", Incarnation: 1,
		FillReport: func(*linkpb.Digest) {},
		ApplyAssignment: func(v *linkpb.View, list, stage bool, until float64) {
			views.Add(1)
			if list && v.HasList {
				lists.Add(1)
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx, 0) }()
	return e, views, lists, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not within 5 s: %s", what)
}

func unixLink(t *testing.T) *config.Link {
	return &config.Link{Address: "unix:" + filepath.Join(t.TempDir(), "s"), Beat: 0.02, Silence: 0.5, Lease: 1}
}

// A planner that dies and comes back, also on the socket file that a killed one left; one that is older is not followed.
func TestRestarts(t *testing.T) {
	defer goleak.VerifyNone(t)
	set, log := unixLink(t), &logBuffer{}
	e, views, lists, stop := startRouter(t, set, log)
	defer stop()
	for _, epoch := range []uint64{10, 11, 13} {
		_, end := startController(t, set, epoch, log)
		before := views.Load()
		eventually(t, "views", func() bool { return views.Load() > before+5 })
		if n := e.Stats(); n.Epoch != epoch {
			t.Errorf("follows %d, not %d", n.Epoch, epoch)
		}
		end()
	}
	if n := lists.Load(); n != 1 {
		t.Errorf("the list came %d times though it did not change", n)
	}
	path, _ := set.Unix()
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	_, end := startController(t, set, 12, log)
	eventually(t, "the older planner hears that it is", func() bool { return log.contains("superseded") })
	if n := e.Stats(); n.Epoch != 13 {
		t.Errorf("turned back to %d", n.Epoch)
	}
	end()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(set); err == nil || !strings.Contains(err.Error(), "is no socket") {
		t.Error("took a file that is no socket:", err)
	}
}

// A link that breaks every 50 ms still brings views, and never an older one.
func TestFlappingConnectionStillBringsAssignments(t *testing.T) {
	defer goleak.VerifyNone(t)
	set, log := unixLink(t), &logBuffer{}
	_, end := startController(t, set, 10, log)
	defer end()
	path, _ := set.Unix()
	front := *set
	front.Address = "unix:" + path + "f"
	l, err := net.Listen("unix", path+"f")
	if err != nil {
		t.Fatal(err)
	}
	var flaps atomic.Int64
	var work sync.WaitGroup
	work.Go(func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("unix", path)
			if err != nil {
				a.Close()
				continue
			}
			work.Go(func() { io.Copy(b, a); b.Close() })
			work.Go(func() { io.Copy(a, b); a.Close() })
			work.Go(func() {
				time.Sleep(50 * time.Millisecond)
				a.Close()
				b.Close()
				flaps.Add(1)
			})
		}
	})
	_, views, _, stop := startRouter(t, &front, log)
	eventually(t, "twenty flaps", func() bool { return flaps.Load() >= 20 })
	if n := views.Load(); n < 10 {
		t.Errorf("%d views over %d flaps", n, flaps.Load())
	}
	stop()
	l.Close()
	work.Wait()
}

// A planner that says nothing is taken for dead, and does not hold the edge up.
func TestSilentControllerIsLeft(t *testing.T) {
	set, log := unixLink(t), &logBuffer{}
	path, _ := set.Unix()
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, views, _, stop := startRouter(t, set, log) // connects to what never answers
	eventually(t, "the silence is noticed", func() bool { return log.contains("silent for 0.5 s") || log.contains("Unavailable") })
	stop()
	if views.Load() != 0 {
		t.Error("views from nobody")
	}
}

func TestOtherSchemaOrRelay(t *testing.T) {
	set, log := unixLink(t), &logBuffer{}
	_, end := startController(t, set, 10, log)
	defer end()
	e, _, _, stop := startRouter(t, set, log)
	stop()
	e.Relay = "r2"
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx, 0) }()
	eventually(t, "the relay is named", func() bool { return log.contains(`is of relay \"r2\", this planner of \"r1\"`) })
	cancel()
	<-done
	err := (&ControllerServer{Relay: "r1"}).Follow(&oneReport{d: &linkpb.Digest{Major: lease.SchemaMajor + 1, Edge: "e9", Relay: "r1"}})
	if err == nil || !strings.Contains(err.Error(), `edge "e9" speaks schema 2.0, this planner 1.1`) {
		t.Error(err)
	}
}

type oneReport struct {
	linkpb.Planner_FollowServer
	d *linkpb.Digest
}

func (o *oneReport) Recv() (*linkpb.Digest, error) { return o.d, nil }

// Over TCP each end shows a certificate; what is wrong with one is told by name, and a new one is taken without a restart.
func TestCertificates(t *testing.T) {
	good, other := testca.New(t, "hall"), testca.New(t, "elsewhere")
	hour := time.Now().Add(time.Hour)
	log := &logBuffer{}
	server := issueLink(good, "plan", "plan.example.org", hour, "127.0.0.1:0", "edge.example.org")
	addr, end := startController(t, server, 10, log)
	defer end()
	for _, c := range []struct {
		name, want string
		set        *config.Link
	}{
		{"stranger", `certificate of \"edge.example.org\" (edge.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				l := issueLink(other, "edge", "edge.example.org", hour, addr, "plan.example.org")
				l.CA = server.CA
				return l
			}()},
		{"expired", "it ended on ", issueLink(good, "old", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")},
		{"other name", `not \"edge.example.org\" (:peer)`, issueLink(good, "third", "third.example.org", hour, addr, "plan.example.org")},
		{"planner of other name", `certificate of \"plan.example.org\" (plan.example.org): not \"control.example.org\" (:peer)`,
			issueLink(good, "edge2", "edge.example.org", hour, addr, "control.example.org")},
		{"planner unknown", `certificate of \"plan.example.org\" (plan.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				l := issueLink(good, "edge3", "edge.example.org", hour, addr, "plan.example.org")
				l.CA = other.CAFile()
				return l
			}()},
	} {
		t.Run(c.name, func(t *testing.T) {
			mine := &logBuffer{}
			_, views, _, stop := startRouter(t, c.set, mine)
			eventually(t, "one end says why", func() bool { return mine.contains(c.want) || log.contains(c.want) })
			stop()
			if views.Load() != 0 {
				t.Error("a view came")
			}
		})
	}
	t.Run("replaced", func(t *testing.T) {
		set := issueLink(good, "renew", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")
		_, views, _, stop := startRouter(t, set, &logBuffer{})
		defer stop()
		time.Sleep(100 * time.Millisecond)
		if views.Load() != 0 {
			t.Fatal("an expired certificate was good enough")
		}
		issueLink(good, "renew", "edge.example.org", hour, addr, "")
		eventually(t, "views with the new one", func() bool { return views.Load() > 3 })
		if err := os.WriteFile(set.Cert, []byte("half a f"), 0o600); err != nil {
			t.Fatal(err)
		}
		f := &certificateFiles{config: set}
		if _, _, err := f.load(); err == nil {
			t.Error("a broken file is no error at a start")
		}
	})
}

// A beat that finds the last digest still unsent replaces it.
func TestNewestReportReplacesUnsent(t *testing.T) {
	e := &RouterClient{Now: func() float64 { return 1 }, FillReport: func(*linkpb.Digest) {}, follower: lease.NewFollower(1)}
	next := make(chan *linkpb.Digest, 1)
	for range 5 {
		e.queueReport(next)
	}
	if d := <-next; d.Seq != 5 || e.Stats().ReportsDropped != 4 {
		t.Errorf("digest %d waits, %d dropped", d.Seq, e.Stats().ReportsDropped)
	}
}
