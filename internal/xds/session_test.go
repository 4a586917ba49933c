package xds

import (
	"errors"
	"fmt"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Responses and their answers over two streams.
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
	receive("v1", "n1") // not settled yet
	show("settled", s.Settle(first, nil))
	receive("v1", "n1")
	second := receive("v2", "n2")
	third := receive("v3", "n3") // before the previous one is settled
	show("overtaken", s.Settle(second, nil))
	show("rejected", s.Settle(third, errors.New("no caps")))
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
	// settled: version "v1" nonce "n1" reason ""
	// v1 n1 new false answer: version "v1" nonce "n1" reason ""
	// v2 n2 new true answer: nothing
	// v3 n3 new true answer: nothing
	// overtaken: nothing
	// rejected: version "v2" nonce "n3" reason "no caps"
	// a new stream: version "v2" nonce "" reason ""
	// v4  new false answer: nothing
	// a response of type "type.googleapis.com/flintspread.config.v1.Document" without a nonce
	// elsewhere new false answer <nil>
	// a response of type "elsewhere", which was not asked for
}
