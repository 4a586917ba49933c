package proxy

import (
	"bufio"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
	"flintspread/internal/policy"
)

// versionWithShortTimes returns a version of the example settings whose timeouts and time to remember endpoints are so short
// that an endpoint is forgotten while a request of an earlier version still waits.
func versionWithShortTimes(t *testing.T) *configstate.Version {
	t.Helper()
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	document := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
	document = regexp.MustCompile(`:target [0-9.]+ :timeout [0-9.]+`).ReplaceAllString(document, ":target 0.1 :timeout 0.1")
	document = regexp.MustCompile(`:forget-units\s+[0-9.]+`).ReplaceAllString(document, ":forget-units 0.2")
	document = strings.Replace(document, ":group :all", ":group :zone", 1)
	version, err := configstate.ParseVersion(1, []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// answerWhenOpen answers every request with a fixed text once the channel gate is closed.
func answerWhenOpen(gate chan struct{}, text string) func(*scriptedEndpoint, net.Conn, *bufio.Reader) {
	return func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for _, ok := endpoint.readRequest(br); ok; _, ok = endpoint.readRequest(br) {
			<-gate
			writeText(c, text)
		}
	}
}

// relist lists an endpoint in a zone, with the address and build that it had before.
func (h *harness) relist(id uint32, zone uint16) {
	addr := h.endpoints[id].listener.Addr().String()
	h.updateEndpoints(false, endpoints.Endpoint{ID: id, Addr: addr, State: endpoints.StateReady, Build: 1, Zone: zone})
}

// removeFromList removes an endpoint as a full list does that no longer names it.
func (h *harness) removeFromList(id uint32) {
	h.updateEndpoints(false, endpoints.Endpoint{ID: id, State: endpoints.StateGone})
}

// Guards against a crash over HTTP: a request looked for another endpoint in the zone of one that had left the list, when a
// version with a shorter time to remember endpoints came into force and that endpoint was forgotten.
func TestEndpointIsForgottenWhileHTTPRequestIsHeld(t *testing.T) {
	h := newHarness(t, func(settings *config.Router) {
		class := &settings.Classes[2] // divert-record
		class.LatencyObjectiveSeconds, class.TimeoutSeconds, class.DedupWindowSeconds, class.DedupScope = 1.5, 2, 10, "zone"
	})
	gate := make(chan struct{})
	first := h.addEndpoint(1, 1, answerWhenOpen(gate, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))
	h.relist(1, 1)
	client := h.dial()
	client.send(keyedRequest)
	h.eventually("the attempt has reached the endpoint", func() bool { return first.count() == 1 })
	second := h.addEndpoint(2, 1, answerPath)
	h.relist(2, 2)
	h.removeFromList(1)
	if outcome, err := h.proxy.OfferConfig(versionWithShortTimes(t)); outcome != configstate.Applied {
		t.Fatalf("outcome %v, error %v, want Applied", outcome, err)
	}
	close(gate)
	h.wantEqual("the answer", client.readAnswer(), "502 failed: "+textFailed)
	if second.count() != 0 {
		t.Errorf("the request was sent to another zone %d times", second.count())
	}
	h.wantEqual("a later request", h.roundTrip(idempotentRequest), "200 acked: /chute/7")
}

// Guards against the same crash over RESP2.
func TestEndpointIsForgottenWhileRESPRequestIsHeld(t *testing.T) {
	h := newRESPHarnessWith(t, func(policyConfig *policy.Config) {
		order := &policyConfig.Classes[1]
		order.LatencyObjectiveSeconds, order.TimeoutSeconds, order.DedupWindowSeconds, order.DedupScope = 1.5, 2, 10, policy.DedupZone
		policyConfig.ForgetEndpointSeconds = 0.2
	}, nil)
	gate := make(chan struct{})
	first := h.addEndpoint(1, 1, func(endpoint *scriptedEndpoint, c net.Conn, br *bufio.Reader) {
		for _, ok := endpoint.readCommand(br); ok; _, ok = endpoint.readCommand(br) {
			<-gate
			writeText(c, "-ERR failed\r\n")
		}
	})
	h.relist(1, 1)
	text, _ := newCommandWithTimeout("order", 2000)
	client := h.dial()
	writeText(client, text)
	h.eventually("the attempt has reached the endpoint", func() bool { return first.count() == 1 })
	second := h.addEndpoint(2, 1, answerID)
	h.relist(2, 2)
	h.removeFromList(1)
	close(gate)
	h.wantEqual("the answer", client.readRESPAnswer(), "-ERR "+textFailed)
	if second.count() != 0 {
		t.Errorf("the request was sent to another zone %d times", second.count())
	}
	h.dial().wantServed("lookup")
}
