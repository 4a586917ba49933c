package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// FuzzReadRequest checks that an endpoint parses a forwarded request as the proxy did: one message with the same
// method, target and body. A proxy and a server that split a stream differently allow request smuggling.
func FuzzReadRequest(f *testing.F) {
	for _, s := range []string{
		idempotentRequest + "\r\n", keyedRequest + "\r\nok", nonIdempotentRequest + "\r\nok", "GET / HTTP/1.0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close, A, Host\r\nA: b\r\nFlint-Time: 1e-3\r\nFlint-Key: \x00\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", "GET /a%0d%0aX:y HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const headBytes, bodyBytes = 4096, 256
		g := &limitedReader{source: bytes.NewReader(data)}
		br := bufio.NewReader(g)
		for range 8 {
			req, err := readHTTPMessage(br, g, headBytes, bodyBytes, func() {})
			if err != nil {
				var bad *requestError
				if errors.As(err, &bad) && (bad.status < 400 || bad.status > 499) {
					t.Fatalf("refused with %d", bad.status)
				}
				return
			}
			if len(req.body) > bodyBytes || req.timeoutSeconds < 0 || req.workSeconds < 0 {
				t.Fatalf("%+v", req)
			}
			text := string(req.head) + headerTime + ": 1.000\r\n\r\n" + string(req.body)
			in := bufio.NewReader(strings.NewReader(text))
			again, err := http.ReadRequest(in)
			if err != nil {
				t.Fatalf("an endpoint would not read %q: %v", text, err)
			}
			var body bytes.Buffer
			if _, err := body.ReadFrom(again.Body); err != nil || !bytes.Equal(body.Bytes(), req.body) || in.Buffered() > 0 {
				t.Fatalf("an endpoint would read body %q of %q, %d bytes left, %v", body.Bytes(), text, in.Buffered(), err)
			}
			if again.Method != req.method || again.URL.Path != req.path {
				t.Fatalf("an endpoint would read %s %s of %q", again.Method, again.URL.Path, text)
			}
			for name := range hopByHopHeaders {
				if name != headerTime && name != "Content-Length" && again.Header.Get(name) != "" {
					t.Fatalf("%s was passed on in %q", name, text)
				}
			}
		}
	})
}
