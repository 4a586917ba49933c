package proxy

import (
	"bufio"
	"bytes"
	"strconv"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// shedUnparsed answers a command that is to be shed without reading it as a request: while the relay is behind, what is turned away
// must cost far less than what is served. It looks at what lies whole in the buffer and at nothing unusual; all else goes the
// ordinary way. done: it was answered, or the connection is of no use any more (goOn false). A command that was let in
// is not asked about again.
func (conn *clientConn) shedUnparsed(br *bufio.Reader, waited float64) (done, goOn, admitted bool) {
	p := conn.proxy
	if !p.shedding.Load() {
		return false, true, false
	}
	buf, _ := br.Peek(br.Buffered())
	head := bytes.Index(buf, []byte("\r\n\r\n"))
	if head < 0 {
		return false, true, false
	}
	line, rest, _ := bytes.Cut(buf[:head], []byte("\r\n"))
	method, line, ok := bytes.Cut(line, []byte(" "))
	path, proto, ok2 := bytes.Cut(line, []byte(" "))
	if !ok || !ok2 || string(proto) != "HTTP/1.1" || bytes.ContainsAny(path, "?%#") {
		return false, true, false
	}
	v := p.currentConfig.Load()
	class := v.ClassOf(string(method), string(path))
	if class < 0 {
		return false, true, false
	}
	left, length, repeat, mark := v.Policy.Classes[class].TimeoutSeconds, 0, false, false
	for len(rest) > 0 {
		var name, value []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok = bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case !ok || headerNameIs(name, "Transfer-Encoding") || headerNameIs(name, "Expect") || headerNameIs(name, "Connection"):
			return false, true, false
		case headerNameIs(name, "Content-Length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return false, true, false
			}
			length = int(n)
		case headerNameIs(name, headerTime):
			t, err := strconv.ParseFloat(string(value), 64)
			if err != nil || !(t > 0) {
				return false, true, false
			}
			left = min(left, t)
		case headerNameIs(name, headerRepeat):
			repeat = true
		case headerNameIs(name, headerIdempotencyKey):
			mark = true
		}
	}
	whole := head + 4 + length
	if whole > len(buf) || v.Policy.Classes[class].Idempotency == policy.IdempotentWithKey && !mark {
		return false, true, false
	}
	p.mu.Lock()
	if p.draining || !p.memory.exceededBy(0) && p.shedder.Admit(p.Now(), loadshed.Request{Class: class, Client: conn.hostHash, Retry: repeat, RemainingSeconds: left - waited}) {
		admitted = !p.draining
		p.mu.Unlock()
		return false, true, admitted
	}
	p.stats.Received++
	p.stats.Rejected++
	p.stats.Shed++
	conn.reading = false
	ans := p.shedAnswerFor(v)
	p.mu.Unlock()
	br.Discard(whole)
	conn.writeAnswer(ans)
	<-conn.answerWritten
	return true, !conn.writeFailed && !conn.closeAfterAnswer, false
}

// headerNameIs compares a header's name.
func headerNameIs(name []byte, to string) bool {
	return len(name) == len(to) && bytes.EqualFold(name, []byte(to))
}
