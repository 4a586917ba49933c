package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/configstate"
)

// The headers of the command protocol; docs/protocol.md tells them to users.
const (
	headerTime    = "Flint-Time"   // client: s until it gives up; to a unit: s left
	headerWork    = "Flint-Work"   // client: s of work expected
	headerKey     = "Flint-Key"    // client: what the command concerns
	headerRepeat  = "Flint-Repeat" // client: it asks again
	headerIdempotencyKey    = "Idempotency-Key"
	headerAnswer  = "Flint-Answer"  // edge: acked, nacked or failed
	headerReceipt = "Flint-Receipt" // edge: names a delivery, for reports of wrong answers
	headerPause   = "Flint-Pause"   // edge: s, as Retry-After but with fractions
	headerVersion = "Flint-Version" // edge: of the settings that the command was served by
	headerNeverRan    = "Flint-Never-Ran"
	ownPathPrefix    = "/.flint/"
	wrongAnswerPath   = ownPathPrefix + "wrong"
)

// requestError is an answer to a request that never became a command.
type requestError struct {
	status int
	reason   string
}

func (r *requestError) Error() string { return r.reason }

// limitedReader bounds what one message may take from a connection; without it a peer could send a head without end.
type limitedReader struct {
	source io.Reader
	remaining int64
	limitReached bool  // a read met the bound
	sourceErr  error // of the connection itself
	memory  *memoryBudget
	countedBytes int // bytes counted since the last release
}

// release gives back what was counted, once nothing of it is kept.
func (l *limitedReader) release() {
	if l.countedBytes > 0 {
		l.memory.add(-l.countedBytes)
		l.countedBytes = 0
	}
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.limitReached = true
		return 0, io.EOF
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	l.sourceErr = err
	if l.memory != nil && n > 0 {
		l.memory.add(n)
		l.countedBytes += n
	}
	return n, err
}

// classifyError tells a malformed message from a broken connection, which the parsers report as the former.
func (l *limitedReader) classifyError(what string, err error) error {
	if l.sourceErr != nil {
		return l.sourceErr
	}
	return &requestError{http.StatusBadRequest, "malformed " + what + ": " + err.Error()}
}

// message is a command's message as it came.
type message struct {
	method, path string
	head         []byte // as units get it, but for the time left and the blank line
	body         []byte
	options       []byte // names and values, without that of d, which belongs at dAt
	timeoutOffset          int
	timeoutSeconds          float64 // s from its coming, 0 if not told
	workSeconds         float64
	keyHash          uint64
	id           string // where the protocol names commands
	hasIdempotencyKey, clientRetry bool
	closeAfter         bool    // the client wants the connection closed after the answer
	receipt      string  // of a report of a wrong answer
	queuedSeconds       float64 // s that it lay in the kernel, as far as that was looked at
	admitted     bool    // it was asked already whether it is to be shed
}

// readHTTPMessage reads one request. A *refusal says which answer its sender gets; any other error is the connection's.
func readHTTPMessage(br *bufio.Reader, reader *limitedReader, headBytes, bodyBytes int64, goOn func()) (*message, error) {
	reader.remaining, reader.limitReached = headBytes, false
	req, err := http.ReadRequest(br)
	if err != nil {
		if reader.limitReached {
			return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head above %d bytes", headBytes)}
		}
		return nil, reader.classifyError("request", err)
	}
	reader.remaining = math.MaxInt64
	if req.ContentLength > bodyBytes {
		return nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body above %d bytes", bodyBytes)}
	}
	if e := req.Header.Get("Expect"); e != "" {
		if !strings.EqualFold(e, "100-continue") {
			return nil, &requestError{http.StatusExpectationFailed, "unknown expectation"}
		}
		if req.ContentLength != 0 && br.Buffered() == 0 {
			goOn()
		}
	}
	out := &message{method: req.Method, path: req.URL.Path, closeAfter: req.Close || !req.ProtoAtLeast(1, 1)}
	if req.ContentLength != 0 {
		// Grown as bytes come: a length that is only claimed reserves nothing.
		out.body, err = io.ReadAll(io.LimitReader(req.Body, bodyBytes+1))
		if err != nil {
			return nil, reader.classifyError("body", err)
		}
		if int64(len(out.body)) > bodyBytes {
			return nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body above %d bytes", bodyBytes)}
		}
	}
	h := req.Header
	if out.timeoutSeconds, err = parseSecondsHeader(h, headerTime); err != nil {
		return nil, err
	}
	if out.workSeconds, err = parseSecondsHeader(h, headerWork); err != nil {
		return nil, err
	}
	if key := h.Get(headerKey); key != "" {
		out.keyHash = max(1, xxhash.Sum64String(key)) // 0 is none
	}
	out.hasIdempotencyKey, out.clientRetry, out.receipt = h.Get(headerIdempotencyKey) != "", h.Get(headerRepeat) != "", h.Get(headerReceipt)
	if req.URL.Host != "" || req.RequestURI == "*" || !strings.HasPrefix(req.RequestURI, "/") {
		return nil, &requestError{http.StatusBadRequest, "the target must be a path"}
	}
	var buf bytes.Buffer
	buf.Grow(512)
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.RequestURI, req.Host)
	writeHeaders(&buf, h)
	if len(out.body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(out.body))
	}
	out.head = buf.Bytes()
	return out, nil
}

