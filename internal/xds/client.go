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

// minKeepAliveSeconds is the shortest idle time before a keep-alive ping; gRPC allows no shorter one.
const minKeepAliveSeconds = 10

// Client follows one control service. Its fields must be set before Run and not changed afterwards.
type Client struct {
	Address     string
	Credentials credentials.TransportCredentials
	Log         *slog.Logger
	Session     *Session // not shared with other clients
	RouterGroup string   // the name of the resources to subscribe to
	Handler     Handler  // called from Run's goroutine

	BackoffMinSeconds float64 // initial backoff between connections
	BackoffMaxSeconds float64 // maximum backoff between connections
	SilenceSeconds    float64 // timeout of a keep-alive ping, and the idle time before one, which is at least 10 s
	RecheckSeconds    float64 // interval at which a waiting version is rechecked
	MaxResponseBytes  int     // maximum size of a response; a larger one breaks the stream before it is buffered
}

// discoveryStream is the client side of the xDS stream.
type discoveryStream = discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient

// Run follows the service until ctx ends, and then returns nil. An error means that the settings are invalid.
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
		// Jitter spreads the reconnections of clients that lost the service at the same time.
		pauseSeconds := watch.Backoff(failures, c.BackoffMinSeconds, c.BackoffMaxSeconds, rand.Float64())
		c.Log.Warn("control stream failed; reconnecting after a delay", "address", c.Address, "responses", responses, "error", err, "retry_in_seconds", pauseSeconds)
		select {
		case <-ctx.Done():
		case <-time.After(seconds(pauseSeconds)):
		}
	}
	return nil
}

// runStream runs one stream until it breaks or ctx ends, and returns the number of responses received.
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
	results := make(chan received)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel() // runs before receiving.Wait and ends receive
	receiving.Go(func() { receive(ctx, rpc, results) })
	recheck := time.NewTicker(seconds(c.RecheckSeconds))
	defer recheck.Stop()
	stream := &clientStream{client: c, rpc: rpc}
	for {
		select {
		case <-ctx.Done():
			return responses, ctx.Err()
		case <-recheck.C:
		case next := <-results:
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

// streamError returns the stream's own error after a failed send, which gRPC reports only to Recv.
func streamError(rpc discoveryStream, sendErr error) error {
	if _, err := rpc.Recv(); err != nil {
		return err
	}
	return sendErr
}

// received is a response from the service, or the error that ended the stream.
type received struct {
	response *discovery.DiscoveryResponse
	err      error
}

// receive sends responses to results until the stream breaks or ctx ends.
func receive(ctx context.Context, rpc discoveryStream, results chan<- received) {
	for {
		response, err := rpc.Recv()
		select {
		case results <- received{response, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// clientStream is one open stream. It is not safe for concurrent use.
type clientStream struct {
	client  *Client
	rpc     discoveryStream
	waiting *waitingVersion // nil: none
}

// waitingVersion is a version that cannot be accepted or rejected yet.
type waitingVersion struct {
	response *discovery.DiscoveryResponse
	version  *configstate.Version
}

// onResponse processes one response, and answers it unless its version has to wait. An error means that the stream must
// be closed.
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
	return s.handleVersion(response)
}

// applyEndpoints passes an endpoint list to the handler; an error rejects it.
func (s *clientStream) applyEndpoints(response *discovery.DiscoveryResponse) error {
	update, err := EndpointUpdate(response)
	if err != nil {
		return err
	}
	return s.client.Handler.OnEndpoints(update)
}

// handleVersion passes a configuration version to the handler, and answers the response unless the version has to wait.
// A version that was waiting before is dropped.
func (s *clientStream) handleVersion(response *discovery.DiscoveryResponse) error {
	s.waiting = nil
	version, err := ReadDocument(response, s.client.RouterGroup)
	if err != nil {
		return s.answer(response, err)
	}
	outcome, err := s.client.Handler.OnConfig(version)
	if outcome == configstate.Waiting && err == nil {
		s.client.Log.Info("configuration version waits for the endpoint list that it requires", "version", version.Number, "required_list_version", version.RequiredListVersion)
		s.waiting = &waitingVersion{response, version}
		return nil
	}
	return s.answer(response, err)
}

// recheck calls Handler.Recheck for the waiting version, if any. If the version is now accepted or rejected, it
// acknowledges the response that contained the version, with an ACK or a NACK.
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

// answer logs and sends the outcome of a response: a NACK with reason, or an ACK if reason is nil.
func (s *clientStream) answer(response *discovery.DiscoveryResponse, reason error) error {
	log := s.client.Log.With("type", response.TypeUrl, "version", response.VersionInfo, "nonce", response.Nonce)
	if reason != nil {
		log.Error("resources rejected", "error", reason)
	} else {
		log.Info("resources accepted")
	}
	if request := s.client.Session.Acknowledge(response, reason); request != nil {
		return s.rpc.Send(request)
	}
	return nil
}
