package xds

import (
	"errors"
	"fmt"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// The answers to responses on two streams: ACK, NACK, a repeated nonce, a response that arrives before the previous one
// is answered, and violations of the protocol.
func Example_session() {
	s := NewSession("edge", "r1")
	show := func(what string, request *discovery.DiscoveryRequest) {
		if request == nil {
			fmt.Println(what+":", "nothing")
			return
		}
		fmt.Printf("%s: version %q nonce %q reason %q\n", what, request.VersionInfo, request.ResponseNonce, request.GetErrorDetail().GetMessage())
	}
	receive := func(version, nonce string) *discovery.DiscoveryResponse {
		response := &discovery.DiscoveryResponse{TypeUrl: TypeDocument, VersionInfo: version, Nonce: nonce}
		isNew, answer, err := s.OnResponse(response)
		fmt.Print(version, " ", nonce, " new ", isNew, " ")
		show("answer", answer)
		if err != nil {
			fmt.Println(err)
		}
		return response
	}
	fmt.Println(len(s.Open()), "types")
	first := receive("v1", "n1")
	receive("v1", "n1") // repeated before the answer
	show("accepted", s.Acknowledge(first, nil))
	receive("v1", "n1")
	second := receive("v2", "n2")
	third := receive("v3", "n3") // before the previous one is answered
	show("overtaken", s.Acknowledge(second, nil))
	show("rejected", s.Acknowledge(third, errors.New("no caps")))
	show("a new stream", s.Open()[1])
	receive("v4", "")
	if isNew, answer, err := s.OnResponse(&discovery.DiscoveryResponse{TypeUrl: "elsewhere", Nonce: "x"}); err != nil {
		fmt.Println("elsewhere new", isNew, "answer", answer)
		fmt.Println(err)
	}
	// Output:
	// 2 types
	// v1 n1 new true answer: nothing
	// v1 n1 new false answer: nothing
	// accepted: version "v1" nonce "n1" reason ""
	// v1 n1 new false answer: version "v1" nonce "n1" reason ""
	// v2 n2 new true answer: nothing
	// v3 n3 new true answer: nothing
	// overtaken: nothing
	// rejected: version "v2" nonce "n3" reason "no caps"
	// a new stream: version "v2" nonce "" reason ""
	// v4  new false answer: nothing
	// response of type "type.googleapis.com/flintspread.config.v1.Document" has no nonce
	// elsewhere new false answer <nil>
	// response of type "elsewhere", which has no subscription
}
