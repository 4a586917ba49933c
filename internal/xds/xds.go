// Package xds takes configuration versions and endpoint lists from control services: xDS v3, aggregated discovery over one gRPC
// stream a service, state of the world. This package keeps the protocol; what a version leads to, its Handler decides.
//
// Durations are float64 seconds, as in the settings.
package xds

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc"
	"flintspread/internal/endpoints"
)

// The resource types that a client subscribes to.
const (
	TypeEndpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" // endpoint lists
	TypeDocument  = "type.googleapis.com/flintspread.config.v1.Document"                 // configuration versions
)

// Types lists the resource types in the order in which they are asked for: one that depends on another comes after it.
var Types = [...]string{TypeEndpoints, TypeDocument}

// Handler is what takes endpoint lists and configuration versions. Its calls come from a goroutine for each service that is
// followed, so that they must be safe for concurrent use. They may write to disk, and should not wait for anything else.
type Handler struct {
	// OnEndpoints applies an endpoint list; an error rejects it.
	OnEndpoints func(*endpoints.Update) error
	// OnConfig applies a version, rejects it with an error, or says that it has to wait.
	OnConfig func(*configstate.Version) (configstate.Outcome, error)
	// Recheck decides again on a version that had to wait: after each response and once a recheck interval.
	Recheck func(*configstate.Version) (configstate.Outcome, error)
}

// FollowAll follows all control services of the settings until ctx ends, and then gives nil. node names this program to them,
// relay the resources that it wants. An error is one of the settings.
func FollowAll(ctx context.Context, control *config.Control, log *slog.Logger, node, relay string, recheckSeconds float64, handler Handler) error {
	transport := insecure.NewCredentials()
	if control.Cert != "" {
		var err error
		transport, err = controlrpc.Credentials(&config.Link{Cert: control.Cert, Key: control.Key, CA: control.CA, Peer: control.Peer}, log)
		if err != nil {
			return fmt.Errorf(":control: %w", err)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, address := range control.Addresses {
		client := &Client{
			Address: address, Credentials: transport, Log: log, Session: NewSession(node, relay), Relay: relay,
			BackoffMinSeconds: control.BackLeast, BackoffMaxSeconds: control.BackMost, SilenceSeconds: control.SilenceSeconds,
			MaxResponseBytes: control.MaxResponseBytes, RecheckSeconds: recheckSeconds, Handler: handler,
		}
		group.Go(func() error { return client.Run(ctx) })
	}
	return group.Wait()
}

// seconds converts a duration of the settings.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
