package proxy

import (
	"bufio"
	"net"
	"regexp"
	"strings"
	"testing"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// heldRequest is a request whose key is recognised within a zone, in flight at endpoint 1 in zone 1. The endpoint fails it
// once gate is closed. There is no other endpoint yet.
type heldRequest struct {
	*harness
	client     *testClient
	gate       chan struct{}
	readAnswer func() string
	wantFailed string // the answer that says that it may have run
	answerAll  func(*scriptedEndpoint, net.Conn, *bufio.Reader)
}

// The times of a request that is held until its latency objective has passed, in seconds.
const (
	heldObjectiveSeconds = 1
	heldTimeoutSeconds   = 2
	heldDedupSeconds     = 10
)

func holdHTTPRequest(t *testing.T) *heldRequest {
	r := &heldRequest{gate: make(chan struct{}), wantFailed: "502 failed: " + textFailed, answerAll: answerPath}
	r.harness = newHarness(t, func(settings *config.Router) {
		class := &settings.Classes[2] // divert-record
		class.LatencyObjectiveSeconds, class.TimeoutSeconds, class.DedupWindowSeconds = heldObjectiveSeconds, heldTimeoutSeconds, heldDedupSeconds
		class.DedupScope = "zone"
	})
	first := r.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for _, ok := endpoint.readRequest(br); ok; _, ok = endpoint.readRequest(br) {
			<-r.gate
			writeText(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
		}
	})
	r.relist(1, 1, 1)
	r.client = r.dial()
	r.client.send(keyedRequest)
	r.readAnswer = r.client.readAnswer
	r.eventually("the attempt has reached the endpoint", func() bool { return first.count() == 1 })
	return r
}

func holdRESPRequest(t *testing.T) *heldRequest {
	r := &heldRequest{gate: make(chan struct{}), wantFailed: "-ERR " + textFailed, answerAll: answerID}
	r.harness = newRESPHarnessWith(t, func(policyConfig *policy.Config) {
		class := &policyConfig.Classes[1] // order
		class.LatencyObjectiveSeconds, class.TimeoutSeconds, class.DedupWindowSeconds = heldObjectiveSeconds, heldTimeoutSeconds, heldDedupSeconds
		class.DedupScope = policy.DedupZone
		policyConfig.ForgetEndpointSeconds = 0.2 // a platform's router gets no other version: it starts with the short time
	}, nil)
	first := r.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for _, ok := endpoint.readCommand(br); ok; _, ok = endpoint.readCommand(br) {
			<-r.gate
			writeText(c, "-ERR failed\r\n")
		}
	})
	r.relist(1, 1, 1)
	text, _ := newCommandWithTimeout("order", heldTimeoutSeconds*1000)
	r.client = r.dial()
	writeText(r.client, text)
	r.readAnswer = r.client.readRESPAnswer
	r.eventually("the attempt has reached the endpoint", func() bool { return first.count() == 1 })
	return r
}

// relist lists an endpoint with a build and a zone, at its address.
func (h *harness) relist(id uint32, build int, zone uint16) {
	addr := h.endpoints[id].listener.Addr().String()
	h.updateEndpoints(false, endpoints.Endpoint{ID: id, Addr: addr, State: endpoints.StateReady, Build: build, Zone: zone})
}

// removeFromList removes an endpoint as a full list does that no longer names it.
func (h *harness) removeFromList(id uint32) {
	h.updateEndpoints(false, endpoints.Endpoint{ID: id, State: endpoints.StateGone})
}

// versionWithShortTimes returns a version of the example settings whose timeouts and time to remember endpoints are so short
// that an endpoint is forgotten while a request of an earlier version still waits.
func versionWithShortTimes(t *testing.T) *configstate.Version {
	t.Helper()
	document := configVersionText(t)
	document = regexp.MustCompile(`:target [0-9.]+ :timeout [0-9.]+`).ReplaceAllString(document, ":target 0.1 :timeout 0.1")
	document = regexp.MustCompile(`:forget-units\s+[0-9.]+`).ReplaceAllString(document, ":forget-units 0.2")
	document = strings.Replace(document, ":group :all", ":group :zone", 1)
	version, err := configstate.ParseVersion(1, []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against a crash and against second effects, over HTTP and RESP2: the endpoint of a request that may have run leaves the
// list and is forgotten, is listed in another zone, or turns out to have been replaced before the attempt. Endpoint 2 must
// not get the request, whose zone it does not share; the request is answered as one that may have run, and the router goes on.
func TestEndpointChangesUnderHeldRequest(t *testing.T) {
	protocols := map[string]func(*testing.T) *heldRequest{"HTTP": holdHTTPRequest, "RESP2": holdRESPRequest}
	for protocol, hold := range protocols {
		for change, apply := range map[string]func(*testing.T, *heldRequest){
			"forgotten": func(t *testing.T, r *heldRequest) {
				r.removeFromList(1)
				if protocol != "HTTP" {
					return
				}
				if outcome, err := r.proxy.OfferConfig(versionWithShortTimes(t)); outcome != configstate.Applied {
					t.Fatalf("outcome %v, error %v, want Applied", outcome, err)
				}
			},
			"moved":    func(_ *testing.T, r *heldRequest) { r.relist(1, 1, 2) },
			"replaced": func(_ *testing.T, r *heldRequest) { r.relist(1, 2, 2) },
		} {
			t.Run(protocol+" "+change, func(t *testing.T) {
				r := hold(t)
				second := r.addEndpoint(2, 1, r.answerAll)
				r.relist(2, 1, 2)
				apply(t, r)
				close(r.gate)
				r.wantEqual("the answer", r.readAnswer(), r.wantFailed)
				if second.count() != 0 {
					t.Errorf("the request was sent to another zone %d times", second.count())
				}
				r.removeFromList(1)
				if protocol == "HTTP" {
					r.wantEqual("a later request", r.roundTrip(idempotentRequest), "200 acked: /chute/7")
				} else {
					r.dial().wantServed("lookup")
				}
			})
		}
	}
}
