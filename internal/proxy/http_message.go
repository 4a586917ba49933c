package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/configstate"
)

// The headers and paths of the HTTP protocol, documented for users in docs/protocol.md.
const (
	headerTime           = "Flint-Time"      // from clients: seconds until they give up; to endpoints: seconds left
	headerWork           = "Flint-Work"      // from clients: expected work in seconds
	headerKey            = "Flint-Key"       // from clients: the key that the request accesses
	headerRepeat         = "Flint-Repeat"    // from clients: the request is a retry
	headerIdempotencyKey = "Idempotency-Key" // from clients: required by classes with deduplicated commands
	headerAnswer         = "Flint-Answer"    // to clients: the kind of answer
	headerReceipt        = "Flint-Receipt"   // identifies an attempt; clients send it back to report a wrong answer
	headerPause          = "Flint-Pause"     // to clients: like Retry-After, with fractions of a second
	headerVersion        = "Flint-Version"   // to clients: the configuration version that served the request
	headerNeverRan       = "Flint-Never-Ran" // from endpoints, with 503: they have not started the request

	ownPathPrefix   = "/.flint/"              // paths that the proxy answers itself
	wrongAnswerPath = ownPathPrefix + "wrong" // clients report a wrong answer here, with its receipt
)

const (
	maxHeaderSeconds = 1e6 // a header with a time in seconds must be below this

	maxResponseHeadBytes = 64 << 10 // bound on the head of an endpoint's response
	initialHeadBytes     = 512      // initial buffer size of an encoded head; most heads fit
	minBodyBuffer        = 512      // initial buffer size of a body
)

// requestError is the status and the body of the answer to an invalid message.
type requestError struct {
	status int
	reason string
}

// Error implements error.
func (e *requestError) Error() string { return e.reason }

// readHTTPMessage reads one request and encodes it for endpoints. An error is a *requestError, which holds the answer
// for the client, or a failure of the connection. onContinue is called if the client waits for a 100 status before it
// sends the body.
func readHTTPMessage(br *bufio.Reader, reader *limitedReader, maxHeadBytes, maxBodyBytes int64, onContinue func()) (*message, error) {
	buffered, err := br.Peek(br.Buffered())
	if err == nil {
		err = reader.startMessage(buffered, maxHeadBytes)
	}
	if err != nil {
		return nil, err
	}
	defer reader.endMessage()
	request, err := http.ReadRequest(br)
	if err != nil {
		if reader.limitReached {
			return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head above %d bytes", maxHeadBytes)}
		}
		return nil, reader.classifyError("request", err)
	}
	reader.remaining = noReadLimit
	if request.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge(maxBodyBytes)
	}
	if request.ContentLength > 0 {
		if err := reader.reserveBody(request.ContentLength); err != nil {
			return nil, err
		}
	}
	if err := checkExpectation(request, br, onContinue); err != nil {
		return nil, err
	}
	parsed := &message{method: request.Method, path: request.URL.Path, closeAfter: request.Close || !request.ProtoAtLeast(1, 1)}
	if parsed.body, err = readHTTPBody(request, reader, maxBodyBytes); err != nil {
		return nil, err
	}
	if err := parsed.setHeaders(request.Header); err != nil {
		return nil, err
	}
	if request.URL.Host != "" || request.RequestURI == "*" || !strings.HasPrefix(request.RequestURI, "/") {
		return nil, &requestError{http.StatusBadRequest, "the target must be a path"}
	}
	if parsed.head, err = encodeHead(request, len(parsed.body)); err != nil {
		return nil, err
	}
	return parsed, nil
}

func bodyTooLarge(maxBodyBytes int64) error {
	return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body above %d bytes", maxBodyBytes)}
}

// checkExpectation calls onContinue if the client waits for a 100 status, and rejects unknown expectations.
func checkExpectation(request *http.Request, br *bufio.Reader, onContinue func()) error {
	expectation := request.Header.Get("Expect")
	if expectation == "" {
		return nil
	}
	if !strings.EqualFold(expectation, "100-continue") {
		return &requestError{http.StatusExpectationFailed, "unknown expectation"}
	}
	if request.ContentLength != 0 && br.Buffered() == 0 {
		onContinue()
	}
	return nil
}

