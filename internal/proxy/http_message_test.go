package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// FuzzReadHTTPMessage checks that an endpoint parses a forwarded request as the proxy did: one message with the same
// method, path and body. If a proxy and a server split a stream differently, a client can smuggle requests.
func FuzzReadHTTPMessage(f *testing.F) {
	for _, seed := range []string{
		idempotentRequest + "\r\n", keyedRequest + "\r\nok", nonIdempotentRequest + "\r\nok", "GET / HTTP/1.0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close, A, Host\r\nA: b\r\nFlint-Time: 1e-3\r\nFlint-Key: \x00\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", "GET /a%0d%0aX:y HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const maxHeadBytes, maxBodyBytes = 4096, 256
		reader := &limitedReader{source: bytes.NewReader(data)}
		br := bufio.NewReader(reader)
		for range 8 {
			message, err := readHTTPMessage(br, reader, maxHeadBytes, maxBodyBytes, func() {})
			if err != nil {
				var invalid *requestError
				if errors.As(err, &invalid) && (invalid.status < 400 || invalid.status > 499) {
					t.Fatalf("rejected with status %d, want 4xx", invalid.status)
				}
				return
			}
			if len(message.body) > maxBodyBytes || message.timeoutSeconds < 0 || message.workSeconds < 0 {
				t.Fatalf("the message is not within the limits: %+v", message)
			}
			forwarded := string(message.head) + headerTime + ": 1.000\r\n\r\n" + string(message.body)
			endpointReader := bufio.NewReader(strings.NewReader(forwarded))
			parsed, err := http.ReadRequest(endpointReader)
			if err != nil {
				t.Fatalf("an endpoint could not parse %q: %v", forwarded, err)
			}
			var body bytes.Buffer
			if _, err := body.ReadFrom(parsed.Body); err != nil || !bytes.Equal(body.Bytes(), message.body) || endpointReader.Buffered() > 0 {
				t.Fatalf("an endpoint would read body %q from %q and leave %d bytes unread: %v", body.Bytes(), forwarded, endpointReader.Buffered(), err)
			}
			if parsed.Method != message.method || parsed.URL.Path != message.path {
				t.Fatalf("an endpoint would read %s %s from %q", parsed.Method, parsed.URL.Path, forwarded)
			}
			for name := range hopByHopHeaders {
				if name != headerTime && name != "Content-Length" && parsed.Header.Get(name) != "" {
					t.Fatalf("header %s was forwarded in %q", name, forwarded)
				}
			}
		}
	})
}
