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
	"google.golang.org/grpc/credentials"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
	"flintspread/internal/watch"
)

// Backoff of gRPC's own connection attempts, whose delay is between half a report interval and a whole one.
const (
	connectBackoffMultiplier = 1.2
	connectBackoffJitter     = 0.3 // fraction of the delay
)

// RouterClient is the router's side of the connection to its controller. The exported fields must be set before Run and
// not changed afterwards.
type RouterClient struct {
	Config      *config.Link
	Log         *slog.Logger
	Now         func() float64 // seconds since the Unix epoch, monotonic
	RouterGroup string         // must match that of the controller
	Router      string         // this router's name
	Incarnation uint64         // of this process; higher than that of every earlier process of this router
	ConfigHash  uint64         // of the settings that must match those of the controller
	// FillReport adds the router's counts and state to a report. It is called once per report interval, from one
	// goroutine, and must not block.
	FillReport func(report *linkpb.Digest)
	// ApplyAssignment applies an accepted assignment. endpoints and release tell whether the endpoint list and the
	// release must be applied; leaseEndsAt is the end of the lease on the clock of Now. It is called from one goroutine
	// and may block on disk writes. Meanwhile no further assignment is read, and the silence timeout keeps running.
	ApplyAssignment func(assignment *linkpb.View, endpoints, release bool, leaseEndsAt float64)

	mu             sync.Mutex // guards the fields below
	follower       *lease.Follower
	connects       uint64
	reportsDropped uint64
	listVersion    uint64  // of the last endpoint list received in an assignment
	startedAt      float64 // when Run was called
}

// Stats is a snapshot of a RouterClient's state and counters.
type Stats struct {
	Epoch, Sequence      uint64 // of the last accepted assignment; 0: none yet
	AssignmentAgeSeconds float64
	Connects             uint64                    // streams on which at least one assignment arrived
	ReportsDropped       uint64                    // reports replaced by a newer one before they were sent
	Refused              [lease.ReasonCount]uint64 // rejected assignments by reason
}

// Stats returns the current state and counters. It is safe for concurrent use.
func (r *RouterClient) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := Stats{Connects: r.connects, ReportsDropped: r.reportsDropped}
	if r.follower != nil {
		stats.Epoch, stats.Sequence = r.follower.Following()
		stats.AssignmentAgeSeconds, stats.Refused = r.follower.AssignmentAge(r.Now(), r.startedAt), r.follower.Refused
	}
	return stats
}

// Run maintains a stream to the controller until ctx ends, and then returns nil. An error means that the settings are
// invalid or that certificates cannot be loaded. endpointsVersion and endpointsAt are the version of the endpoint list that was
// restored from disk, and the instant that it is as of.
func (r *RouterClient) Run(ctx context.Context, endpointsVersion uint64, endpointsAt float64) error {
	r.mu.Lock()
	r.follower, r.startedAt = lease.NewFollower(r.Incarnation), r.Now()
	r.follower.RestoreEndpoints(endpointsVersion, endpointsAt)
	r.mu.Unlock()
	transport, err := Credentials(r.Config, r.Log)
	if err != nil {
		return fmt.Errorf(":planner: %w", err)
	}
	conn, err := r.newConn(transport)
	if err != nil {
		return fmt.Errorf(":planner: %w", err)
	}
	defer conn.Close()
	for failures := 0; ctx.Err() == nil; failures++ {
		assignments, err := r.runStream(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if assignments > 0 {
			failures = 0
		}
		delaySeconds := watch.Backoff(failures, r.Config.ReportIntervalSeconds/2, r.Config.ReportIntervalSeconds, rand.Float64())
		level := slog.LevelWarn
		if failures > 0 {
			level = slog.LevelDebug // warn only about the first of several failures in a row
		}
		r.Log.Log(ctx, level, "connection to the controller lost", "address", r.Config.Address, "assignments", assignments,
			"error", err, "retry_in_seconds", delaySeconds)
		select {
		case <-ctx.Done():
		case <-time.After(seconds(delaySeconds)):
		}
	}
	return nil
}

// newConn creates the connection, which gRPC opens when a stream needs it. A failed connection attempt is retried within
// a report interval, because the controller may know of a drain or a lower canary traffic limit that this router does
// not know of. Twice the report interval must be well below the grace period of the rules.
func (r *RouterClient) newConn(transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient(dialTarget(r.Config),
		grpc.WithTransportCredentials(transport),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  seconds(r.Config.ReportIntervalSeconds / 2),
				Multiplier: connectBackoffMultiplier,
				Jitter:     connectBackoffJitter,
				MaxDelay:   seconds(r.Config.ReportIntervalSeconds),
			},
			MinConnectTimeout: seconds(r.Config.SilenceSeconds),
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}

// dialTarget returns the configured address as a gRPC target.
func dialTarget(link *config.Link) string {
	if path, ok := link.SocketPath(); ok {
		return "unix:" + path
	}
	return "passthrough:///" + link.Address
}

// runStream runs one stream until it fails, ctx ends, or no assignment arrives for too long, and returns the number of
// assignments received.
func (r *RouterClient) runStream(ctx context.Context, conn *grpc.ClientConn) (assignments int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := seconds(r.Config.SilenceSeconds)
	silenceTimer := time.AfterFunc(silence, func() { cancel(fmt.Errorf("no assignment received for %g s", r.Config.SilenceSeconds)) })
	defer silenceTimer.Stop()
	// The error of a canceled stream only says that the stream was canceled; the context's cause says why.
	causeOf := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	stream, err := linkpb.NewPlannerClient(conn).Follow(ctx)
	if err != nil {
		return 0, causeOf(err)
	}
	queue := make(chan *linkpb.Digest, 1)
	var sending sync.WaitGroup
	defer sending.Wait()
	defer cancel(nil)
	sending.Go(func() { sendReports(ctx, stream, queue) })
	sending.Go(func() { r.queueReports(ctx, queue) })
	for ; ; assignments++ {
		assignment, err := stream.Recv()
		if err != nil {
			return assignments, causeOf(err)
		}
		if assignments == 0 {
			r.mu.Lock()
			r.connects++
			r.mu.Unlock()
		}
		silenceTimer.Reset(silence)
		r.acceptAssignment(assignment)
	}
}

// sendReports sends queued reports until ctx ends or the stream fails.
func sendReports(ctx context.Context, stream linkpb.Planner_FollowClient, queue <-chan *linkpb.Digest) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-queue:
			if stream.Send(report) != nil {
				return // Recv in runStream returns the reason
			}
		}
	}
}