// readHTTPBody reads a body. Its buffer doubles as bytes arrive, so that a claimed length alone allocates little.
func readHTTPBody(request *http.Request, reader *limitedReader, maxBodyBytes int64) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	source := io.LimitReader(request.Body, maxBodyBytes+1)
	body := make([]byte, 0, minBodyBuffer)
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, bodyGrowth(len(body), request.ContentLength))
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBodyBytes:
			return nil, bodyTooLarge(maxBodyBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, reader.classifyError("body", err)
		}
	}
}

// bodyGrowth returns by how much a body's buffer of the given size grows: to twice its size, but not beyond the claimed
// length and the byte that shows the end. A negative length is not known.
func bodyGrowth(size int, claimedBytes int64) int {
	if rest := claimedBytes - int64(size); rest >= 0 {
		return int(min(int64(size), rest+1))
	}
	return size
}

// setHeaders sets the fields that come from headers.
func (m *message) setHeaders(headers http.Header) (err error) {
	if m.timeoutSeconds, err = parseSecondsHeader(headers, headerTime); err != nil {
		return err
	}
	if m.workSeconds, err = parseSecondsHeader(headers, headerWork); err != nil {
		return err
	}
	if key := headers.Get(headerKey); key != "" {
		m.keyHash = max(1, xxhash.Sum64String(key)) // 0 means no key
	}
	if key := headers.Get(headerIdempotencyKey); key != "" {
		m.idempotencyHash = max(1, xxhash.Sum64String(key))
	}
	m.clientRetry = headers.Get(headerRepeat) != ""
	m.receipt = headers.Get(headerReceipt)
	return nil
}

// parseSecondsHeader parses a header with a time in seconds and returns 0 if it is absent. An implausible value is
// rejected rather than clamped: its sender probably uses another unit.
func parseSecondsHeader(headers http.Header, name string) (float64, error) {
	text := headers.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0 && value < maxHeaderSeconds) { // rejects NaN, too
		return 0, &requestError{http.StatusBadRequest, fmt.Sprintf("%s: %q is no number of seconds above 0", name, text)}
	}
	return value, nil
}

// encodeHead encodes a request's head for endpoints, without the remaining time and the final blank line.
func encodeHead(request *http.Request, bodyLength int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(initialHeadBytes)
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.RequestURI, request.Host)
	if err := writeHeaders(&buf, request.Header); err != nil {
		return nil, err
	}
	if bodyLength > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", bodyLength)
	}
	return buf.Bytes(), nil
}

// hopByHopHeaders are not forwarded: they apply to one connection only, or the proxy writes its own.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	headerTime: true, headerVersion: true, headerAnswer: true, headerReceipt: true, headerPause: true,
}

// writeHeaders writes the headers to forward: all but the hop-by-hop ones and those listed in Connection.
func writeHeaders(buf *bytes.Buffer, headers http.Header) error {
	skip := hopByHopHeaders
	if connection := headers["Connection"]; connection != nil {
		skip = map[string]bool{}
		for name := range hopByHopHeaders {
			skip[name] = true
		}
		for _, list := range connection {
			for _, name := range strings.Split(list, ",") {
				skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
			}
		}
	}
	if err := headers.WriteSubset(buf, skip); err != nil {
		return fmt.Errorf("encoding headers: %w", err)
	}
	return nil
}

// httpResponse is an endpoint's response, encoded for the client.
type httpResponse struct {
	answer    answer
	status    int
	neverRan  bool // the endpoint says that it has not started the request
	keepAlive bool // the connection may be reused
}

