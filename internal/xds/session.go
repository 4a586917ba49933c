package xds

import (
	"fmt"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
)

// userAgent is the name that requests give this program.
const userAgent = "flintspread"

// Session is the protocol's state for one client: the version accepted of each resource type, over all its streams, and the
// nonces of the present stream. It does no I/O and is not safe for concurrent use.
//
// A stream begins with Open. Each response goes to OnResponse; one that is new is applied and then given to Settle, before or
// after newer responses of its type.
type Session struct {
	node          *core.Node
	resourceNames []string
	subscriptions map[string]*subscription // by type URL
}

// subscription is the state of one resource type.
type subscription struct {
	accepted string                       // version accepted last, "" none
	nonce    string                       // of the last response on this stream
	answer   *discovery.DiscoveryRequest  // to that response, nil before it is settled
	pending  *discovery.DiscoveryResponse // received and not settled yet
}

// NewSession makes the session of a client that names itself node and wants the resources of a relay.
func NewSession(node, relay string) *Session {
	s := &Session{
		node:          &core.Node{Id: node, Cluster: relay, UserAgentName: userAgent},
		resourceNames: []string{relay},
		subscriptions: map[string]*subscription{},
	}
	for _, typeURL := range Types {
		s.subscriptions[typeURL] = &subscription{}
	}
	return s
}

// Open gives the requests that begin a stream. They name the versions accepted so far, so that the service need not send those
// again, and no nonce, since nonces belong to one stream.
func (s *Session) Open() (requests []*discovery.DiscoveryRequest) {
	for _, typeURL := range Types {
		sub := s.subscriptions[typeURL]
		sub.nonce, sub.answer, sub.pending = "", nil, nil
		requests = append(requests, &discovery.DiscoveryRequest{Node: s.node, TypeUrl: typeURL,
			ResourceNames: s.resourceNames, VersionInfo: sub.accepted})
	}
	return requests
}

// OnResponse tells whether a response is new, so that its resources have to be applied and Settle to be called; if it is not,
// answer is what to send, nil for nothing. A nonce that comes again gets its answer again and is not applied twice. An error
// is a response outside of the protocol: the stream is to be closed.
func (s *Session) OnResponse(response *discovery.DiscoveryResponse) (isNew bool, answer *discovery.DiscoveryRequest, err error) {
	sub := s.subscriptions[response.TypeUrl]
	switch {
	case sub == nil:
		return false, nil, fmt.Errorf("a response of type %q, which was not asked for", response.TypeUrl)
	case response.Nonce == "":
		return false, nil, fmt.Errorf("a response of type %q without a nonce", response.TypeUrl)
	case response.Nonce == sub.nonce:
		return false, sub.answer, nil // nil before it is settled
	}
	sub.nonce, sub.pending, sub.answer = response.Nonce, response, nil
	return true, nil, nil
}

// Settle gives the request that accepts a response, or rejects it with a reason. A response that a newer one has overtaken gets
// none: the newer one's answer speaks for the type.
func (s *Session) Settle(response *discovery.DiscoveryResponse, reason error) *discovery.DiscoveryRequest {
	sub := s.subscriptions[response.TypeUrl]
	if reason == nil {
		sub.accepted = response.VersionInfo // in force, also where the answer is not sent
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

// versionNumber reads a version_info that has to be a whole number.
func versionNumber(versionInfo string) (uint64, error) {
	number, err := strconv.ParseUint(versionInfo, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("version_info %q is no whole number", versionInfo)
	}
	return number, nil
}
