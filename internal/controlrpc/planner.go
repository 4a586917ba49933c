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
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/lease"
)

// ControllerServer is a planner's end of all its links.
type ControllerServer struct {
	linkpb.UnimplementedPlannerServer
	Config *config.Link
	Log    *slog.Logger
	Relay  string
	// Digest enters what an edge sent and says whether it counts. It must not wait.
	AcceptReport func(*linkpb.Digest) lease.Reason
	// View makes the next view for an edge that has a version of the list. It must not wait.
	NextAssignment func(edge string, listNo uint64) *linkpb.View

	mu    sync.Mutex
	streams map[*routerStream]struct{}
}

type routerStream struct{ wake chan struct{} }

// Listen opens the link's address. A socket that a killed planner left is taken over; the caller holds the state's lock,
// so that it is nobody's.
func Listen(set *config.Link) (net.Listener, error) {
	path, ok := set.Unix()
	if !ok {
		return net.Listen("tcp", set.Address)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	return net.Listen("unix", path)
}

// Serve serves until ctx ends.
func (p *ControllerServer) Serve(ctx context.Context, l net.Listener) error {
	c, err := Credentials(p.Config, p.Log)
	if err != nil {
		return fmt.Errorf(":link: %w", err)
	}
	p.mu.Lock()
	p.streams = map[*routerStream]struct{}{}
	p.mu.Unlock()
	srv := grpc.NewServer(grpc.Creds(c), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(seconds(p.Config.Silence)))
	linkpb.RegisterPlannerServer(srv, p)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) && ctx.Err() == nil {
		return err
	}
	return nil
}

// NotifyAll has every edge get a view soon.
func (p *ControllerServer) NotifyAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		s.notify()
	}
}

// notify asks for a view; several requests that come before it is made are one.
func (s *routerStream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Follow serves one edge's link.
func (p *ControllerServer) Follow(s linkpb.Planner_FollowServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if first.Major != lease.SchemaMajor {
		return status.Errorf(codes.FailedPrecondition, "edge %q speaks schema %d.%d, this planner %d.%d", first.Edge, first.Major,
			first.Minor, lease.SchemaMajor, lease.SchemaMinor)
	}
	if first.Relay != p.Relay {
		return status.Errorf(codes.FailedPrecondition, "edge %q is of relay %q, this planner of %q", first.Edge, first.Relay, p.Relay)
	}
	me := &routerStream{wake: make(chan struct{}, 1)}
	p.mu.Lock()
	p.streams[me] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.streams, me)
		p.mu.Unlock()
	}()
	p.Log.Info("edge linked", "edge", first.Edge, "life", first.Life)
	var at sync.Mutex
	listNo := uint64(0)
	take := func(d *linkpb.Digest) {
		if r := p.AcceptReport(d); r != lease.Accepted {
			p.Log.Info("digest refused", "edge", d.Edge, "reason", r, "life", d.Life, "seq", d.Seq)
			return
		}
		at.Lock()
		listNo = d.ListNo
		at.Unlock()
		me.notify()
	}
	failed := make(chan error, 1)
	go func() {
		for d := first; ; {
			take(d)
			var err error
			if d, err = s.Recv(); err != nil {
				failed <- err
				return
			}
		}
	}()
	// Views are made when they can be sent: an edge that reads slowly gets fewer, never older ones.
	alive := time.NewTicker(seconds(p.Config.Beat * 2))
	defer alive.Stop()
	for {
		select {
		case err := <-failed:
			p.Log.Info("edge gone", "edge", first.Edge, "error", err)
			return err
		case <-me.wake:
		case <-alive.C:
		}
		at.Lock()
		no := listNo
		at.Unlock()
		if err := s.Send(p.NextAssignment(first.Edge, no)); err != nil {
			return err
		}
	}
}
