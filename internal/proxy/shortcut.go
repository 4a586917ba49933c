package proxy

import (
	"bufio"
	"bytes"
	"strconv"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// shortcut answers a command that is to be shed without reading it as a request: while the relay is behind, what is turned away
// must cost far less than what is served. It looks at what lies whole in the buffer and at nothing unusual; all else goes the
// ordinary way. done: it was answered, or the connection is of no use any more (goOn false). A command that was let in
// is not asked about again.
func (cl *client) shortcut(br *bufio.Reader, waited float64) (done, goOn, admitted bool) {
	r := cl.r
	if !r.shedding.Load() {
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
	v := r.now.Load()
	op := v.ClassOf(string(method), string(path))
	if op < 0 {
		return false, true, false
	}
	left, length, repeat, mark := v.Policy.Classes[op].TimeoutSeconds, 0, false, false
	for len(rest) > 0 {
		var name, value []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok = bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case !ok || equal(name, "Transfer-Encoding") || equal(name, "Expect") || equal(name, "Connection"):
			return false, true, false
		case equal(name, "Content-Length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return false, true, false
			}
			length = int(n)
		case equal(name, headTime):
			t, err := strconv.ParseFloat(string(value), 64)
			if err != nil || !(t > 0) {
				return false, true, false
			}
			left = min(left, t)
		case equal(name, headRepeat):
			repeat = true
		case equal(name, headMark):
			mark = true
		}
	}
	whole := head + 4 + length
	if whole > len(buf) || v.Policy.Classes[op].Idempotency == policy.IdempotentWithKey && !mark {
		return false, true, false
	}
	r.mu.Lock()
	if r.draining || !r.mem.full(0) && r.gate.Admit(r.Now(), loadshed.Request{Class: op, Client: cl.who, Retry: repeat, RemainingSeconds: left - waited}) {
		admitted = !r.draining
		r.mu.Unlock()
		return false, true, admitted
	}
	r.count.Received++
	r.count.Rejected++
	r.count.Shed++
	cl.reading = false
	ans := r.turnedAway(v)
	r.mu.Unlock()
	br.Discard(whole)
	cl.reply(ans)
	<-cl.done
	return true, !cl.dead && !cl.last, false
}

// equal compares a header's name.
func equal(name []byte, to string) bool {
	return len(name) == len(to) && bytes.EqualFold(name, []byte(to))
}