// parseSecondsHeader reads a time header. An absurd one is refused, not trimmed: its sender reckons in other units.
func parseSecondsHeader(h http.Header, name string) (float64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 1e6) {
		return 0, &requestError{http.StatusBadRequest, fmt.Sprintf("%s: %q is no number of seconds above 0", name, text)}
	}
	return v, nil
}

// hopByHopHeaders names what concerns one connection only, or is written anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	headerTime: true, headerVersion: true, headerAnswer: true, headerReceipt: true, headerPause: true,
}

func writeHeaders(buf *bytes.Buffer, h http.Header) {
	skip := hopByHopHeaders
	if named := h["Connection"]; named != nil {
		skip = map[string]bool{}
		for k := range hopByHopHeaders {
			skip[k] = true
		}
		for _, list := range named {
			for _, k := range strings.Split(list, ",") {
				skip[http.CanonicalHeaderKey(strings.TrimSpace(k))] = true
			}
		}
	}
	h.WriteSubset(buf, skip) // a bytes.Buffer takes all
}

// answer is what a client gets.
type answer struct {
	bytes []byte
	kind  string
}

// readHTTPAnswer reads a unit's answer to a delivery and gives it in the client's form. keep: the connection may be used
// again.
func readHTTPAnswer(br *bufio.Reader, reader *limitedReader, method, receipt string, most int64) (a answer, status int, full, keep bool, err error) {
	reader.remaining = most + 64<<10
	asked := &http.Request{Method: method}
	resp, err := http.ReadResponse(br, asked)
	for err == nil && resp.StatusCode < 200 {
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return a, 0, false, false, errors.New("the unit switched protocols unasked")
		}
		resp, err = http.ReadResponse(br, asked)
	}
	if err != nil {
		return a, 0, false, false, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = fmt.Errorf("answer above %d bytes", most)
	}
	if err != nil {
		return a, 0, false, false, err
	}
	var buf bytes.Buffer
	buf.Grow(512 + len(body))
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", resp.StatusCode, http.StatusText(resp.StatusCode))
	writeHeaders(&buf, resp.Header)
	fmt.Fprintf(&buf, headerAnswer+": acked\r\n"+headerReceipt+": %s\r\n", receipt)
	switch {
	case method == http.MethodHead && resp.ContentLength >= 0:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", resp.ContentLength)
	case resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n")
	buf.Write(body)
	full = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNeverRan) != ""
	return answer{buf.Bytes(), "acked"}, resp.StatusCode, full, !resp.Close, nil
}

// newHTTPAnswer makes an answer of the edge's own. kind is empty for one to what never was a command.
func newHTTPAnswer(status int, kind, what string, pause float64) answer {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(what)+1)
	if kind != "" {
		fmt.Fprintf(&buf, headerAnswer+": %s\r\n", kind)
	}
	if kind == "nacked" {
		fmt.Fprintf(&buf, "Retry-After: %d\r\n"+headerPause+": %.3f\r\n", int(math.Ceil(pause)), pause)
	}
	buf.WriteString("\r\n" + what + "\n")
	return answer{buf.Bytes(), kind}
}

// withConnectionClose adds the mark that the connection ends with this answer.
func (a answer) withConnectionClose() answer { return a.withHeaderLine("Connection: close\r\n") }

// withConfigVersion adds the version of the settings that the command was served by.
func (a answer) withConfigVersion(v *configstate.Version) answer {
	return a.withHeaderLine(headerVersion + ": " + strconv.FormatUint(v.Number, 10) + "\r\n")
}

func (a answer) withHeaderLine(line string) answer {
	i := bytes.Index(a.bytes, []byte("\r\n")) + 2
	out := make([]byte, 0, len(a.bytes)+len(line))
	out = append(append(out, a.bytes[:i]...), line...)
	return answer{append(out, a.bytes[i:]...), a.kind}
}
