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

// plat is the platform's protocol: RESP2, commands behind one another, each named by an id.
type plat struct{}

const (
	cmdRead   = "API.READ"  // of redeliverable op types
	cmdWrite  = "API.WRITE" // of the others, with a body
	pauseLook = 0.02        // s between two looks for room in the memory budget

	mostName = 256 // bytes of an id, of a key, of a list of names and values
)

func (plat) nacked(_ *configstate.Version, pause float64) answer {
	if pause <= 0 {
		return answer{[]byte("-BUSY\r\n"), "nacked"}
	}
	return answer{fmt.Appendf(nil, "-BUSY %d\r\n", int(math.Ceil(pause*1000))), "nacked"}
}

func (plat) failed(*configstate.Version, bool) answer {
	return answer{[]byte("-ERR failed; it may have been done\r\n"), "failed"}
}

func (plat) crowded(float64) []byte { return []byte("-ERR too many connections\r\n") }

func (plat) reply(c *command, ans answer) { c.client.settle(c.owed, ans.bytes) }

func (plat) rest() float64 { return loadshed.ConnReuseDelaySeconds }

func (plat) atLastByte() bool { return true }

func (plat) word(req *request, left float64) []byte {
	ms := strconv.AppendInt(nil, int64(max(1, left*1000)), 10)
	buf := make([]byte, 0, len(req.head)+len(req.extras)+len(req.body)+64)
	buf = append(buf, req.head...)
	extras := make([]byte, 0, len(req.extras)+8)
	extras = append(append(append(extras, req.extras[:req.dAt]...), ms...), req.extras[req.dAt:]...)
	buf = resp.Bulk(buf, extras)
	return append(buf, req.body...)
}

