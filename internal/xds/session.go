// Package xds takes settings and unit lists from a control service: xDS v3, aggregated discovery over one gRPC stream,
// state of the world. What a version leads to, its taker decides; this package keeps the protocol.
package xds

import (
	"fmt"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
)

// The resource types that are asked for, in the order in which one that depends on the other comes after it.
const (
	TypeUnits    = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	TypeDocument = "type.googleapis.com/flintspread.config.v1.Document"
)

// Types lists them.
var Types = [...]string{TypeUnits, TypeDocument}

// Session is the protocol's state for one client: what is in force of each type, over all its streams, and the nonces of the
// present one. It does no I/O.
type Session struct {
	node  *core.Node
	resourceNames []string // of the resources wanted
	subscriptions map[string]*subscription
}

type subscription struct {
	accepted string // last taken, "" none
	nonce   string // last that came on this stream
	answer   *discovery.DiscoveryRequest
	pending *discovery.DiscoveryResponse // came, not settled yet
}

// NewSession is a client's of a name, which wants the resources of its relay.
func NewSession(node, relay string) *Session {
	s := &Session{node: &core.Node{Id: node, Cluster: relay, UserAgentName: "flintspread"}, resourceNames: []string{relay}, subscriptions: map[string]*subscription{}}
	for _, t := range Types {
		s.subscriptions[t] = &subscription{}
	}
	return s
}

// RestoreVersion notes a version that was taken before, in an earlier life.
func (s *Session) RestoreVersion(typeURL, version string) { s.subscriptions[typeURL].accepted = version }

// Open gives the requests that begin a stream. They name the versions that are in force, so that the service need not send
// what is there, and no nonce, for those are of a stream.
func (s *Session) Open() (first []*discovery.DiscoveryRequest) {
	for _, t := range Types {
		sub := s.subscriptions[t]
		sub.nonce, sub.answer, sub.pending = "", nil, nil
		first = append(first, &discovery.DiscoveryRequest{Node: s.node, TypeUrl: t, ResourceNames: s.resourceNames, VersionInfo: sub.accepted})
	}
	return first
}

// OnResponse says what a response is: news to be taken, after which Settle is to be called; or not, and then what to answer, nil for
// nothing. The same nonce again gets the same answer again, and nothing is applied twice.
func (s *Session) OnResponse(r *discovery.DiscoveryResponse) (news bool, answer *discovery.DiscoveryRequest, err error) {
	sub := s.subscriptions[r.TypeUrl]
	switch {
	case sub == nil:
		return false, nil, fmt.Errorf("a response of type %q, which was not asked for", r.TypeUrl)
	case r.Nonce == "":
		return false, nil, fmt.Errorf("a response of type %q without a nonce", r.TypeUrl)
	case r.Nonce == sub.nonce && sub.answer != nil:
		return false, sub.answer, nil
	case r.Nonce == sub.nonce:
		return false, nil, nil // not settled yet
	}
	sub.nonce, sub.pending, sub.answer = r.Nonce, r, nil
	return true, nil, nil
}

// Settle gives the answer to a response that was taken, or turned down with a reason. One that a newer response has overtaken
// gets none: the newer one's answer speaks for the type.
func (s *Session) Settle(r *discovery.DiscoveryResponse, reason error) *discovery.DiscoveryRequest {
	sub := s.subscriptions[r.TypeUrl]
	if sub.pending != r {
		if reason == nil {
			sub.accepted = r.VersionInfo // it is in force all the same
		}
		return nil
	}
	sub.pending = nil
	sub.answer = &discovery.DiscoveryRequest{TypeUrl: r.TypeUrl, ResourceNames: s.resourceNames, ResponseNonce: r.Nonce}
	if reason == nil {
		sub.accepted = r.VersionInfo
	} else {
		sub.answer.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: reason.Error()}
	}
	sub.answer.VersionInfo = sub.accepted
	return sub.answer
}

// versionNumber reads a version that has to be one.
func versionNumber(version string) (uint64, error) {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("version_info %q is no whole number", version)
	}
	return n, nil
}
