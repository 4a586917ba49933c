package loadgen

import (
	"bufio"
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Op is one op type as it is asked for.
type Op struct {
	Name    string
	Method  string
	Path    string // a key is put behind it
	Share   float64
	Target  float64 // s
	Timeout float64 // s
	Body    int     // bytes
}

// Plan is what a run offers, and how.
type Plan struct {
	Address string
	Shape   Shape
	Ops     []Op
	Keys    uint64  // different ones
	Zipf    float64 // popularity: above 1; 0: even
	Conns   int     // at most
	Clients int     // different addresses that connections come from, on loopback; 0: one
	Retries int     // after a nack
	AtOnce  bool    // not after the pause told
	Seed    uint64
	Lag     float64 // s of its own lag, at the 99th part of a hundred, above which a run is invalid
}

// sending is one command, or a later try of it.
type sending struct {
	at    float64 // when this try is meant to go
	first float64 // when the command was meant to go
	op    int
	key   uint64
	who   uint64
	try   int
}

type later []*sending

func (l later) Len() int           { return len(l) }
func (l later) Less(i, j int) bool { return l[i].at < l[j].at }
func (l later) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *later) Push(x any)        { *l = append(*l, x.(*sending)) }
func (l *later) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

// run is one in progress.
type run struct {
	plan  *Plan
	begin time.Time
	work  sync.WaitGroup

	mu    sync.Mutex
	idle  []*conn
	conns int
	queue []*sending // no connection is free, and no more may be opened
	later later
	out   *Outcome
	wake  chan struct{}
}

// conn is one connection; its goroutine sends and reads.
type conn struct {
	next chan *sending
	from string
	nc   net.Conn
	br   *bufio.Reader
	buf  bytes.Buffer
}

func (r *run) now() float64 { return time.Since(r.begin).Seconds() }

// Run offers a plan's commands and waits for their ends. progress is called each second.
func Run(ctx context.Context, p *Plan, progress func(t float64, o *Outcome)) (*Outcome, error) {
	if err := p.Shape.Check(); err != nil {
		return nil, err
	}
	if len(p.Ops) == 0 || p.Conns <= 0 {
		return nil, fmt.Errorf("no op types, or no connections")
	}
	r := &run{plan: p, begin: time.Now(), out: newOutcome(p), wake: make(chan struct{}, 1)}
	rnd := rand.New(rand.NewPCG(p.Seed, 12))
	var zipf *rand.Zipf
	if p.Zipf > 1 {
		zipf = rand.NewZipf(rnd, p.Zipf, 1, max(1, p.Keys)-1)
	}
	byName := map[string]int{}
	for i, op := range p.Ops {
		byName[op.Name] = i
	}
	draw := func(a Arrival) (*sending, error) {
		s := &sending{at: a.At, first: a.At, key: a.Key, who: a.Client}
		if a.Op != "" {
			i, ok := byName[a.Op]
			if !ok {
				return nil, fmt.Errorf("the trace names op type %q, which the plan does not", a.Op)
			}
			s.op = i
		} else {
			for x := rnd.Float64(); s.op < len(p.Ops)-1 && x >= p.Ops[s.op].Share; s.op++ {
				x -= p.Ops[s.op].Share
			}
		}
		if s.key == 0 && zipf != nil {
			s.key = zipf.Uint64() + 1
		} else if s.key == 0 {
			s.key = rnd.Uint64N(max(1, p.Keys)) + 1
		}
		if s.who == 0 && p.Clients > 0 {
			s.who = rnd.Uint64N(uint64(p.Clients)) + 1
		}
		return s, nil
	}
	times := p.Shape.Times(p.Seed)
	a, more := times()
	told := 1.0
	for ctx.Err() == nil {
		now := r.now()
		for more && a.At <= now {
			s, err := draw(a)
			if err != nil {
				return nil, err
			}
			r.send(s)
			a, more = times()
			now = r.now()
		}
		next := now + 0.05
		if more {
			next = min(next, a.At)
		}
		r.mu.Lock()
		for len(r.later) > 0 && r.later[0].at <= now {
			s := heap.Pop(&r.later).(*sending)
			r.mu.Unlock()
			r.send(s)
			r.mu.Lock()
		}
		if len(r.later) > 0 {
			next = min(next, r.later[0].at)
		}
		r.overdue(now)
		done := !more && r.out.open() == 0
		if now >= told && progress != nil {
			progress(now, r.out)
			told++
		}
		r.mu.Unlock()
		if done {
			break
		}
		if wait := next - r.now(); wait > 0 {
			time.Sleep(time.Duration(wait * float64(time.Second)))
		}
	}
	r.mu.Lock()
	for _, c := range r.idle {
		close(c.next)
	}
	r.idle = nil
	r.out.Length = r.now()
	r.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.work.Wait()
	r.out.finish(p)
	return r.out, nil
}

// overdue gives up what waits for a connection longer than its client would. Under the lock.
func (r *run) overdue(now float64) {
	n := 0
	for n < len(r.queue) && now >= r.queue[n].first+r.plan.Ops[r.queue[n].op].Timeout {
		r.out.ended(r.queue[n], now, gaveUp)
		n++
	}
	r.queue = r.queue[n:]
}

