package xds

import (
	"errors"
	"fmt"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// What is answered to what, over two streams.
func Example_session() {
	s := NewSession("edge", "r1")
	show := func(what string, r *discovery.DiscoveryRequest) {
		if r == nil {
			fmt.Println(what+":", "nothing")
			return
		}
		fmt.Printf("%s: version %q nonce %q reason %q\n", what, r.VersionInfo, r.ResponseNonce, r.GetErrorDetail().GetMessage())
	}
	came := func(version, nonce string) *discovery.DiscoveryResponse {
		r := &discovery.DiscoveryResponse{TypeUrl: TypeDocument, VersionInfo: version, Nonce: nonce}
		news, again, err := s.OnResponse(r)
		fmt.Print(version, " ", nonce, " news ", news, " ")
		show("again", again)
		if err != nil {
			fmt.Println(err)
		}
		return r
	}
	fmt.Println(len(s.Open()), "types")
	a := came("v1", "n1")
	came("v1", "n1") // not settled yet
	show("settled", s.Settle(a, nil))
	came("v1", "n1")
	b := came("v2", "n2")
	c := came("v3", "n3") // before the one before was settled
	show("overtaken", s.Settle(b, nil))
	show("turned down", s.Settle(c, errors.New("no caps")))
	show("a new stream", s.Open()[1])
	came("v4", "")
	s.OnResponse(&discovery.DiscoveryResponse{TypeUrl: "elsewhere", Nonce: "x"})
	// Output:
	// 2 types
	// v1 n1 news true again: nothing
	// v1 n1 news false again: nothing
	// settled: version "v1" nonce "n1" reason ""
	// v1 n1 news false again: version "v1" nonce "n1" reason ""
	// v2 n2 news true again: nothing
	// v3 n3 news true again: nothing
	// overtaken: nothing
	// turned down: version "v2" nonce "n3" reason "no caps"
	// a new stream: version "v2" nonce "" reason ""
	// v4  news false again: nothing
	// a response of type "type.googleapis.com/flintspread.config.v1.Document" without a nonce
}
