package fakes

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"flintspread/internal/endpoints"
	"flintspread/internal/xds"
	"flintspread/internal/xds/xdspb"
)

// Control is a control service: xDS v3 aggregated discovery, state of the world. It sends what it is told to, right or wrong,
// and keeps what it was asked and answered.
type Control struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	srv   *grpc.Server
	Relay string // whom it serves, for its owner

	mu      sync.Mutex
	streams map[*controlStream]struct{}
	current map[string]*discovery.DiscoveryResponse // by type, for streams that begin
	nonces  int
	log     []string
}

type controlStream struct {
	out  chan *discovery.DiscoveryResponse
	drop chan struct{}
}

// StartControl serves on a listener.
func StartControl(l net.Listener, creds credentials.TransportCredentials) *Control {
	c := &Control{srv: grpc.NewServer(grpc.Creds(creds)), streams: map[*controlStream]struct{}{}, current: map[string]*discovery.DiscoveryResponse{}}
	discovery.RegisterAggregatedDiscoveryServiceServer(c.srv, c)
	go func() {
		if err := c.srv.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			panic(fmt.Errorf("fake control service: %w", err))
		}
	}()
	return c
}

// Stop ends the service and all streams.
func (c *Control) Stop() { c.srv.Stop() }

// Drop ends all streams; the service goes on.
func (c *Control) Drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.streams {
		close(s.drop)
		delete(c.streams, s)
	}
}

// Set makes a response the one that streams begin with, and sends it on those there are.
func (c *Control) Set(r *discovery.DiscoveryResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current[r.TypeUrl] = r
	c.send(r)
}

// Send sends a response on the streams there are, and a new nonce with it unless it has one.
func (c *Control) Send(r *discovery.DiscoveryResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send(r)
}

func (c *Control) send(r *discovery.DiscoveryResponse) {
	r = c.numbered(r)
	for s := range c.streams {
		s.out <- r
	}
}

func (c *Control) numbered(r *discovery.DiscoveryResponse) *discovery.DiscoveryResponse {
	if r.Nonce != "" {
		return r
	}
	c.nonces++
	r = proto.Clone(r).(*discovery.DiscoveryResponse)
	r.Nonce = fmt.Sprint("n", c.nonces)
	return r
}

// Streams is how many there are.
func (c *Control) Streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// Log gives what clients said, a line a request: type, version in force, nonce answered, reason.
func (c *Control) Log() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.log...)
}

// StreamAggregatedResources serves one client.
func (c *Control) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	me := &controlStream{out: make(chan *discovery.DiscoveryResponse, 1024), drop: make(chan struct{})}
	c.mu.Lock()
	c.streams[me] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.streams, me)
		c.mu.Unlock()
	}()
	failed := make(chan error, 1)
	go func() {
		for {
			req, err := s.Recv()
			if err != nil {
				failed <- err
				return
			}
			c.heard(me, req)
		}
	}()
	for {
		select {
		case err := <-failed:
			return err
		case <-me.drop:
			return fmt.Errorf("dropped")
		case r := <-me.out:
			if err := s.Send(r); err != nil {
				return err
			}
		}
	}
}

func (c *Control) heard(me *controlStream, req *discovery.DiscoveryRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := req.TypeUrl[strings.LastIndexByte(req.TypeUrl, '.')+1:]
	switch {
	case req.ResponseNonce == "":
		c.log = append(c.log, fmt.Sprintf("%s begins at %q", kind, req.VersionInfo))
		if r := c.current[req.TypeUrl]; r != nil && r.VersionInfo != req.VersionInfo {
			me.out <- c.numbered(r)
		}
	case req.ErrorDetail != nil:
		c.log = append(c.log, fmt.Sprintf("%s NACK %s, at %q: %s", kind, req.ResponseNonce, req.VersionInfo, req.ErrorDetail.Message))
	default:
		c.log = append(c.log, fmt.Sprintf("%s ACK %s, at %q", kind, req.ResponseNonce, req.VersionInfo))
	}
}

func pack(m proto.Message, typeURL string) *anypb.Any {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err) // of a message made here
	}
	return &anypb.Any{TypeUrl: typeURL, Value: text}
}

// DocumentResponse makes a response with one document.
func DocumentResponse(relay string, number, needsList uint64, text string) *discovery.DiscoveryResponse {
	d := &xdspb.Document{Name: relay, Schema: 1, Number: number, Text: text, NeedsList: needsList}
	return &discovery.DiscoveryResponse{VersionInfo: fmt.Sprint("v", number), TypeUrl: xds.TypeDocument, Resources: []*anypb.Any{pack(d, xds.TypeDocument)}}
}

// UnitsResponse makes a response with a list of units.
func UnitsResponse(relay string, version uint64, units []endpoints.Endpoint) *discovery.DiscoveryResponse {
	a := &endpoint.ClusterLoadAssignment{ClusterName: relay, Endpoints: []*endpoint.LocalityLbEndpoints{{}}}
	for _, u := range units {
		host, port, _ := net.SplitHostPort(u.Addr)
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			n = 0 // an address without a port is sent as it is: the receiver is to refuse it
		}
		fields, _ := structpb.NewStruct(map[string]any{"id": float64(u.ID), "build": float64(u.Build), "start": u.StartedAt, "zone": float64(u.Zone), "cell": float64(u.Cell)})
		health := core.HealthStatus_HEALTHY
		if u.State == "draining" {
			health = core.HealthStatus_DRAINING
		}
		a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, &endpoint.LbEndpoint{HealthStatus: health,
			Metadata: &core.Metadata{FilterMetadata: map[string]*structpb.Struct{"flintspread": fields}},
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{Address: &core.Address_SocketAddress{
				SocketAddress: &core.SocketAddress{Address: host, PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(n)}}}}}}})
	}
	return &discovery.DiscoveryResponse{VersionInfo: fmt.Sprint(version), TypeUrl: xds.TypeUnits, Resources: []*anypb.Any{pack(a, xds.TypeUnits)}}
}
