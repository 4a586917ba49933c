// Package xds receives configuration versions and endpoint lists from control services over xDS v3: state-of-the-world
// aggregated discovery, one gRPC stream per service. It implements the protocol only; a Handler decides what to accept.
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

// Types lists the resource types in the order of subscription: a type comes after those that it depends on.
var Types = [...]string{TypeEndpoints, TypeDocument}

// Handler receives endpoint lists and configuration versions. Its functions are called from one goroutine per control
// service, so they must be safe for concurrent use. They may write to disk, but should not block otherwise.
type Handler struct {
	// OnEndpoints applies an endpoint list; an error rejects it.
	OnEndpoints func(*endpoints.Update) error
	// OnConfig applies a version, rejects it with an error, or returns configstate.Waiting if it cannot do either yet.
	OnConfig func(*configstate.Version) (configstate.Outcome, error)
	// Recheck is like OnConfig for a version that waits. It is called after each response and at each recheck interval.
	Recheck func(*configstate.Version) (configstate.Outcome, error)
}

// FollowAll follows all configured control services until ctx ends, and then returns nil. node identifies this program
// to them, and routerGroup is the name of the resources to subscribe to. An error means that the settings are invalid.
func FollowAll(ctx context.Context, control *config.Control, log *slog.Logger, node, routerGroup string, recheckSeconds float64, handler Handler) error {
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
			Address: address, Credentials: transport, Log: log, Session: NewSession(node, routerGroup), RouterGroup: routerGroup,
			BackoffMinSeconds: control.BackoffMinSeconds, BackoffMaxSeconds: control.BackoffMaxSeconds, SilenceSeconds: control.SilenceSeconds,
			MaxResponseBytes: control.MaxResponseBytes, RecheckSeconds: recheckSeconds, Handler: handler,
		}
		group.Go(func() error { return client.Run(ctx) })
	}
	return group.Wait()
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