// readHTTPResponse reads an endpoint's response to a request with the given method. A body above maxBodyBytes is an
// error.
func readHTTPResponse(br *bufio.Reader, reader *limitedReader, method, receipt string, maxBodyBytes int64) (httpResponse, error) {
	buffered, err := br.Peek(br.Buffered())
	if err == nil {
		err = reader.startMessage(buffered, maxBodyBytes+maxResponseHeadBytes)
	}
	if err != nil {
		return httpResponse{}, err
	}
	defer reader.endMessage()
	response, err := readFinalResponse(br, &http.Request{Method: method})
	if err != nil {
		return httpResponse{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return httpResponse{}, err
	}
	if int64(len(body)) > maxBodyBytes {
		return httpResponse{}, fmt.Errorf("response body exceeds the limit of %d bytes", maxBodyBytes)
	}
	encoded, err := encodeResponse(response, body, method, receipt)
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{
		answer:    answer{bytes: encoded, kind: kindSucceeded},
		status:    response.StatusCode,
		neverRan:  response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerNeverRan) != "",
		keepAlive: !response.Close,
	}, nil
}

// readFinalResponse reads a response's head, skipping informational (1xx) responses before it.
func readFinalResponse(br *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(br, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint sent an unsolicited status 101 (Switching Protocols)")
		}
	}
}

// encodeResponse encodes an endpoint's response for the client, without the configuration version.
func encodeResponse(response *http.Response, body []byte, method, receipt string) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(initialHeadBytes + len(body))
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", response.StatusCode, http.StatusText(response.StatusCode))
	if err := writeHeaders(&buf, response.Header); err != nil {
		return nil, err
	}
	fmt.Fprintf(&buf, headerAnswer+": "+kindSucceeded+"\r\n"+headerReceipt+": %s\r\n", receipt)
	switch {
	case method == http.MethodHead && response.ContentLength >= 0:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", response.ContentLength)
	case response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n")
	buf.Write(body)
	return buf.Bytes(), nil
}

// newHTTPAnswer creates an answer that the proxy itself generates, other than a rejection. kind is empty if the message was not
// accepted as a request.
func newHTTPAnswer(status int, kind, text string) answer {
	return encodeOwnAnswer(status, kind, text, "")
}

// newHTTPRejection creates the answer to a request that the client may retry after retryAfterSeconds and, unless it is 0,
// before retryBySeconds are over. The whole seconds of Retry-After are rounded up where that is early enough.
func newHTTPRejection(text string, retryAfterSeconds, retryBySeconds float64) answer {
	wholeSeconds := math.Ceil(retryAfterSeconds)
	if retryBySeconds > 0 && wholeSeconds >= retryBySeconds {
		wholeSeconds = math.Floor(retryAfterSeconds)
	}
	headerLines := fmt.Sprintf("Retry-After: %d\r\n"+headerPause+": %.3f\r\n", int(wholeSeconds), retryAfterSeconds)
	return encodeOwnAnswer(http.StatusServiceUnavailable, kindRejected, text, headerLines)
}

// encodeOwnAnswer encodes an answer that the proxy itself generates; headerLines are added to its head.
func encodeOwnAnswer(status int, kind, text, headerLines string) answer {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(text)+1)
	if kind != "" {
		fmt.Fprintf(&buf, headerAnswer+": %s\r\n", kind)
	}
	buf.WriteString(headerLines + "\r\n" + text + "\n")
	return answer{bytes: buf.Bytes(), kind: kind}
}

// withConnectionClose adds a Connection: close header.
func (a answer) withConnectionClose() answer { return a.withHeaderLine("Connection: close\r\n") }

// withConfigVersion adds a header with the configuration version that served the request.
func (a answer) withConfigVersion(config *configstate.Version) answer {
	return a.withHeaderLine(headerVersion + ": " + strconv.FormatUint(config.Number, 10) + "\r\n")
}

// withHeaderLine returns a copy of an HTTP answer with a header line inserted after the status line.
func (a answer) withHeaderLine(line string) answer {
	statusEnd := bytes.Index(a.bytes, []byte("\r\n")) + len("\r\n")
	encoded := make([]byte, 0, len(a.bytes)+len(line))
	encoded = append(append(encoded, a.bytes[:statusEnd]...), line...)
	return answer{bytes: append(encoded, a.bytes[statusEnd:]...), kind: a.kind}
}
