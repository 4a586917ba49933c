package proxy

import (
	"bufio"
	"bytes"
	"strconv"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// shedResult is the outcome of shedUnparsed.
type shedResult int

const (
	shedUndecided shedResult = iota // no decision: admission is decided after parsing
	shedAdmitted                    // the request is admitted and must be parsed
	shedKeepConn                    // the request was shed and answered; the connection stays open
	shedEndConn                     // the request was shed; the connection must close
)

// scannedRequest holds the properties of a request that load shedding uses.
type scannedRequest struct {
	class             int
	timeoutSeconds    float64
	clientRetry       bool
	hasIdempotencyKey bool
	contentLength     int
}

// shedUnparsed decides before a request is parsed whether to shed it, and answers it if so: under overload, shedding a
// request must cost far less than serving it. It considers only requests that scanRequest accepts; all others are
// undecided.
func (proto http1) shedUnparsed(conn *clientConn, br *bufio.Reader, queuedSeconds float64) shedResult {
	p := conn.proxy
	if !p.shedding.Load() {
		return shedUndecided
	}
	buffered, err := br.Peek(br.Buffered())
	if err != nil {
		return shedUndecided
	}
	config := p.currentConfig.Load()
	scanned, size, ok := scanRequest(buffered, config)
	if !ok {
		return shedUndecided
	}
	p.mu.Lock()
	if p.draining || p.admitScanned(conn, scanned, queuedSeconds) {
		result := shedAdmitted
		if p.draining {
			result = shedUndecided
		}
		p.mu.Unlock()
		return result
	}
	answer := p.rejectUnaccepted(conn)
	p.mu.Unlock()
	if _, err := br.Discard(size); err != nil { // can't fail: the request is completely buffered
		return shedEndConn
	}
	proto.writeAnswer(conn, answer)
	<-conn.answerWritten
	if conn.writeFailed || conn.closeAfterAnswer {
		return shedEndConn
	}
	return shedKeepConn
}

// admitScanned reports whether this process has the capacity to serve a scanned request. It applies the same rules as
// admits. The caller holds p.mu and has checked p.shedding, which implies that p.shedder is not nil.
func (p *Proxy) admitScanned(conn *clientConn, scanned scannedRequest, queuedSeconds float64) bool {
	return p.memory.messages().AllowsRequest(conn.memory.heldBytes.Load(), requestOverheadBytes) && p.shedder.Admit(p.Now(), loadshed.Request{
		Class:            scanned.class,
		Client:           conn.hostHash,
		Retry:            scanned.clientRetry,
		RemainingSeconds: scanned.timeoutSeconds - queuedSeconds,
	})
}

// scanRequest scans the request at the start of buffered. ok is false unless the request is complete and valid and can
// be scanned without the full parser: it has a plain path and no header that changes the framing or the connection.
// size is the request's length in bytes.
func scanRequest(buffered []byte, config *configstate.Version) (scanned scannedRequest, size int, ok bool) {
	headEnd := bytes.Index(buffered, []byte("\r\n\r\n"))
	if headEnd < 0 {
		return scanned, 0, false
	}
	requestLine, headers, _ := bytes.Cut(buffered[:headEnd], []byte("\r\n"))
	scanned.class = scanRequestLine(requestLine, config)
	if scanned.class < 0 {
		return scanned, 0, false
	}
	class := &config.Policy.Classes[scanned.class]
	scanned.timeoutSeconds = class.TimeoutSeconds
	for len(headers) > 0 {
		var line []byte
		line, headers, _ = bytes.Cut(headers, []byte("\r\n"))
		if !scanned.scanHeader(line) {
			return scanned, 0, false
		}
	}
	size = headEnd + len("\r\n\r\n") + scanned.contentLength
	lacksKey := class.Idempotency == policy.IdempotentWithKey && !scanned.hasIdempotencyKey
	return scanned, size, size <= len(buffered) && !lacksKey
}

// scanRequestLine returns the class of a request line. It returns a negative value if no route matches or the line
// needs the full parser: another HTTP version, or a target with a query, an escape or a fragment.
func scanRequestLine(line []byte, config *configstate.Version) int {
	method, line, hasPath := bytes.Cut(line, []byte(" "))
	path, version, hasVersion := bytes.Cut(line, []byte(" "))
	if !hasPath || !hasVersion || string(version) != "HTTP/1.1" || bytes.ContainsAny(path, "?%#") {
		return -1
	}
	return config.ClassOf(string(method), string(path))
}

// scanHeader records the header if load shedding uses it. It returns false if the header needs the full parser.
func (s *scannedRequest) scanHeader(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case !ok || headerNameIs(name, "Transfer-Encoding") || headerNameIs(name, "Expect") || headerNameIs(name, "Connection"):
		return false
	case headerNameIs(name, "Content-Length"):
		length, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil {
			return false
		}
		s.contentLength = int(length)
	case headerNameIs(name, headerTime):
		timeoutSeconds, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(timeoutSeconds > 0) { // rejects NaN, too
			return false
		}
		s.timeoutSeconds = min(s.timeoutSeconds, timeoutSeconds)
	case headerNameIs(name, headerRepeat):
		s.clientRetry = true
	case headerNameIs(name, headerIdempotencyKey):
		s.hasIdempotencyKey = true
	}
	return true
}

// headerNameIs reports whether name equals want, ignoring case.
func headerNameIs(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
