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
	shedUndecided shedResult = iota // parse the request, then ask for admission
	shedAdmitted                    // parse the request; it is admitted already
	shedKeepConn                    // the request was answered; the connection stays open
	shedEndConn                     // the request was answered; the connection must close
)

// scannedRequest holds what load shedding needs to know of a request.
type scannedRequest struct {
	class          int
	timeoutSeconds float64
	clientRetry    bool
	hasKey         bool
	contentLength  int
}

// shedUnparsed asks the shedder about a request before it is parsed, and answers it if it is shed: under overload,
// shedding a request must cost far less than serving it. It considers only requests that are completely buffered and of
// the simplest form; all others are left to the parser.
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
	if p.draining || p.admitsScanned(conn, scanned, queuedSeconds) {
		result := shedAdmitted
		if p.draining {
			result = shedUndecided
		}
		p.mu.Unlock()
		return result
	}
	p.stats.Received++
	p.stats.Rejected++
	p.stats.Shed++
	conn.reading = false
	answer := p.shedAnswerFor(config)
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

// admitsScanned is admits for a scanned request. The caller holds p.mu and has checked p.shedding, so that p.shedder is
// set.
func (p *Proxy) admitsScanned(conn *clientConn, scanned scannedRequest, queuedSeconds float64) bool {
	return !p.memory.wouldExceed(0) && p.shedder.Admit(p.Now(), loadshed.Request{
		Class:            scanned.class,
		Client:           conn.hostHash,
		Retry:            scanned.clientRetry,
		RemainingSeconds: scanned.timeoutSeconds - queuedSeconds,
	})
}

// scanRequest scans the request at the start of buffered. It returns false unless the request is complete, of the
// simplest form and valid. size is the request's length in bytes.
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
	lacksKey := class.Idempotency == policy.IdempotentWithKey && !scanned.hasKey
	return scanned, size, size <= len(buffered) && !lacksKey
}

// scanRequestLine returns the class of a request line, or a negative value if it has none or the line is not of the
// simplest form.
func scanRequestLine(line []byte, config *configstate.Version) int {
	method, line, hasPath := bytes.Cut(line, []byte(" "))
	path, version, hasVersion := bytes.Cut(line, []byte(" "))
	if !hasPath || !hasVersion || string(version) != "HTTP/1.1" || bytes.ContainsAny(path, "?%#") {
		return -1
	}
	return config.ClassOf(string(method), string(path))
}

// scanHeader records a header line. It returns false if the header needs the full parser.
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
		s.hasKey = true
	}
	return true
}

// headerNameIs compares a header's name, ignoring case.
func headerNameIs(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
