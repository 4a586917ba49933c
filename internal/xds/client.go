package xds

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"flintspread/internal/configstate"
	"flintspread/internal/watch"
)

// minKeepAliveSeconds is the shortest time without traffic after which a service is pinged; gRPC allows no shorter one.
const minKeepAliveSeconds = 10

// Client follows one control service. Its fields are set before Run and not changed after it.
type Client struct {
	Address     string
	Credentials credentials.TransportCredentials
	Log         *slog.Logger
	Session     *Session // this client's alone
	Relay       string   // the name of the resources it wants
	Handler     Handler  // called from Run's goroutine

	BackoffMinSeconds float64 // pause before the first try to reconnect
	BackoffMaxSeconds float64 // longest pause
	SilenceSeconds    float64 // that a service may leave a keep-alive ping unanswered, and at least 10 s between those
	RecheckSeconds    float64 // between two decisions on a version that waits
	MaxResponseBytes  int     // of one response; a larger one breaks the stream before it is held
}

// discoveryStream is the RPC's stream.
type discoveryStream = discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient

// Run follows the service until ctx ends, and then gives nil; an error is one of the settings.
func (c *Client) Run(ctx context.Context) error {
	conn, err := grpc.NewClient("passthrough:///"+c.Address,
		grpc.WithTransportCredentials(c.Credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.MaxResponseBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                seconds(max(c.SilenceSeconds, minKeepAliveSeconds)),
			Timeout:             seconds(c.SilenceSeconds),
			PermitWithoutStream: false,
		}))
	if err != nil {
		return err
	}
	defer conn.Close()
	for failures := 0; ctx.Err() == nil; failures++ {
		responses, err := c.runStream(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if responses > 0 {
			failures = 0
		}
		// Half of the pause is random: a hundred relays that lost the service together come back apart.
		pauseSeconds := watch.Backoff(failures, c.BackoffMinSeconds, c.BackoffMaxSeconds, rand.Float64())
		c.Log.Warn("control stream lost", "address", c.Address, "responses", responses, "error", err, "retry_in_seconds", pauseSeconds)
		select {
		case <-ctx.Done():
		case <-time.After(seconds(pauseSeconds)):
		}
	}
	return nil
}

// runStream holds one stream until it breaks or ctx ends, and tells how many responses came.
func (c *Client) runStream(ctx context.Context, conn *grpc.ClientConn) (responses int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return 0, err
	}
	for _, request := range c.Session.Open() {
		if err := rpc.Send(request); err != nil {
			return 0, streamError(rpc, err)
		}
	}
	arrivals := make(chan arrival)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel() // ends the receiver, which is then waited for
	receiving.Go(func() { receive(ctx, rpc, arrivals) })
	recheck := time.NewTicker(seconds(c.RecheckSeconds))
	defer recheck.Stop()
	stream := &clientStream{client: c, rpc: rpc}
	for {
		select {
		case <-ctx.Done():
			return responses, ctx.Err()
		case <-recheck.C:
		case next := <-arrivals:
			if next.err != nil {
				return responses, next.err
			}
			responses++
			if err := stream.onResponse(next.response); err != nil {
				return responses, err
			}
		}
		if err := stream.recheck(); err != nil {
			return responses, err
		}
	}
}

// streamError finds the stream's own error behind a failed send.
func streamError(rpc discoveryStream, sendErr error) error {
	if _, err := rpc.Recv(); err != nil {
		return err
	}
	return sendErr
}

// arrival is a response, or the error that ended the stream.
type arrival struct {
	response *discovery.DiscoveryResponse
	err      error
}

// receive passes on what arrives until the stream breaks or ctx ends.
func receive(ctx context.Context, rpc discoveryStream, arrivals chan<- arrival) {
	for {
		response, err := rpc.Recv()
		select {
		case arrivals <- arrival{response, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// clientStream is one open stream, used by one goroutine.
type clientStream struct {
	client  *Client
	rpc     discoveryStream
	waiting *waitingVersion // nil: none
}

// waitingVersion is a version that can't be answered yet.
type waitingVersion struct {
	response *discovery.DiscoveryResponse
	version  *configstate.Version
}

// onResponse enters one response, and answers it unless it has to wait. An error breaks the stream.
func (s *clientStream) onResponse(response *discovery.DiscoveryResponse) error {
	isNew, answer, err := s.client.Session.OnResponse(response)
	if err != nil {
		return err
	}
	if answer != nil {
		return s.rpc.Send(answer)
	}
	if !isNew {
		return nil
	}
	if response.TypeUrl == TypeEndpoints {
		return s.answer(response, s.applyEndpoints(response))
	}
	return s.offerVersion(response)
}

// applyEndpoints passes on an endpoint list; an error rejects it.
func (s *clientStream) applyEndpoints(response *discovery.DiscoveryResponse) error {
	update, err := EndpointUpdate(response)
	if err != nil {
		return err
	}
	return s.client.Handler.OnEndpoints(update)
}

// offerVersion passes on a configuration version, and answers it unless it has to wait. It replaces one that waits.
func (s *clientStream) offerVersion(response *discovery.DiscoveryResponse) error {
	s.waiting = nil
	version, err := ReadDocument(response, s.client.Relay)
	if err != nil {
		return s.answer(response, err)
	}
	outcome, err := s.client.Handler.OnConfig(version)
	if outcome == configstate.Waiting && err == nil {
		s.client.Log.Info("configuration version waits", "version", version.Number, "required_list_version", version.RequiredListVersion)
		s.waiting = &waitingVersion{response, version}
		return nil
	}
	return s.answer(response, err)
}

// recheck answers the version that waits, if its outcome is known by now.
func (s *clientStream) recheck() error {
	if s.waiting == nil {
		return nil
	}
	outcome, err := s.client.Handler.Recheck(s.waiting.version)
	if outcome == configstate.Waiting {
		return nil
	}
	response := s.waiting.response
	s.waiting = nil
	return s.answer(response, err)
}

// answer logs what became of a response and sends it, rejected with a reason or accepted without one.
func (s *clientStream) answer(response *discovery.DiscoveryResponse, reason error) error {
	log := s.client.Log.With("type", response.TypeUrl, "version", response.VersionInfo, "nonce", response.Nonce)
	if reason != nil {
		log.Error("resources rejected", "error", reason)
	} else {
		log.Info("resources accepted")
	}
	if request := s.client.Session.Settle(response, reason); request != nil {
		return s.rpc.Send(request)
	}
	return nil
}
