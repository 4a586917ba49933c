package promclient

import (
	"errors"
	"io"
	"net/http"
)

// errResponseTooLarge is the error of a response that exceeds the byte limit.
var errResponseTooLarge = errors.New("response exceeds the byte limit")

// responseHead holds the parts of a response that the API client does not return. The caller passes a *responseHead in
// the request's context, under the key responseHeadKey, and boundedTransport fills it.
type responseHead struct {
	status     int // HTTP status; 0: no response
	retryAfter string
	location   string
	tooLarge   bool
}

type responseHeadKey struct{}

// boundedTransport limits the size of response bodies, and records the response head.
type boundedTransport struct {
	next     *http.Transport
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	head, _ := request.Context().Value(responseHeadKey{}).(*responseHead)
	if head == nil {
		head = &responseHead{}
	}
	head.status = response.StatusCode
	head.retryAfter, head.location = response.Header.Get("Retry-After"), response.Header.Get("Location")
	if response.ContentLength > t.maxBytes {
		head.tooLarge = true
		response.Body.Close()
		return nil, errResponseTooLarge
	}
	response.Body = &boundedBody{response.Body, t.maxBytes, head}
	return response, nil
}

// boundedBody is a response body of limited size. Reads fail once the body has exceeded the limit.
type boundedBody struct {
	io.ReadCloser
	remainingBytes int64
	head           *responseHead
}

// Read implements io.Reader. It reads at most one byte more than the limit, to distinguish a body of exactly that size
// from a larger one.
func (b *boundedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remainingBytes+1 {
		p = p[:b.remainingBytes+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.remainingBytes -= int64(n); b.remainingBytes < 0 {
		b.head.tooLarge = true
		return 0, errResponseTooLarge
	}
	return n, err
}
