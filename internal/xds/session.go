package xds

import (
	"fmt"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
)

// userAgent identifies this program in requests.
const userAgent = "flintspread"

// Session is the xDS protocol state of one client: the accepted version of each resource type, across streams, and the
// nonces of the current stream. It does no I/O and is not safe for concurrent use.
//
// Call Open at the start of a stream and OnResponse for each response. Apply a new response and then pass it to
// Acknowledge, which may happen after newer responses of its type have arrived.
type Session struct {
	node          *core.Node
	resourceNames []string
	subscriptions map[string]*subscription // by type URL
}

// subscription is the state of one resource type.
type subscription struct {
	accepted string                       // last accepted version; "" if none
	nonce    string                       // of the last response on the current stream
	answer   *discovery.DiscoveryRequest  // ACK or NACK of that response; nil before Acknowledge
	pending  *discovery.DiscoveryResponse // the last response, until Acknowledge; then nil
}

// NewSession returns the session of a client that identifies itself as node and subscribes to the resources of a router
// group.
func NewSession(node, routerGroup string) *Session {
	s := &Session{
		node:          &core.Node{Id: node, Cluster: routerGroup, UserAgentName: userAgent},
		resourceNames: []string{routerGroup},
		subscriptions: map[string]*subscription{},
	}
	for _, typeURL := range Types {
		s.subscriptions[typeURL] = &subscription{}
	}
	return s
}

// Open returns the requests that begin a stream. They contain the accepted versions, so that the service need not
// resend them, but no nonces, because a nonce is valid on one stream only.
func (s *Session) Open() (requests []*discovery.DiscoveryRequest) {
	for _, typeURL := range Types {
		sub := s.subscriptions[typeURL]
		sub.nonce, sub.answer, sub.pending = "", nil, nil
		requests = append(requests, &discovery.DiscoveryRequest{Node: s.node, TypeUrl: typeURL,
			ResourceNames: s.resourceNames, VersionInfo: sub.accepted})
	}
	return requests
}

// OnResponse reports whether a response is new. If so, the caller must apply its resources and call Acknowledge. If the
// response repeats the last nonce, it must not be applied again, and answer is the answer to send again, or nil if
// there is none yet. An error means that the response violates the protocol and the caller must close the stream.
func (s *Session) OnResponse(response *discovery.DiscoveryResponse) (isNew bool, answer *discovery.DiscoveryRequest, err error) {
	sub := s.subscriptions[response.TypeUrl]
	switch {
	case sub == nil:
		return false, nil, fmt.Errorf("response of type %q, which has no subscription", response.TypeUrl)
	case response.Nonce == "":
		return false, nil, fmt.Errorf("response of type %q has no nonce", response.TypeUrl)
	case response.Nonce == sub.nonce:
		return false, sub.answer, nil
	}
	sub.nonce, sub.pending, sub.answer = response.Nonce, response, nil
	return true, nil, nil
}

// Acknowledge returns the request that accepts a response (ACK), or rejects it if reason is not nil (NACK). It returns
// nil if a newer response of the type has arrived, because the answer to that one covers both.
func (s *Session) Acknowledge(response *discovery.DiscoveryResponse, reason error) *discovery.DiscoveryRequest {
	sub := s.subscriptions[response.TypeUrl]
	if reason == nil {
		sub.accepted = response.VersionInfo // the version is in force even if no answer is sent
	}
	if sub.pending != response {
		return nil
	}
	sub.pending = nil
	sub.answer = &discovery.DiscoveryRequest{TypeUrl: response.TypeUrl, ResourceNames: s.resourceNames, ResponseNonce: response.Nonce,
		VersionInfo: sub.accepted}
	if reason != nil {
		sub.answer.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: reason.Error()}
	}
	return sub.answer
}

// versionNumber parses a version_info, which must be a whole number.
func versionNumber(versionInfo string) (uint64, error) {
	number, err := strconv.ParseUint(versionInfo, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("version_info %q is no whole number", versionInfo)
	}
	return number, nil
}
