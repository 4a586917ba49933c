package controlrpc

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
)

// keepAliveIntervals is the time between keep-alive assignments, in report intervals. They are sent even if nothing has
// changed, to show the routers that the controller is alive.
const keepAliveIntervals = 2

// ControllerServer is the controller's side of the connections to its routers. The exported fields must be set before
// Serve and not changed afterwards.
type ControllerServer struct {
	linkpb.UnimplementedPlannerServer
	Config      *config.Link
	Log         *slog.Logger
	RouterGroup string // must match that of every router
	// AcceptReport records a report and returns lease.Accepted, or why the report is rejected. It is called from one
	// goroutine per router and must not block.
	AcceptReport func(report *linkpb.Digest) lease.Reason
	// NextAssignment builds the next assignment for a router that has version listVersion of the endpoint list. It is
	// called from one goroutine per router and must not block.
	NextAssignment func(router string, listVersion uint64) *linkpb.View

	mu      sync.Mutex
	routers map[*connectedRouter]struct{} // guarded by mu
}

// connectedRouter is the state of a router's open stream.
type connectedRouter struct {
	wake        chan struct{} // capacity 1; a value requests an assignment
	listVersion atomic.Uint64 // of the endpoint list that the router has
}

// Listen listens on the configured address. It replaces a socket file that a killed controller has left behind. The
// caller must have the controller's state store open, which ensures that no other controller is listening on the socket.
// A file that is not a socket is not replaced and results in an error.
func Listen(link *config.Link) (net.Listener, error) {
	path, ok := link.SocketPath()
	if !ok {
		return net.Listen("tcp", link.Address)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	return net.Listen("unix", path)
}

// Serve serves routers until ctx ends, and then returns nil. It takes ownership of the listener.
func (s *ControllerServer) Serve(ctx context.Context, listener net.Listener) error {
	transport, err := Credentials(s.Config, s.Log)
	if err != nil {
		return fmt.Errorf(":link: %w", err)
	}
	s.mu.Lock()
	s.routers = map[*connectedRouter]struct{}{}
	s.mu.Unlock()
	server := grpc.NewServer(grpc.Creds(transport), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(seconds(s.Config.SilenceSeconds)))
	linkpb.RegisterPlannerServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) && ctx.Err() == nil {
		return err
	}
	return nil
}

// NotifyAll requests an assignment for every connected router. It does not block.
func (s *ControllerServer) NotifyAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for router := range s.routers {
		router.notify()
	}
}

// notify requests an assignment. It does not block; pending requests are coalesced.
func (r *connectedRouter) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Follow implements the Follow RPC: it serves a router until the stream fails.
func (s *ControllerServer) Follow(stream linkpb.Planner_FollowServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := s.checkCompatible(first); err != nil {
		return err
	}
	router := &connectedRouter{wake: make(chan struct{}, 1)}
	s.register(router)
	defer s.unregister(router)
	s.Log.Info("router connected", "router", first.Edge, "incarnation", first.Life)
	failed := make(chan error, 1)
	// This goroutine cannot be waited for here: its Recv returns when gRPC ends the stream, after this method returns.
	go func() { failed <- s.receiveReports(stream, router, first) }()
	return s.sendAssignments(stream, router, first.Edge, failed)
}

// checkCompatible rejects a router with another major schema version or of another router group. The returned status is
// sent to the router, which logs it.
func (s *ControllerServer) checkCompatible(report *linkpb.Digest) error {
	if report.Major != lease.SchemaMajor {
		return status.Errorf(codes.FailedPrecondition, "edge %q speaks schema %d.%d, this planner %d.%d", report.Edge, report.Major,
			report.Minor, lease.SchemaMajor, lease.SchemaMinor)
	}
	if report.Relay != s.RouterGroup {
		return status.Errorf(codes.FailedPrecondition, "edge %q is of relay %q, this planner of %q", report.Edge, report.Relay, s.RouterGroup)
	}
	return nil
}

// register adds a router to those that NotifyAll notifies.
func (s *ControllerServer) register(router *connectedRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[router] = struct{}{}
}

// unregister removes a router from those that NotifyAll notifies.
func (s *ControllerServer) unregister(router *connectedRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.routers, router)
}

// receiveReports processes the reports of a stream until the stream fails, and returns the error. first is the report that
// the caller has already received.
func (s *ControllerServer) receiveReports(stream linkpb.Planner_FollowServer, router *connectedRouter, first *linkpb.Digest) error {
	for report := first; ; {
		s.processReport(router, report)
		var err error
		if report, err = stream.Recv(); err != nil {
			return err
		}
	}
}

// processReport passes a report to AcceptReport, and requests an assignment in reply if the report was accepted.
func (s *ControllerServer) processReport(router *connectedRouter, report *linkpb.Digest) {
	if reason := s.AcceptReport(report); reason != lease.Accepted {
		s.Log.Info("rejected a report", "router", report.Edge, "reason", reason, "incarnation", report.Life, "sequence", report.Seq)
		return
	}
	router.listVersion.Store(report.ListNo)
	router.notify()
}

// sendAssignments sends an assignment after every notification and keep-alive interval until the stream fails. Each is
// built only after the previous one was sent, so that a slow reader receives fewer assignments, but no outdated ones.
func (s *ControllerServer) sendAssignments(stream linkpb.Planner_FollowServer, router *connectedRouter, name string, failed <-chan error) error {
	keepAlive := time.NewTicker(seconds(s.Config.ReportIntervalSeconds * keepAliveIntervals))
	defer keepAlive.Stop()
	for {
		select {
		case err := <-failed:
			s.Log.Info("router disconnected", "router", name, "error", err)
			return err
		case <-router.wake:
		case <-keepAlive.C:
		}
		if err := stream.Send(s.NextAssignment(name, router.listVersion.Load())); err != nil {
			return err
		}
	}
}