// queueReports queues a report immediately and then every report interval, until ctx ends.
func (r *RouterClient) queueReports(ctx context.Context, queue chan *linkpb.Digest) {
	ticker := time.NewTicker(seconds(r.Config.ReportIntervalSeconds))
	defer ticker.Stop()
	for {
		r.queueReport(queue)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// queueReport builds a report and queues it for the stream. The report replaces an unsent one, because reports are
// cumulative. Only one goroutine may call it for a queue, whose capacity must be one.
func (r *RouterClient) queueReport(queue chan *linkpb.Digest) {
	report := &linkpb.Digest{Major: lease.SchemaMajor, Minor: lease.SchemaMinor, Relay: r.RouterGroup, Edge: r.Router, Terms: r.ConfigHash}
	r.FillReport(report)
	r.mu.Lock()
	report.Life, report.Seq, report.Following = r.follower.NextReport(r.Now())
	report.ListNo = r.listVersion
	r.mu.Unlock()
	select {
	case <-queue:
		r.mu.Lock()
		r.reportsDropped++
		r.mu.Unlock()
	default:
	}
	queue <- report
}

// acceptAssignment passes an assignment to ApplyAssignment if the follower accepts it.
func (r *RouterClient) acceptAssignment(assignment *linkpb.View) {
	header := assignmentHeader(assignment)
	content := lease.ContentVersions{EndpointsAt: assignment.ListAt, EndpointsVersion: assignment.ListNo, ReleaseVersion: assignment.StageNo}
	r.mu.Lock()
	previousEpoch, _ := r.follower.Following()
	reason, endpoints, release := r.follower.AcceptAssignment(header, content)
	leaseEndsAt := r.follower.LeaseEndsAt(assignment.Lease)
	if reason == lease.Accepted && endpoints && assignment.HasList {
		r.listVersion = assignment.ListNo
	}
	r.mu.Unlock()
	if reason != lease.Accepted {
		r.Log.Info("rejected an assignment", "reason", reason, "assignment", header)
		return
	}
	if previousEpoch != assignment.Epoch {
		r.Log.Info("following a new controller", "epoch", assignment.Epoch, "previous_epoch", previousEpoch)
	}
	r.ApplyAssignment(assignment, endpoints, release, leaseEndsAt)
}

// assignmentHeader converts the fields that identify an assignment from their wire names to those of package lease.
func assignmentHeader(assignment *linkpb.View) lease.AssignmentHeader {
	return lease.AssignmentHeader{Major: assignment.Major, Epoch: assignment.Epoch, Sequence: assignment.Number,
		Incarnation: assignment.Life, AcknowledgedReport: assignment.Echo}
}
