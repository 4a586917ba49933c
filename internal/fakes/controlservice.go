package fakes

import (
	"errors"
	"fmt"
	"net"
	"slices"
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

// ControlService is a fake control service for the state-of-the-world variant of the xDS v3 aggregated discovery
// service. It sends the responses that it is given, valid or not, and logs the requests of its clients.
type ControlService struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer

	// RouterGroup is the router group that the service is for. The service itself does not use it.
	RouterGroup string
	server      *grpc.Server

	mu      sync.Mutex
	streams map[*controlStream]struct{}
	initial map[string]*discovery.DiscoveryResponse // the first response on a new stream, by type URL
	nonces  int                                     // number of nonces used
	log     []string
}

// streamBuffer is the number of unsent responses of a stream at which Set and Send block.
const streamBuffer = 1024

type controlStream struct {
	responses chan *discovery.DiscoveryResponse
	closed    chan struct{}
}

// StartControlService starts a service on a listener, which the service then owns.
func StartControlService(l net.Listener, creds credentials.TransportCredentials) *ControlService {
	c := &ControlService{
		server:  grpc.NewServer(grpc.Creds(creds)),
		streams: map[*controlStream]struct{}{},
		initial: map[string]*discovery.DiscoveryResponse{},
	}
	discovery.RegisterAggregatedDiscoveryServiceServer(c.server, c)
	go func() {
		if err := c.server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			panic(fmt.Errorf("fake control service: %w", err))
		}
	}()
	return c
}

// Stop ends the service and all streams.
func (c *ControlService) Stop() { c.server.Stop() }

// CloseStreams ends all streams. The service keeps running and accepts new streams.
func (c *ControlService) CloseStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream := range c.streams {
		close(stream.closed)
		delete(c.streams, stream)
	}
}

// Set sends a response on the open streams, and makes it the first response of its type on new streams.
func (c *ControlService) Set(r *discovery.DiscoveryResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initial[r.TypeUrl] = r
	c.sendLocked(r)
}

// Send sends a response on the open streams. A response without a nonce gets a new one.
func (c *ControlService) Send(r *discovery.DiscoveryResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(r)
}

func (c *ControlService) sendLocked(r *discovery.DiscoveryResponse) {
	r = c.withNonce(r)
	for stream := range c.streams {
		stream.responses <- r
	}
}

// withNonce returns a copy of a response with a new nonce, or the response itself if it has a nonce. c.mu must be held.
func (c *ControlService) withNonce(r *discovery.DiscoveryResponse) *discovery.DiscoveryResponse {
	if r.Nonce != "" {
		return r
	}
	c.nonces++
	r = proto.Clone(r).(*discovery.DiscoveryResponse)
	r.Nonce = fmt.Sprint("n", c.nonces)
	return r
}

// Streams returns the number of open streams.
func (c *ControlService) Streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// Log returns a line for each request received: the type, whether the request subscribes, acknowledges or rejects, the
// version in force at the client, and the reason of a rejection.
func (c *ControlService) Log() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.log)
}

// StreamAggregatedResources serves one stream until the client, CloseStreams or Stop ends it.
func (c *ControlService) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	stream := &controlStream{responses: make(chan *discovery.DiscoveryResponse, streamBuffer), closed: make(chan struct{})}
	c.mu.Lock()
	c.streams[stream] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.streams, stream)
		c.mu.Unlock()
	}()
	failed := make(chan error, 1)
	go func() {
		for {
			request, err := s.Recv()
			if err != nil {
				failed <- err
				return
			}
			c.onRequest(stream, request)
		}
	}()
	for {
		select {
		case err := <-failed:
			return err
		case <-stream.closed:
			return errors.New("fake control service: stream closed by CloseStreams")
		case r := <-stream.responses:
			if err := s.Send(r); err != nil {
				return err
			}
		}
	}
}

// onRequest logs a request. The first request for a type is answered with the initial response, unless the client
// already has that version.
func (c *ControlService) onRequest(stream *controlStream, request *discovery.DiscoveryRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := request.TypeUrl[strings.LastIndexByte(request.TypeUrl, '.')+1:]
	switch {
	case request.ResponseNonce == "":
		c.log = append(c.log, fmt.Sprintf("%s begins at %q", kind, request.VersionInfo))
		if r := c.initial[request.TypeUrl]; r != nil && r.VersionInfo != request.VersionInfo {
			stream.responses <- c.withNonce(r)
		}
	case request.ErrorDetail != nil:
		c.log = append(c.log, fmt.Sprintf("%s NACK %s, at %q: %s", kind, request.ResponseNonce, request.VersionInfo, request.ErrorDetail.Message))
	default:
		c.log = append(c.log, fmt.Sprintf("%s ACK %s, at %q", kind, request.ResponseNonce, request.VersionInfo))
	}
}

func newAny(m proto.Message, typeURL string) *anypb.Any {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err) // the messages come from this package and can always be marshalled
	}
	return &anypb.Any{TypeUrl: typeURL, Value: text}
}

// DocumentResponse returns a response with one configuration document.
func DocumentResponse(routerGroup string, number, needsList uint64, text string) *discovery.DiscoveryResponse {
	document := &xdspb.Document{Name: routerGroup, Schema: 1, Number: number, Text: text, NeedsList: needsList}
	return &discovery.DiscoveryResponse{
		VersionInfo: fmt.Sprint("v", number),
		TypeUrl:     xds.TypeDocument,
		Resources:   []*anypb.Any{newAny(document, xds.TypeDocument)},
	}
}

// EndpointsResponse returns a response with an endpoint list.
func EndpointsResponse(routerGroup string, version uint64, list []endpoints.Endpoint) *discovery.DiscoveryResponse {
	locality := &endpoint.LocalityLbEndpoints{}
	for _, e := range list {
		locality.LbEndpoints = append(locality.LbEndpoints, lbEndpoint(e))
	}
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: routerGroup, Endpoints: []*endpoint.LocalityLbEndpoints{locality}}
	return &discovery.DiscoveryResponse{
		VersionInfo: fmt.Sprint(version),
		TypeUrl:     xds.TypeEndpoints,
		Resources:   []*anypb.Any{newAny(assignment, xds.TypeEndpoints)},
	}
}

// lbEndpoint returns one endpoint of a ClusterLoadAssignment. An address without a port is sent with port 0, which the
// receiver must reject.
func lbEndpoint(e endpoints.Endpoint) *endpoint.LbEndpoint {
	health := core.HealthStatus_HEALTHY
	if e.State == endpoints.StateDraining {
		health = core.HealthStatus_DRAINING
	}
	metadata, err := structpb.NewStruct(map[string]any{
		"id": float64(e.ID), "build": float64(e.Build), "start": e.StartedAt, "zone": float64(e.Zone), "cell": float64(e.Cell),
	})
	if err != nil {
		panic(err) // numbers can always be converted
	}
	address := &core.SocketAddress{PortSpecifier: &core.SocketAddress_PortValue{}}
	if host, port, err := net.SplitHostPort(e.Addr); err == nil {
		address.Address = host
		if number, err := strconv.ParseUint(port, 10, 16); err == nil {
			address.PortSpecifier = &core.SocketAddress_PortValue{PortValue: uint32(number)}
		}
	}
	return &endpoint.LbEndpoint{
		HealthStatus: health,
		Metadata:     &core.Metadata{FilterMetadata: map[string]*structpb.Struct{"flintspread": metadata}},
		HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{
			Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: address}},
		}},
	}
}
