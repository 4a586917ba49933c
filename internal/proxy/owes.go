package proxy

import (
	"sync"
	"time"

	"flintspread/internal/loadshed"
)

// owed is an answer's place in its client's order.
type owed struct {
	bytes []byte
	done  bool
}

// owes holds what one client is owed, the oldest first: answers follow the order of its commands, whoever comes first.
type owes struct {
	mu      sync.Mutex
	line    []*owed
	out     []byte // due, and not yet taken by the kernel
	writing bool   // a goroutine of its own writes
	dead    bool
}

func (o *owes) next() *owed {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := &owed{}
	o.line = append(o.line, x)
	return x
}

// state tells whether something is still owed or on its way, whether more may be read, and whether nobody is there any more.
func (o *owes) state() (owed, room, dead bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.line) > 0 || len(o.out) > 0 || o.writing, loadshed.MayPipeline(len(o.line), len(o.out)), o.dead
}

// settle gives an answer, and writes what is due by that, without waiting; what the kernel does not take at once goes on by
// itself.
func (cl *client) settle(x *owed, bytes []byte) {
	defer cl.wake()
	o := &cl.owes
	o.mu.Lock()
	defer o.mu.Unlock()
	x.bytes, x.done = bytes, true
	for len(o.line) > 0 && o.line[0].done {
		o.out = append(o.out, o.line[0].bytes...)
		o.line[0] = nil
		o.line = o.line[1:]
	}
	if len(o.out) > 0 && !o.writing && !o.dead {
		n, err := cl.sock.writeNow(o.out)
		o.out = o.out[:copy(o.out, o.out[n:])]
		switch {
		case err != nil:
			o.dead = true
			cl.sock.Close()
		case len(o.out) > 0:
			o.writing = true
			cl.r.conns.Add(1)
			go cl.writeOn()
		case cap(o.out) > 16<<10:
			o.out = nil
		}
	}
}

// writeOn writes for a client that reads slowly, for as long as it takes something: an answer that is cut is none. One that takes
// nothing is waited for as long as a command may take at most.
func (cl *client) writeOn() {
	const piece = 64 << 10
	defer cl.r.conns.Done()
	o := &cl.owes
	for {
		o.mu.Lock()
		buf := o.out
		o.out = nil
		if o.writing = len(buf) > 0 && !o.dead; !o.writing {
			o.mu.Unlock()
			cl.wake()
			return
		}
		o.mu.Unlock()
		cl.r.mem.add(len(buf))
		var err error
		for rest := buf; len(rest) > 0 && err == nil; rest = rest[min(piece, len(rest)):] {
			cl.sock.SetWriteDeadline(time.Now().Add(span(cl.r.longest())))
			_, err = cl.sock.Write(rest[:min(piece, len(rest))])
		}
		cl.sock.SetWriteDeadline(time.Time{})
		cl.r.mem.add(-len(buf))
		if err != nil {
			o.mu.Lock()
			o.dead = true
			o.mu.Unlock()
			cl.sock.Close()
		}
	}
}

// longest is the most that a command may take by the settings, s.
func (r *Proxy) longest() float64 {
	most := 0.0
	for _, op := range r.now.Load().Policy.Classes {
		most = max(most, op.TimeoutSeconds)
	}
	return most
}
