package xds

import (
	"context"
	"fmt"
	"log/slog"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc"
	"flintspread/internal/endpoints"
)

// Taker is what takes lists and versions. Its calls come from several goroutines where several services are followed.
type Taker struct {
	List     func(*endpoints.Update) error
	Settings func(*configstate.Version) (configstate.Outcome, error)
	Look     func(*configstate.Version) (configstate.Outcome, error)
}

// FollowAll follows all services of a control's settings until ctx ends.
func FollowAll(ctx context.Context, c *config.Control, log *slog.Logger, node, relay string, beat float64, t Taker) error {
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if c.Cert != "" {
		var err error
		if creds, err = controlrpc.Credentials(&config.Link{Cert: c.Cert, Key: c.Key, CA: c.CA, Peer: c.Peer}, log); err != nil {
			return fmt.Errorf(":control: %w", err)
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range c.Addresses {
		client := &Client{Address: address, Credentials: creds, Log: log, Session: NewSession(node, relay), Relay: relay, BackoffMinSeconds: c.BackLeast,
			BackoffMaxSeconds: c.BackMost, SilenceSeconds: c.Silence, MaxResponseBytes: c.MostBytes, RecheckSeconds: beat, ApplyEndpoints: t.List, OfferVersion: t.Settings, RecheckVersion: t.Look}
		g.Go(func() error { return client.Run(ctx) })
	}
	return g.Wait()
}
