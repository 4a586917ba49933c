package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/platform/resp"
	"flintspread/internal/policy"
)

// resp2 is the platform's protocol: RESP2, commands behind one another, each named by an id.
type resp2 struct{}

const (
	commandRead   = "API.READ"  // of redeliverable op types
	commandWrite  = "API.WRITE" // of the others, with a body
	memoryPollSeconds = 0.02        // s between two looks for room in the memory budget

	maxWordBytes = 256 // bytes of an id, of a key, of a list of names and values
)

func (resp2) rejectedAnswer(_ *configstate.Version, pause float64) answer {
	if pause <= 0 {
		return answer{[]byte("-BUSY\r\n"), "nacked"}
	}
	return answer{fmt.Appendf(nil, "-BUSY %d\r\n", int(math.Ceil(pause*1000))), "nacked"}
}

func (resp2) failedAnswer(*configstate.Version, bool) answer {
	return answer{[]byte("-ERR failed; it may have been done\r\n"), "failed"}
}

func (resp2) tooManyConnections(float64) []byte { return []byte("-ERR too many connections\r\n") }

func (resp2) deliverAnswer(request *request, ans answer) { request.conn.completeAnswer(request.answer, ans.bytes) }

func (resp2) connReuseDelaySeconds() float64 { return loadshed.ConnReuseDelaySeconds }

func (resp2) startsAtLastByte() bool { return true }

func (resp2) encodeAttempt(message *message, left float64) []byte {
	ms := strconv.AppendInt(nil, int64(max(1, left*1000)), 10)
	buf := make([]byte, 0, len(message.head)+len(message.options)+len(message.body)+64)
	buf = append(buf, message.head...)
	extras := make([]byte, 0, len(message.options)+8)
	extras = append(append(append(extras, message.options[:message.timeoutOffset]...), ms...), message.options[message.timeoutOffset:]...)
	buf = resp.Bulk(buf, extras)
	return append(buf, message.body...)
}

// readAnswer takes the value from a unit's answer. What can't be read, or says what no unit says, is spoilt: it may have run.
func (resp2) readAnswer(br *bufio.Reader, reader *limitedReader, attempt *attempt) (answer, policy.Outcome, bool, error) {
	reader.remaining = math.MaxInt64 // the framing has its own bounds
	a, err := resp.Answer(br)
	switch {
	case err != nil:
		return answer{}, policy.ConnectionLost, false, err
	case a.Values != nil && a.Values[0] != nil:
		return answer{resp.Bulk(make([]byte, 0, len(a.Values[0])+16), a.Values[0]), "acked"}, policy.Succeeded, true, nil
	case a.Error == "BUSY" || len(a.Error) > 5 && a.Error[:5] == "BUSY ":
		return answer{}, policy.Overloaded, true, nil
	case a.Error == "ERR failed" || len(a.Error) > 11 && a.Error[:11] == "ERR failed ":
		return answer{}, policy.ServerError, true, nil
	}
	return answer{}, policy.ConnectionLost, false, fmt.Errorf("the answer %.60q is none of a unit's", a.Error)
}

