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
	headTime    = "Flint-Time"   // client: s until it gives up; to a unit: s left
	headWork    = "Flint-Work"   // client: s of work expected
	headKey     = "Flint-Key"    // client: what the command concerns
	headRepeat  = "Flint-Repeat" // client: it asks again
	headMark    = "Idempotency-Key"
	headAnswer  = "Flint-Answer"  // edge: acked, nacked or failed
	headReceipt = "Flint-Receipt" // edge: names a delivery, for reports of wrong answers
	headPause   = "Flint-Pause"   // edge: s, as Retry-After but with fractions
	headVersion = "Flint-Version" // edge: of the settings that the command was served by
	headFull    = "Flint-Never-Ran"
	ownPaths    = "/.flint/"
	wrongPath   = ownPaths + "wrong"
)

// refusal is an answer to a request that never became a command.
type refusal struct {
	status int
	what   string
}

func (r *refusal) Error() string { return r.what }

// gate bounds what one message may take from a connection; without it a peer could send a head without end.
type gate struct {
	from io.Reader
	left int64
	shut bool  // a read met the bound
	err  error // of the connection itself
	mem  *memory
	held int // bytes counted since the last release
}

// release gives back what was counted, once nothing of it is kept.
func (g *gate) release() {
	if g.held > 0 {
		g.mem.add(-g.held)
		g.held = 0
	}
}

func (g *gate) Read(p []byte) (int, error) {
	if g.left <= 0 {
		g.shut = true
		return 0, io.EOF
	}
	n, err := g.from.Read(p[:min(int64(len(p)), g.left)])
	g.left -= int64(n)
	g.err = err
	if g.mem != nil && n > 0 {
		g.mem.add(n)
		g.held += n
	}
	return n, err
}

// blame tells a malformed message from a broken connection, which the parsers report as the former.
func (g *gate) blame(what string, err error) error {
	if g.err != nil {
		return g.err
	}
	return &refusal{http.StatusBadRequest, "malformed " + what + ": " + err.Error()}
}

// request is a command's message as it came.
type request struct {
	method, path string
	head         []byte // as units get it, but for the time left and the blank line
	body         []byte
	extras       []byte // names and values, without that of d, which belongs at dAt
	dAt          int
	due          float64 // s from its coming, 0 if not told
	work         float64
	key          uint64
	id           string // where the protocol names commands
	mark, repeat bool
	last         bool    // the client wants the connection closed after the answer
	receipt      string  // of a report of a wrong answer
	waited       float64 // s that it lay in the kernel, as far as that was looked at
	admitted     bool    // it was asked already whether it is to be shed
}

// readRequest reads one request. A *refusal says which answer its sender gets; any other error is the connection's.
func readRequest(br *bufio.Reader, g *gate, headBytes, bodyBytes int64, goOn func()) (*request, error) {
	g.left, g.shut = headBytes, false
	req, err := http.ReadRequest(br)
	if err != nil {
		if g.shut {
			return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head above %d bytes", headBytes)}
		}
		return nil, g.blame("request", err)
	}
	g.left = math.MaxInt64
	if req.ContentLength > bodyBytes {
		return nil, &refusal{http.StatusRequestEntityTooLarge, fmt.Sprintf("body above %d bytes", bodyBytes)}
	}
	if e := req.Header.Get("Expect"); e != "" {
		if !strings.EqualFold(e, "100-continue") {
			return nil, &refusal{http.StatusExpectationFailed, "unknown expectation"}
		}
		if req.ContentLength != 0 && br.Buffered() == 0 {
			goOn()
		}
	}
	out := &request{method: req.Method, path: req.URL.Path, last: req.Close || !req.ProtoAtLeast(1, 1)}
	if req.ContentLength != 0 {
		// Grown as bytes come: a length that is only claimed reserves nothing.
		out.body, err = io.ReadAll(io.LimitReader(req.Body, bodyBytes+1))
		if err != nil {
			return nil, g.blame("body", err)
		}
		if int64(len(out.body)) > bodyBytes {
			return nil, &refusal{http.StatusRequestEntityTooLarge, fmt.Sprintf("body above %d bytes", bodyBytes)}
		}
	}
	h := req.Header
	if out.due, err = seconds(h, headTime); err != nil {
		return nil, err
	}
	if out.work, err = seconds(h, headWork); err != nil {
		return nil, err
	}
	if key := h.Get(headKey); key != "" {
		out.key = max(1, xxhash.Sum64String(key)) // 0 is none
	}
	out.mark, out.repeat, out.receipt = h.Get(headMark) != "", h.Get(headRepeat) != "", h.Get(headReceipt)
	if req.URL.Host != "" || req.RequestURI == "*" || !strings.HasPrefix(req.RequestURI, "/") {
		return nil, &refusal{http.StatusBadRequest, "the target must be a path"}
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

// seconds reads a time header. An absurd one is refused, not trimmed: its sender reckons in other units.
func seconds(h http.Header, name string) (float64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 1e6) {
		return 0, &refusal{http.StatusBadRequest, fmt.Sprintf("%s: %q is no number of seconds above 0", name, text)}
	}
	return v, nil
}

// hopByHop names what concerns one connection only, or is written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	headTime: true, headVersion: true, headAnswer: true, headReceipt: true, headPause: true,
}

func writeHeaders(buf *bytes.Buffer, h http.Header) {
	skip := hopByHop
	if named := h["Connection"]; named != nil {
		skip = map[string]bool{}
		for k := range hopByHop {
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

// readAnswer reads a unit's answer to a delivery and gives it in the client's form. keep: the connection may be used
// again.
func readAnswer(br *bufio.Reader, g *gate, method, receipt string, most int64) (a answer, status int, full, keep bool, err error) {
	g.left = most + 64<<10
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
	fmt.Fprintf(&buf, headAnswer+": acked\r\n"+headReceipt+": %s\r\n", receipt)
	switch {
	case method == http.MethodHead && resp.ContentLength >= 0:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", resp.ContentLength)
	case resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified:
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(body))
	}
	buf.WriteString("\r\n")
	buf.Write(body)
	full = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headFull) != ""
	return answer{buf.Bytes(), "acked"}, resp.StatusCode, full, !resp.Close, nil
}

// plain makes an answer of the edge's own. kind is empty for one to what never was a command.
func plain(status int, kind, what string, pause float64) answer {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(what)+1)
	if kind != "" {
		fmt.Fprintf(&buf, headAnswer+": %s\r\n", kind)
	}
	if kind == "nacked" {
		fmt.Fprintf(&buf, "Retry-After: %d\r\n"+headPause+": %.3f\r\n", int(math.Ceil(pause)), pause)
	}
	buf.WriteString("\r\n" + what + "\n")
	return answer{buf.Bytes(), kind}
}

// closing adds the mark that the connection ends with this answer.
func (a answer) closing() answer { return a.with("Connection: close\r\n") }

// under adds the version of the settings that the command was served by.
func (a answer) under(v *configstate.Version) answer {
	return a.with(headVersion + ": " + strconv.FormatUint(v.Number, 10) + "\r\n")
}

func (a answer) with(line string) answer {
	i := bytes.Index(a.bytes, []byte("\r\n")) + 2
	out := make([]byte, 0, len(a.bytes)+len(line))
	out = append(append(out, a.bytes[:i]...), line...)
	return answer{append(out, a.bytes[i:]...), a.kind}
}
