package xds

import (
	"context"

	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
	"flintspread/internal/watch"
)

// Client follows a control service.
type Client struct {
	Address     string
	Credentials       credentials.TransportCredentials
	Log         *slog.Logger
	Session     *Session
	Relay       string
	BackoffMinSeconds, BackoffMaxSeconds float64 // s of pause before coming back
	SilenceSeconds     float64 // s after which the service is asked whether it lives
	MaxResponseBytes   int     // of one response; a larger one breaks the stream before it is held
	// List takes a list; Settings takes a version or says that it waits; a reason turns it down. Neither may wait.
	ApplyEndpoints     func(*endpoints.Update) error
	OfferVersion func(*configstate.Version) (configstate.Outcome, error)
	// Look is asked for a version that waited, each time that a list was taken and every Beat seconds.
	RecheckVersion func(*configstate.Version) (configstate.Outcome, error)
	RecheckSeconds float64
}

// Run follows until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	conn, err := grpc.NewClient("passthrough:///"+c.Address, grpc.WithTransportCredentials(c.Credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.MaxResponseBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: seconds(max(c.SilenceSeconds, 10)), Timeout: seconds(c.SilenceSeconds), PermitWithoutStream: false}))
	if err != nil {
		return err
	}
	defer conn.Close()
	for n := 0; ctx.Err() == nil; n++ {
		came, err := c.runStream(ctx, conn)
		if ctx.Err() != nil {
			return nil
		}
		if came > 0 {
			n = 0
		}
		// Half of the pause is chance: a hundred relays that lost the service together come back apart.
		wait := watch.Backoff(n, c.BackoffMinSeconds, c.BackoffMaxSeconds, rand.Float64())
		c.Log.Warn("control stream broke", "address", c.Address, "responses", came, "error", err, "again_in", fmt.Sprintf("%.2fs", wait))
		select {
		case <-ctx.Done():
		case <-time.After(seconds(wait)):
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runStream holds one stream until it breaks, and tells how many responses came.
func (c *Client) runStream(ctx context.Context, conn *grpc.ClientConn) (came int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return 0, err
	}
	for _, req := range c.Session.Open() {
		if err := s.Send(req); err != nil {
			return 0, c.streamError(s, err)
		}
	}
	type arrival struct {
		r   *discovery.DiscoveryResponse
		err error
	}
	arrivals := make(chan arrival)
	go func() {
		for {
			r, err := s.Recv()
			select {
			case arrivals <- arrival{r, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	look := time.NewTicker(seconds(c.RecheckSeconds))
	defer look.Stop()
	var waits *waitingVersion // the document that waits
	for {
		select {
		case <-ctx.Done():
			return came, ctx.Err()
		case <-look.C:
		case a := <-arrivals:
			if a.err != nil {
				return came, a.err
			}
			came++
			if err := c.handleResponse(s, a.r, &waits); err != nil {
				return came, err
			}
		}
		if waits == nil {
			continue
		}
		if o, err := c.RecheckVersion(waits.version); o != configstate.Waiting {
			r := waits.response
			waits = nil
			if err := c.answer(s, r, err); err != nil {
				return came, err
			}
		}
	}
}

// waitingVersion is a version that can't be answered yet.
type waitingVersion struct {
	response *discovery.DiscoveryResponse
	version *configstate.Version
}

// streamError finds the stream's own error behind a failed sending.
func (c *Client) streamError(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, err error) error {
	if _, e := s.Recv(); e != nil {
		return e
	}
	return err
}

// handleResponse enters one response.
func (c *Client) handleResponse(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, r *discovery.DiscoveryResponse,
	waits **waitingVersion) error {
	news, again, err := c.Session.OnResponse(r)
	if err != nil {
		return err
	}
	if again != nil {
		return s.Send(again)
	}
	if !news {
		return nil
	}
	if r.TypeUrl == TypeUnits {
		line, err := EndpointUpdate(r)
		if err == nil {
			err = c.ApplyEndpoints(line)
		}
		return c.answer(s, r, err)
	}
	*waits = nil // what waited is overtaken by this one
	v, err := ReadDocument(r, c.Relay)
	if err != nil {
		return c.answer(s, r, err)
	}
	o, err := c.OfferVersion(v)
	if o == configstate.Waiting && err == nil {
		c.Log.Info("settings wait for the list that they belong with", "version", v.Number, "list", v.RequiredListVersion)
		*waits = &waitingVersion{r, v}
		return nil
	}
	return c.answer(s, r, err)
}

func (c *Client) answer(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, r *discovery.DiscoveryResponse, reason error) error {
	if reason != nil {
		c.Log.Error("turned down", "type", r.TypeUrl, "version", r.VersionInfo, "nonce", r.Nonce, "reason", reason)
	} else {
		c.Log.Info("taken", "type", r.TypeUrl, "version", r.VersionInfo, "nonce", r.Nonce)
	}
	if req := c.Session.Settle(r, reason); req != nil {
		return s.Send(req)
	}
	return nil
}
