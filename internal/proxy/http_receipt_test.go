package proxy

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a rollback on a single wrong answer: a client that got no reply to its report sent it again, and it counted each
// time.
func TestWrongAnswerCountsOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.addEndpoint(1, 1, answerPath)
	client := h.dial()
	client.send(idempotentRequest)
	answer, err := http.ReadResponse(client.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	receipt := answer.Header.Get(headerReceipt)
	report := func(receipt string) string {
		return h.roundTrip(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 2\r\n", wrongAnswerPath, headerReceipt, receipt))
	}
	first := report(receipt)
	for _, again := range []string{receipt, receipt + "0", receipt} { // also with another spelling of the time
		h.wantEqual("the report again", report(again), first)
	}
	if n := h.proxy.Stats().WrongAnswers; n != 1 {
		t.Errorf("%d wrong answers counted, want 1", n)
	}
	h.wantEqual("a report of another answer", report(formatReceipt(1, h.proxy.Now()-1)), first)
	if n := h.proxy.Stats().WrongAnswers; n != 2 {
		t.Errorf("%d wrong answers counted, want 2", n)
	}
}
