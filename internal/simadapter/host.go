// Package wire is the adapter between the simulator's wire and the policy: framing, instances, timers and the
// commands in hand. It decides nothing.
package simadapter

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"

	"flintspread/internal/policy"
	"flintspread/internal/policyconfig"
)

// Event and action codes.
const (
	hello           = 16
	directoryUpdate = 17
	ingress         = 18
	streaming       = 19
	outcome         = 20
	vanished        = 21
	elapsed         = 22
	checked         = 23
	peerData        = 24
	down            = 25
	promotion       = 26
	sampled         = 27
	contested       = 28
	table           = 29

	bounce        = 81
	ruling        = 83
	route         = 85
	lose          = 88
	recall        = 89
	streamChanges = 91
	remind        = 92
)

const (
	turnMark = 0 // the periodic timer
	dueMark  = 1 // plus a counter: the earliest of the other due times
)

// due is a moment at which the policy wants to be asked about a command again.
type due struct {
	at  float64
	seq uint64
	cmd *policy.Request
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

type instance struct {
	id       uint32
	b        *policy.Balancer
	ops      int
	cmds     map[uint32]*policy.Request
	dues     dues
	seq      uint64
	dueAt    float64 // the moment of the due timer that is set, 0 if none
	dueToken uint64
	turned   bool
}

type host struct {
	out       reply
	instances map[uint32]*instance
	tables    [16][]byte
	now       float64
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint32]*instance{}}
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var buf []byte
	for {
		frame, err := readFrame(r, buf)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		buf = frame
		h.out.reset()
		if err := h.batch(frame); err != nil {
			return err
		}
		if err := h.out.flush(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func (h *host) batch(frame []byte) error {
	head := record(frame)
	h.now = head.secs(0)
	n := uint64(head.u32(8))
	if n*eventLen > uint64(len(frame)-headLen) {
		return fmt.Errorf("frame of %d bytes holds no %d records", len(frame), n)
	}
	records, tail := frame[headLen:headLen+n*eventLen], frame[headLen+n*eventLen:]
	for len(records) > 0 {
		rec := record(records[:eventLen])
		records = records[eventLen:]
		if err := h.event(rec, tail); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) event(rec record, tail []byte) error {
	code := rec.u8(0)
	if code < hello || code > table {
		return fmt.Errorf("unknown event code %d", code)
	}
	if code == table {
		entries, err := rec.tail(3, tail, entryLen)
		if n := rec.u16(1); int(n) >= len(h.tables) {
			return fmt.Errorf("table number %d", n)
		} else if err == nil {
			h.tables[n] = append([]byte{}, entries...)
		}
		return err
	}
	id := rec.u32(1)
	if code == hello {
		return h.start(id, rec, tail)
	}
	x := h.instances[id]
	if x == nil {
		return nil // what comes for an instance that is down concerns nobody
	}
	switch code {
	case down:
		delete(h.instances, id)
		return nil
	case directoryUpdate:
		return h.list(x, rec)
	case ingress:
		return h.command(x, rec)
	case streaming:
		if c := x.cmds[rec.u32(5)]; c != nil {
			c.Streaming = true
		}
	case outcome:
		return h.ended(x, rec)
	case vanished:
		if c := x.cmds[rec.u32(5)]; c != nil {
			c.Completed = true
			h.apply(x, c, x.b.Pick(h.now, c))
		}
	case elapsed:
		h.timer(x, rec.u64(5))
	case promotion:
		if phase := rec.u8(8); phase > uint8(policy.PhaseWithdrawn) {
			return fmt.Errorf("unknown phase %d", phase)
		}
		h.promotion(x, rec)
	case contested:
		x.b.ReportWrongAnswer(h.now, rec.u32(5), rec.secs(10))
	}
	x.setTimer(h)
	return nil
}

func (h *host) start(id uint32, rec record, tail []byte) error {
	text, err := rec.tail(13, tail, 1)
	if err != nil {
		return err
	}
	t, err := policyconfig.Decode(policyconfig.ParseLines(string(text)))
	if err != nil {
		return err
	}
	x := &instance{id: id, b: policy.New(t, rec.u64(5), h.now), ops: len(t.Classes),
		cmds: map[uint32]*policy.Request{}}
	h.instances[id] = x
	h.turn(x)
	return nil
}

func (h *host) list(x *instance, rec record) error {
	kind := rec.u8(5)
	if kind > 3 {
		return fmt.Errorf("unknown list kind %d", kind)
	}
	if kind == 3 {
		x.b.EndpointListFailed()
		return nil
	}
	n := rec.u16(10)
	if int(n) >= len(h.tables) {
		return fmt.Errorf("table number %d", n)
	}
	x.b.BeginEndpointList(kind != 0)
	for entries := h.tables[n]; len(entries) > 0; entries = entries[entryLen:] {
		e := record(entries)
		state := policy.Ready
		switch s := e.u8(14); s {
		case 0:
		case 1:
			state = policy.Draining
		case 3:
			state = policy.Gone
		default:
			return fmt.Errorf("unknown unit state %d", s)
		}
		x.b.UpdateEndpoint(e.u32(0), e.u16(4), e.u16(12), int(e.f32(8)), state, e.f32(15), e.secs(19))
	}
	x.b.EndEndpointList(h.now)
	return nil
}

func (h *host) command(x *instance, rec record) error {
	op, bits := int(rec.u8(17)), rec.u8(26)
	if op >= x.ops {
		return fmt.Errorf("unknown class %d", op)
	}
	c := &policy.Request{ID: rec.u32(5), Class: op, Key: rec.u64(18), ReceivedAt: h.now, Deadline: h.now + rec.secs(9),
		ClientRetry: bits&2 != 0}
	if bits&1 != 0 {
		c.Work = rec.secs(31)
	}
	x.cmds[c.ID] = c
	h.apply(x, c, x.b.Pick(h.now, c))
	x.setTimer(h)
	return nil
}

// results holds the wire's outcomes in the policy's words, and whether one may have run.
var results = []struct {
	r     policy.Outcome
	maybe bool
}{
	{policy.ServerError, true}, {policy.Succeeded, true}, {policy.Overloaded, false}, {policy.TimedOut, true},
	{policy.NotConnected, false}, {policy.ConnectionLost, true}, {policy.Cancelled, true}, {policy.NotSent, false},
}

func (h *host) ended(x *instance, rec record) error {
	verdict := int(rec.u16(15))
	if verdict >= len(results) {
		return fmt.Errorf("unknown outcome %d", verdict)
	}
	c, try := x.cmds[rec.u32(5)], int(rec.u16(9))
	if c == nil || try >= len(c.Attempts) || !c.Attempts[try].InFlight {
		return nil
	}
	d, was := &c.Attempts[try], results[verdict]
	d.InFlight, d.MayHaveRun = false, was.maybe
	c.Completed = c.Completed || rec.u8(25) != 0
	h.apply(x, c, x.b.OnAttemptDone(h.now, c, d.Endpoint, was.r, rec.secs(17)))
	x.setTimer(h)
	return nil
}

func (h *host) timer(x *instance, mark uint64) {
	if mark == turnMark {
		h.turn(x)
		return
	}
	if mark != x.dueToken || x.dueAt == 0 {
		return // overtaken by an earlier one
	}
	x.dueAt = 0
	for n := len(x.dues); n > 0 && len(x.dues) > 0 && x.dues[0].at <= h.now+1e-9; n-- {
		c := heap.Pop(&x.dues).(due).cmd
		if !c.Completed {
			h.apply(x, c, x.b.Pick(h.now, c))
		}
	}
}

func (h *host) promotion(x *instance, rec record) {
	verdict := rec.u16(10)
	if rec.u8(9) == 1 {
		switch verdict {
		case 1:
			x.b.OnVoteReply(h.now, policy.VoteCounted)
		case 7:
			x.b.OnVoteReply(h.now, policy.VoteMoot)
		case 3:
			x.b.OnVoteReply(h.now, policy.VoteUnknown)
		default:
			x.b.OnVoteReply(h.now, policy.VoteRefused)
		}
	}
	if verdict == 1 {
		x.b.ApplyRelease(h.now, int(rec.u16(5)), int(rec.u8(7)), policy.Phase(rec.u8(8)), rec.f32(12), rec.secs(16))
	}
}

func (h *host) turn(x *instance) {
	t := x.b.TickController(h.now)
	if t.SubscribeToEndpoints {
		h.out.add(streamChanges, x.id)[5] = 1
	}
	if t.CastVote {
		v := h.out.add(ruling, x.id)
		v.put16(5, uint16(t.Build))
		v[7], v[8] = uint8(t.Stage), uint8(t.Verdict)
	}
	r := h.out.add(remind, x.id)
	r.putMS(5, t.NextTickSeconds)
	r.put64(13, turnMark)
}

func (h *host) apply(x *instance, c *policy.Request, s policy.Decision) {
	switch s.Action {
	case policy.Send:
		a := h.out.add(route, x.id)
		a.put32(5, c.ID)
		a.put32(9, s.Endpoint)
		a.putMS(13, s.AttemptDeadline)
		c.Attempts = append(c.Attempts, policy.Attempt{Endpoint: s.Endpoint, StartedAt: h.now, InFlight: true})
	case policy.Reject:
		a := h.out.add(bounce, x.id)
		a.put32(5, c.ID)
		a.putMS(9, s.RetryAfterSeconds)
		c.Completed = true
	case policy.Fail:
		h.out.add(lose, x.id).put32(5, c.ID)
		c.Completed = true
	}
	if s.PickAgainAt > 0 && s.PickAgainAt < c.Deadline && !c.Completed {
		x.seq++
		heap.Push(&x.dues, due{s.PickAgainAt, x.seq, c})
	}
	if s.CancelInFlight {
		for i, d := range c.Attempts {
			if d.InFlight {
				a := h.out.add(recall, x.id)
				a.put32(5, c.ID)
				a.put16(9, uint16(i))
			}
		}
	}
	x.forget(c)
}

// forget drops a command that has ended and of which nothing is out.
func (x *instance) forget(c *policy.Request) {
	if !c.Completed {
		return
	}
	for _, d := range c.Attempts {
		if d.InFlight {
			return
		}
	}
	delete(x.cmds, c.ID)
}

// setTimer asks for the earliest due time, unless a timer for it or an earlier one is set.
func (x *instance) setTimer(h *host) {
	for len(x.dues) > 0 && x.dues[0].cmd.Completed {
		heap.Pop(&x.dues)
	}
	if len(x.dues) == 0 || x.dueAt > 0 && x.dueAt <= x.dues[0].at {
		return
	}
	x.dueAt = x.dues[0].at
	x.dueToken++
	x.dueToken = max(x.dueToken, dueMark)
	r := h.out.add(remind, x.id)
	r.putMS(5, max(0, x.dueAt-h.now))
	r.put64(13, x.dueToken)
}