// send hands a sending to a free connection, to a new one, or lets it wait for one.
func (r *run) send(s *sending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.try == 0 {
		r.out.began(s)
	}
	if n := len(r.idle); n > 0 {
		c := r.idle[n-1]
		r.idle = r.idle[:n-1]
		r.out.lag(r.now() - s.at)
		c.next <- s // it is idle: there is room
		return
	}
	if r.conns >= r.plan.Conns {
		r.queue = append(r.queue, s)
		return
	}
	r.conns++
	r.out.lag(r.now() - s.at)
	c := &conn{next: make(chan *sending, 1)}
	if r.plan.Clients > 0 {
		c.from = fmt.Sprintf("127.0.%d.%d:0", 1+s.who/250, 1+s.who%250)
	}
	c.next <- s
	r.work.Go(func() { r.serve(c) })
}

// serve sends what it is handed until there is no more.
func (r *run) serve(c *conn) {
	defer func() {
		if c.nc != nil {
			c.nc.Close()
		}
	}()
	for s := range c.next {
		for s != nil {
			s = r.once(c, s)
		}
	}
}

// once sends one try, enters what became of it, and gives what the connection is to send next, if anything waits.
func (r *run) once(c *conn, s *sending) *sending {
	op := &r.plan.Ops[s.op]
	due := s.first + op.Timeout
	kind, pause := r.try(c, s, op, due)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if kind == nacked && s.try < r.plan.Retries {
		at := now
		if !r.plan.AtOnce {
			at += pause
		}
		if at+op.Target/4 < due {
			r.out.Retried++
			heap.Push(&r.later, &sending{at: at, first: s.first, op: s.op, key: s.key, who: s.who, try: s.try + 1})
			kind = again
		}
	}
	if kind != again {
		r.out.ended(s, now, kind)
	}
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		return next
	}
	r.idle = append(r.idle, c)
	return nil
}

// try sends one try and waits for its answer until the client gives up.
func (r *run) try(c *conn, s *sending, op *Op, due float64) (kind ending, pause float64) {
	left := due - r.now()
	if left <= 0 {
		return gaveUp, 0
	}
	deadline := r.begin.Add(time.Duration(due * float64(time.Second)))
	if c.nc == nil {
		d := net.Dialer{Deadline: deadline}
		if c.from != "" {
			if at, err := net.ResolveTCPAddr("tcp", c.from); err == nil {
				d.LocalAddr = at
			}
		}
		nc, err := d.Dial("tcp", r.plan.Address)
		if err != nil {
			if r.now() >= due-0.001 {
				return gaveUp, 0
			}
			return unreached, 0
		}
		c.nc, c.br = nc, bufio.NewReaderSize(nc, 4096)
	}
	c.buf.Reset()
	fmt.Fprintf(&c.buf, "%s %s%d HTTP/1.1\r\nHost: load\r\nFlint-Time: %.4f\r\nFlint-Key: %d\r\nIdempotency-Key: %d-%d\r\n", op.Method, op.Path, s.key, left, s.key, s.key, int64(s.first*1e6))
	if s.try > 0 {
		c.buf.WriteString("Flint-Repeat: 1\r\n")
	}
	if op.Body > 0 {
		fmt.Fprintf(&c.buf, "Content-Length: %d\r\n", op.Body)
	}
	c.buf.WriteString("\r\n")
	c.buf.Write(make([]byte, op.Body))
	c.nc.SetDeadline(deadline)
	if _, err := c.nc.Write(c.buf.Bytes()); err != nil {
		return r.lost(c, due)
	}
	kind, pause, last, err := readAnswer(c.br)
	if err != nil {
		return r.lost(c, due)
	}
	if last {
		c.nc.Close()
		c.nc = nil
	}
	return kind, pause
}

func (r *run) lost(c *conn, due float64) (ending, float64) {
	c.nc.Close()
	c.nc = nil
	if r.now() >= due-0.001 {
		return gaveUp, 0
	}
	return broken, 0
}

// readAnswer reads one answer and throws its body away.
func readAnswer(br *bufio.Reader) (kind ending, pause float64, last bool, err error) {
	length := 0
	kind = failed
	for i := 0; ; i++ {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return kind, 0, true, err
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 && i > 0 {
			break
		}
		if i == 0 {
			if len(line) < 12 {
				return kind, 0, true, fmt.Errorf("no status in %q", line)
			}
			if line[9] == '2' {
				kind = acked
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch string(name) {
		case "Content-Length":
			length, _ = strconv.Atoi(string(value))
		case "Flint-Answer":
			switch string(value) {
			case "acked":
				kind = acked
			case "nacked":
				kind = nacked
			default:
				kind = failed
			}
		case "Flint-Pause":
			pause, _ = strconv.ParseFloat(string(value), 64)
		case "Connection":
			last = string(value) == "close"
		}
	}
	_, err = br.Discard(length)
	return kind, pause, last, err
}
