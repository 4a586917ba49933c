package controlrpc

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
	"flintspread/internal/watch"
)

// RouterClient is an edge's end of the link.
type RouterClient struct {
	Config      *config.Link
	Log         *slog.Logger
	Now         func() float64 // s since 1970, going forward
	Relay       string
	Router      string
	Incarnation uint64
	ConfigHash  uint64
	// Count fills a digest with what the edge counted and has. It is called once a beat, and must not wait.
	FillReport func(*linkpb.Digest)
	// Take enters a view that counts; list and stage tell which parts are news, until when its lease ends. It must not wait.
	ApplyAssignment func(v *linkpb.View, list, stage bool, until float64)

	mu       sync.Mutex
	follower *lease.Follower
	connects    uint64
	reportsDropped  uint64
	listVersion   uint64 // of the last list taken from a view
	startedAt    float64
}

// Stats is what the end has seen.
type Stats struct {
	Epoch, Sequence      uint64 // of the view that is followed
	AssignmentAgeSeconds float64
	Connects             uint64 // made
	ReportsDropped       uint64 // digests that a newer one replaced before they were sent
	Refused              [lease.ReasonCount]uint64
}

func (e *RouterClient) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := Stats{Connects: e.connects, ReportsDropped: e.reportsDropped}
	if e.follower != nil {
		n.Epoch, n.Sequence = e.follower.Following()
		n.AssignmentAgeSeconds, n.Refused = e.follower.AssignmentAge(e.Now(), e.startedAt), e.follower.Refused
	}
	return n
}

// Run keeps a link to the planner until ctx ends. listAt is when the list on the edge's disk was true.
func (e *RouterClient) Run(ctx context.Context, listAt float64) error {
	e.mu.Lock()
	e.follower, e.startedAt = lease.NewFollower(e.Incarnation), e.Now()
	e.follower.RestoreEndpointsAt(listAt)
	e.mu.Unlock()
	c, err := Credentials(e.Config, e.Log)
	if err != nil {
		return fmt.Errorf(":planner: %w", err)
	}
	conn, err := grpc.NewClient(target(e.Config), grpc.WithTransportCredentials(c),
		// The planner may know of a drain or a lower cap that this edge does not: it is tried again at the pace of the beat,
		// which a few edges on one host can afford. Twice the beat is to stay well below the grace of the rules.
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: seconds(e.Config.Beat / 2), Multiplier: 1.2, Jitter: 0.3,
			MaxDelay: seconds(e.Config.Beat)}, MinConnectTimeout: seconds(e.Config.Silence)}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return fmt.Errorf(":planner: %w", err)
	}
	defer conn.Close()
	for n := 0; ctx.Err() == nil; n++ {
		views, err := e.runStream(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if views > 0 {
			n = 0
		}
		wait := watch.Backoff(n, e.Config.Beat/2, e.Config.Beat, rand.Float64())
		level := slog.LevelWarn
		if n > 0 {
			level = slog.LevelDebug // said once, not ten times a second
		}
		e.Log.Log(ctx, level, "link to the planner broke", "address", e.Config.Address, "views", views, "error", err, "again_in", fmt.Sprintf("%.2fs", wait))
		select {
		case <-ctx.Done():
		case <-time.After(seconds(wait)):
		}
	}
	return nil
}

const maxMessageBytes = 64 << 20 // bytes

func seconds(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }

func target(set *config.Link) string {
	if path, ok := set.Unix(); ok {
		return "unix:" + path
	}
	return "passthrough:///" + set.Address
}

// runStream holds one stream until it breaks, and tells how many views came.
func (e *RouterClient) runStream(ctx context.Context, conn *grpc.ClientConn) (views int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := seconds(e.Config.Silence)
	quiet := time.AfterFunc(silence, func() { cancel(fmt.Errorf("silent for %g s", e.Config.Silence)) })
	defer quiet.Stop()
	why := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	s, err := linkpb.NewPlannerClient(conn).Follow(ctx)
	if err != nil {
		return 0, why(err)
	}
	// The newest digest waits here for the stream; one that did not get away in time is replaced, for it says less.
	next := make(chan *linkpb.Digest, 1)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel(nil)
	work.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case d := <-next:
				if s.Send(d) != nil {
					return // Recv tells why
				}
			}
		}
	})
	work.Go(func() {
		tick := time.NewTicker(seconds(e.Config.Beat))
		defer tick.Stop()
		for {
			e.queueReport(next)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	for ; ; views++ {
		v, err := s.Recv()
		if err != nil {
			return views, why(err)
		}
		if views == 0 {
			e.mu.Lock()
			e.connects++
			e.mu.Unlock()
		}
		quiet.Reset(silence)
		e.acceptAssignment(v)
	}
}

// queueReport makes a digest and leaves it for the stream.
func (e *RouterClient) queueReport(next chan *linkpb.Digest) {
	d := &linkpb.Digest{Major: lease.SchemaMajor, Minor: lease.SchemaMinor, Relay: e.Relay, Edge: e.Router, Terms: e.ConfigHash}
	e.FillReport(d)
	e.mu.Lock()
	d.Life, d.Seq, d.Following = e.follower.NextReport(e.Now())
	d.ListNo = e.listVersion
	e.mu.Unlock()
	select {
	case <-next:
		e.mu.Lock()
		e.reportsDropped++
		e.mu.Unlock()
	default:
	}
	next <- d // there is room: nobody else puts
}

// acceptAssignment enters one that came.
func (e *RouterClient) acceptAssignment(v *linkpb.View) {
	head := lease.AssignmentHeader{Major: v.Major, Epoch: v.Epoch, Sequence: v.Number, Incarnation: v.Life, AckedReport: v.Echo}
	e.mu.Lock()
	before, _ := e.follower.Following()
	r, list, stage := e.follower.AcceptAssignment(head, lease.ContentVersions{EndpointsAt: v.ListAt, ReleaseVersion: v.StageNo})
	until := e.follower.LeaseEnd(v.Lease)
	if r == lease.Accepted && list && v.HasList {
		e.listVersion = v.ListNo
	}
	e.mu.Unlock()
	if r != lease.Accepted {
		e.Log.Info("view refused", "reason", r, "view", head)
		return
	}
	if before != v.Epoch {
		e.Log.Info("following", "planner", v.Epoch, "before", before)
	}
	e.ApplyAssignment(v, list, stage, until)
}