// parseCommand reads the words of a client's command.
func (resp2) parseCommand(v *configstate.Version, args [][]byte) (parsed *message, class int, err error) {
	write := string(args[0]) == commandWrite
	switch {
	case !write && string(args[0]) != commandRead:
		return nil, 0, fmt.Errorf("unknown command %.32q", args[0])
	case !write && len(args) != 4 || write && len(args) != 5:
		return nil, 0, fmt.Errorf("%s with %d words", args[0], len(args)-1)
	}
	key, id, extras := args[1], args[2], args[3]
	if !isWord(key) || !isWord(id) || len(extras) > maxWordBytes {
		return nil, 0, errors.New("no key or no id, or one that can't be meant")
	}
	parsed, class = &message{id: string(id), keyHash: max(1, xxhash.Sum64(key)), timeoutOffset: -1}, -1
	mark := false
	for at, rest := 0, extras; len(rest) > 0; {
		pair, after, _ := bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !isWord(value) {
			return nil, 0, fmt.Errorf("%.32q is no name and value", pair)
		}
		switch string(name) {
		case "c":
			class = v.ClassNamed(value)
		case "d":
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || ms == 0 || parsed.timeoutOffset >= 0 {
				return nil, 0, fmt.Errorf("d: %.32q is no number of milliseconds", value)
			}
			parsed.timeoutSeconds, parsed.timeoutOffset = float64(ms)/1000, at+2
			parsed.options = append(append(parsed.options, extras[:at+2]...), extras[at+len(pair):]...)
		case "k":
			mark = true
		case "r":
			parsed.clientRetry = string(value) == "1"
		default:
			return nil, 0, fmt.Errorf("unknown name %.32q", name)
		}
		at, rest = at+len(pair)+1, after
	}
	switch {
	case class < 0:
		return nil, 0, errors.New("no such class")
	case parsed.timeoutOffset < 0:
		return nil, 0, errors.New("no d")
	case write != (v.Policy.Classes[class].Idempotency != policy.Idempotent):
		return nil, 0, fmt.Errorf("%s is not for this class", args[0])
	case mark != (v.Policy.Classes[class].Idempotency == policy.IdempotentWithKey):
		return nil, 0, errors.New("k belongs to classes with a key, and to no others")
	}
	parsed.head = resp.Array(make([]byte, 0, 32+len(key)+len(id)), len(args))
	for _, word := range args[:3] {
		parsed.head = resp.Bulk(parsed.head, word)
	}
	if write {
		parsed.body = resp.Bulk(make([]byte, 0, len(args[4])+16), args[4])
	}
	return parsed, class, nil
}

