package proxy

import (
	"bufio"
	"fmt"
	"time"

	"flintspread/internal/configstate"
	"flintspread/internal/policy"
)

// speech is the form that messages have on the wire: one seam to clients, one to units. It knows no rule and decides nothing.
type speech interface {
	// To clients: serve takes a client's commands until its connection is of no more use; nacked and failed word final answers
	// of the relay's own, reply hands one to its client without waiting; crowded goes to a client there is no room for.
	serve(cl *client)
	nacked(v *configstate.Version, pause float64) answer
	failed(v *configstate.Version, late bool) answer
	reply(c *command, ans answer)
	crowded(pause float64) []byte

	// rouse has a client's reader look whether its connection is to end. Under the relay's lock.
	rouse(cl *client)

	// To units: rest is the s after an answer in which its connection gets no further delivery; word gives a delivery's bytes, left being the s that the relay waits for it; read reads its answer. An
	// error says that the connection is of no further use, and that the delivery may have run. keep: the connection may be
	// used again.
	// atLastByte: a unit begins a delivery with its last byte, so that one cut before it never ran.
	rest() float64
	atLastByte() bool
	word(req *request, left float64) []byte
	read(br *bufio.Reader, g *gate, d *delivery) (ans answer, result policy.Outcome, keep bool, err error)
}

// web is HTTP/1.1, as docs/protocol.md tells it.
type web struct{}

func (web) serve(cl *client) { cl.serve() }

func (web) rouse(cl *client) {
	if !cl.reading { // a drain lets it come
		cl.sock.SetReadDeadline(time.Now())
	}
}

func (web) nacked(v *configstate.Version, pause float64) answer {
	return plain(503, "nacked", "not done; trying again does no harm", pause).under(v)
}

func (web) failed(v *configstate.Version, late bool) answer {
	status := 502
	if late {
		status = 504
	}
	return plain(status, "failed", "failed; it may have been done", 0).under(v)
}

func (web) reply(c *command, ans answer) { c.client.reply(ans) }

func (web) crowded(pause float64) []byte {
	return plain(503, "nacked", "too many connections", pause).closing().bytes
}

func (web) rest() float64 { return 0 }

func (web) atLastByte() bool { return false } // a unit may act on a head alone

func (web) word(req *request, left float64) []byte {
	buf := make([]byte, 0, len(req.head)+len(req.body)+40)
	buf = append(buf, req.head...)
	buf = fmt.Appendf(buf, headTime+": %.3f\r\n\r\n", left)
	return append(buf, req.body...)
}

func (web) read(br *bufio.Reader, g *gate, d *delivery) (answer, policy.Outcome, bool, error) {
	ans, status, full, keep, err := readAnswer(br, g, d.cmd.req.method, fmt.Sprintf("%d-%.3f", d.unit, d.at), d.cmd.under.Document.Endpoints.AnswerBytes)
	switch {
	case err != nil:
		return answer{}, policy.ConnectionLost, false, err
	case full:
		return answer{}, policy.Overloaded, keep, nil
	case status >= 500:
		return answer{}, policy.ServerError, keep, nil
	}
	return ans.under(d.cmd.under), policy.Succeeded, keep, nil
}