// read takes the value from a unit's answer. What can't be read, or says what no unit says, is spoilt: it may have run.
func (plat) read(br *bufio.Reader, g *gate, d *delivery) (answer, policy.Outcome, bool, error) {
	g.left = math.MaxInt64 // the framing has its own bounds
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

// command reads the words of a client's command.
func (plat) command(v *configstate.Version, args [][]byte) (req *request, op int, err error) {
	write := string(args[0]) == cmdWrite
	switch {
	case !write && string(args[0]) != cmdRead:
		return nil, 0, fmt.Errorf("unknown command %.32q", args[0])
	case !write && len(args) != 4 || write && len(args) != 5:
		return nil, 0, fmt.Errorf("%s with %d words", args[0], len(args)-1)
	}
	key, id, extras := args[1], args[2], args[3]
	if !named(key) || !named(id) || len(extras) > mostName {
		return nil, 0, errors.New("no key or no id, or one that can't be meant")
	}
	req, op = &request{id: string(id), key: max(1, xxhash.Sum64(key)), dAt: -1}, -1
	mark := false
	for at, rest := 0, extras; len(rest) > 0; {
		pair, after, _ := bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !named(value) {
			return nil, 0, fmt.Errorf("%.32q is no name and value", pair)
		}
		switch string(name) {
		case "c":
			op = v.ClassNamed(value)
		case "d":
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || ms == 0 || req.dAt >= 0 {
				return nil, 0, fmt.Errorf("d: %.32q is no number of milliseconds", value)
			}
			req.due, req.dAt = float64(ms)/1000, at+2
			req.extras = append(append(req.extras, extras[:at+2]...), extras[at+len(pair):]...)
		case "k":
			mark = true
		case "r":
			req.repeat = string(value) == "1"
		default:
			return nil, 0, fmt.Errorf("unknown name %.32q", name)
		}
		at, rest = at+len(pair)+1, after
	}
	switch {
	case op < 0:
		return nil, 0, errors.New("no such class")
	case req.dAt < 0:
		return nil, 0, errors.New("no d")
	case write != (v.Policy.Classes[op].Idempotency != policy.Idempotent):
		return nil, 0, fmt.Errorf("%s is not for this class", args[0])
	case mark != (v.Policy.Classes[op].Idempotency == policy.IdempotentWithKey):
		return nil, 0, errors.New("k belongs to classes with a key, and to no others")
	}
	req.head = resp.Array(make([]byte, 0, 32+len(key)+len(id)), len(args))
	for _, word := range args[:3] {
		req.head = resp.Bulk(req.head, word)
	}
	if write {
		req.body = resp.Bulk(make([]byte, 0, len(args[4])+16), args[4])
	}
	return req, op, nil
}

// named tells whether a word can stand for something: not empty, not long, nothing that ends a line.
func named(word []byte) bool {
	for _, c := range word {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return len(word) > 0 && len(word) <= mostName
}

// serve takes commands as they come, each with its own clock, and lets answers follow in their order.
func (p plat) serve(cl *client) {
	r, o := cl.r, &cl.owes
	g := &gate{from: cl.sock.Conn, mem: &r.mem, left: math.MaxInt64}
	defer g.release()
	br := bufio.NewReaderSize(g, 4096)
	var hands []*command // that may have no answer yet
	defer func() { p.left(cl, hands) }()
	for first := true; p.next(cl, br, first); first = false {
		waited := cl.lay()
		r.mu.Lock()
		cl.reading = true // a drain lets it come
		cl.sock.SetReadDeadline(time.Now().Add(span(p.patience(cl))))
		r.mu.Unlock()
		args, err := resp.Command(br)
		if err != nil {
			p.refuse(cl, err)
			return
		}
		v := r.now.Load()
		x := o.next()
		if len(args) == 1 && string(args[0]) == "PING" {
			r.whenReady(cl, func() { p.direct(cl, x, []byte("+PONG\r\n")) })
		} else if req, op, err := p.command(v, args); err != nil {
			p.direct(cl, x, resp.Error(nil, "ERR "+err.Error()))
		} else {
			req.waited = waited
			if c := r.accept(cl, req, v, op, x); c == nil {
				p.direct(cl, x, []byte("-ERR a command with this id is in hand\r\n"))
			} else {
				hands = append(hands, c)
			}
		}
		g.release()
		hands = r.stillIn(hands)
	}
}

// rouse bounds a command that has begun to come, too: half a one must not outlast the room or the relay.
func (p plat) rouse(cl *client) {
	if cl.reading && cl.going {
		cl.sock.SetReadDeadline(time.Now()) // others wait for its room; it is told
	} else if cl.reading {
		cl.sock.SetReadDeadline(time.Now().Add(span(p.patience(cl))))
	}
	cl.wake()
}

// patience is how long a command may take to come, s. Under the relay's lock.
func (plat) patience(cl *client) float64 {
	r := cl.r
	most := loadshed.ReadTimeoutSeconds(r.now.Load().Document.Clients.ReadTime, cl.going)
	if r.draining && r.answerBy > 0 {
		most = max(0, min(most, r.answerBy-r.Now()))
	}
	return most
}

// next waits for a command's first byte, and for room to read it. false: the client has gone, or nothing is owed to it and it was
// idle for too long, or is to go. Its going is seen at any time, also while something is owed and while nothing more is read.
func (p plat) next(cl *client, br *bufio.Reader, first bool) bool {
	r := cl.r
	peek := func() error { _, err := br.Peek(1); return err }
	idle, paused := time.Now(), 0.0
	for {
		owed, room, dead := cl.owes.state()
		lim := &r.now.Load().Document.Clients
		patience := lim.IdleTime
		if first {
			r.mu.Lock()
			patience = p.patience(cl) // one that connects and says nothing
			r.mu.Unlock()
		}
		var until time.Time
		switch {
		case dead:
			return false
		case owed:
			idle = time.Now()
		case cl.toEnd(first) && br.Buffered() == 0 && !cl.more():
			return false
		default:
			until = idle.Add(span(patience))
		}
		look := peek
		if !room {
			look = cl.sock.hangUp
		} else if paused > 0 {
			look, until = cl.sock.hangUp, time.Now().Add(span(min(pauseLook, paused)))
		}
		switch err := cl.wait(until, look); {
		case err == nil && !room, err == nil && paused > 0: // it hung up
			return false
		case err == nil:
			if paused = r.mem.pause(); paused == 0 {
				return true
			}
		case errors.Is(err, errWoken):
		case !timedOut(err):
			return false
		case paused > 0: // what has come is read once there is room, or it was waited for long enough
			if paused -= pauseLook; paused <= 0 || !r.mem.tight() {
				return true
			}
		case owed:
		case !cl.more():
			return false // idle for too long
		default:
			idle = time.Now() // a command came in the last moment
		}
	}
}

// finish lets everything owed go out before the connection ends. false: its client has gone.
func (p plat) finish(cl *client) bool {
	for {
		owed, _, dead := cl.owes.state()
		if dead {
			return false
		}
		if !owed {
			return true
		}
		if err := cl.wait(time.Time{}, cl.sock.hangUp); !errors.Is(err, errWoken) {
			return false
		}
	}
}

// direct answers what was no command.
func (plat) direct(cl *client, x *owed, text []byte) {
	cl.r.mu.Lock()
	cl.r.count.InvalidRequests++
	cl.reading, cl.spoke, cl.since = false, true, cl.r.Now()
	cl.r.mu.Unlock()
	cl.settle(x, text)
}

// refuse answers what can't be read, behind what is owed before it, and lets its sender see the answer.
func (p plat) refuse(cl *client, err error) {
	text := "ERR the command did not come whole in time"
	var late net.Error
	switch {
	case resp.Bad(err):
		text = "ERR " + err.Error()
	case !errors.As(err, &late) || !late.Timeout():
		return
	}
	p.direct(cl, cl.owes.next(), resp.Error(nil, text))
	if !p.finish(cl) {
		return
	}
	cl.r.mu.Lock()
	crowd := cl.going || len(cl.r.clients) >= cl.r.now.Load().Document.Clients.Connections
	cl.r.mu.Unlock()
	if crowd { // others wait for the room
		return
	}
	cl.linger()
}

// left ends what a client that went away has in hand.
func (plat) left(cl *client, hands []*command) {
	for _, c := range hands {
		cl.r.left(c)
	}
}

// stillIn gives the commands that have no final answer yet.
func (r *Proxy) stillIn(list []*command) []*command {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range list {
		if !c.Completed {
			list[n] = c
			n++
		}
	}
	clear(list[n:])
	return list[:n]
}