// isWord tells whether a word can stand for something: not empty, not long, nothing that ends a line.
func isWord(word []byte) bool {
	for _, c := range word {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return len(word) > 0 && len(word) <= maxWordBytes
}

// serveClient takes commands as they come, each with its own clock, and lets answers follow in their order.
func (proto resp2) serveClient(conn *clientConn) {
	p, queue := conn.proxy, &conn.answers
	reader := &limitedReader{source: conn.socket.Conn, memory: &p.memory, remaining: math.MaxInt64}
	defer reader.release()
	br := bufio.NewReaderSize(reader, 4096)
	var unanswered []*request // that may have no answer yet
	defer func() { proto.abandonRequests(conn, unanswered) }()
	for first := true; proto.waitForCommand(conn, br, first); first = false {
		waited := conn.queuedSeconds()
		p.mu.Lock()
		conn.reading = true // a drain lets it come
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
		p.mu.Unlock()
		args, err := resp.Command(br)
		if err != nil {
			proto.rejectUnreadable(conn, err)
			return
		}
		v := p.currentConfig.Load()
		pending := queue.enqueue()
		if len(args) == 1 && string(args[0]) == "PING" {
			p.answerWhenReady(conn, func() { proto.answerDirectly(conn, pending, []byte("+PONG\r\n")) })
		} else if message, class, err := proto.parseCommand(v, args); err != nil {
			proto.answerDirectly(conn, pending, resp.Error(nil, "ERR "+err.Error()))
		} else {
			message.queuedSeconds = waited
			if request := p.accept(conn, message, v, class, pending); request == nil {
				proto.answerDirectly(conn, pending, []byte("-ERR a command with this id is in hand\r\n"))
			} else {
				unanswered = append(unanswered, request)
			}
		}
		reader.release()
		unanswered = p.withoutCompleted(unanswered)
	}
}

// wakeReader bounds a command that has begun to come, too: half a one must not outlast the room or the relay.
func (proto resp2) wakeReader(conn *clientConn) {
	if conn.reading && conn.evicted {
		conn.socket.SetReadDeadline(time.Now()) // others wait for its room; it is told
	} else if conn.reading {
		conn.socket.SetReadDeadline(time.Now().Add(secondsToDuration(proto.readTimeoutSeconds(conn))))
	}
	conn.wakeReader()
}

// readTimeoutSeconds is how long a command may take to come, s. Under the relay's lock.
func (resp2) readTimeoutSeconds(conn *clientConn) float64 {
	p := conn.proxy
	most := loadshed.ReadTimeoutSeconds(p.currentConfig.Load().Document.Clients.ReadTime, conn.evicted)
	if p.draining && p.answerDeadline > 0 {
		most = max(0, min(most, p.answerDeadline-p.Now()))
	}
	return most
}

// waitForCommand waits for a command's first byte, and for room to read it. false: the client has gone, or nothing is owed to it and it was
// idle for too long, or is to go. Its going is seen at any time, also while something is owed and while nothing more is read.
func (proto resp2) waitForCommand(conn *clientConn, br *bufio.Reader, first bool) bool {
	p := conn.proxy
	peek := func() error { _, err := br.Peek(1); return err }
	idle, paused := time.Now(), 0.0
	for {
		owed, room, dead := conn.answers.state()
		limits := &p.currentConfig.Load().Document.Clients
		patience := limits.IdleTime
		if first {
			p.mu.Lock()
			patience = proto.readTimeoutSeconds(conn) // one that connects and says nothing
			p.mu.Unlock()
		}
		var until time.Time
		switch {
		case dead:
			return false
		case owed:
			idle = time.Now()
		case conn.shouldClose(first) && br.Buffered() == 0 && !conn.hasUnreadBytes():
			return false
		default:
			until = idle.Add(secondsToDuration(patience))
		}
		look := peek
		if !room {
			look = conn.socket.waitHangUp
		} else if paused > 0 {
			look, until = conn.socket.waitHangUp, time.Now().Add(secondsToDuration(min(memoryPollSeconds, paused)))
		}
		switch err := conn.waitForReader(until, look); {
		case err == nil && !room, err == nil && paused > 0: // it hung up
			return false
		case err == nil:
			if paused = p.memory.beginPause(); paused == 0 {
				return true
			}
		case errors.Is(err, errWoken):
		case !isTimeout(err):
			return false
		case paused > 0: // what has come is read once there is room, or it was waited for long enough
			if paused -= memoryPollSeconds; paused <= 0 || !p.memory.underPressure() {
				return true
			}
		case owed:
		case !conn.hasUnreadBytes():
			return false // idle for too long
		default:
			idle = time.Now() // a command came in the last moment
		}
	}
}

// flushAnswers lets everything owed go out before the connection ends. false: its client has gone.
func (proto resp2) flushAnswers(conn *clientConn) bool {
	for {
		owed, _, dead := conn.answers.state()
		if dead {
			return false
		}
		if !owed {
			return true
		}
		if err := conn.waitForReader(time.Time{}, conn.socket.waitHangUp); !errors.Is(err, errWoken) {
			return false
		}
	}
}

// answerDirectly answers what was no command.
func (resp2) answerDirectly(conn *clientConn, pending *pendingAnswer, text []byte) {
	conn.proxy.mu.Lock()
	conn.proxy.stats.InvalidRequests++
	conn.reading, conn.hasSentRequest, conn.idleSince = false, true, conn.proxy.Now()
	conn.proxy.mu.Unlock()
	conn.completeAnswer(pending, text)
}

// rejectUnreadable answers what can't be read, behind what is owed before it, and lets its sender see the answer.
func (proto resp2) rejectUnreadable(conn *clientConn, err error) {
	text := "ERR the command did not come whole in time"
	var late net.Error
	switch {
	case resp.Bad(err):
		text = "ERR " + err.Error()
	case !errors.As(err, &late) || !late.Timeout():
		return
	}
	proto.answerDirectly(conn, conn.answers.enqueue(), resp.Error(nil, text))
	if !proto.flushAnswers(conn) {
		return
	}
	conn.proxy.mu.Lock()
	crowd := conn.evicted || len(conn.proxy.clients) >= conn.proxy.currentConfig.Load().Document.Clients.Connections
	conn.proxy.mu.Unlock()
	if crowd { // others wait for the room
		return
	}
	conn.linger()
}

// abandonRequests ends what a client that went away has in hand.
func (resp2) abandonRequests(conn *clientConn, unanswered []*request) {
	for _, request := range unanswered {
		conn.proxy.abandonRequest(request)
	}
}

// withoutCompleted gives the commands that have no final answer yet.
func (p *Proxy) withoutCompleted(list []*request) []*request {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, request := range list {
		if !request.Completed {
			list[n] = request
			n++
		}
	}
	clear(list[n:])
	return list[:n]
}
