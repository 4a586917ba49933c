package proxy

import (
	"hash/fnv"

	"golang.org/x/sys/unix"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// worths gives the shedding module what it reads of the terms.
func worths(t *policy.Config) (ops []loadshed.RequestClass) {
	for _, op := range t.Classes {
		ops = append(ops, loadshed.RequestClass{LatencyObjectiveSeconds: op.LatencyObjectiveSeconds, PriorityWeight: op.PriorityWeight})
	}
	return ops
}

// shed asks whether this process can take a command at all, before the policy is asked where it goes. What is turned away was
// never sent, so that a nack is right. Under the lock.
func (r *Proxy) shed(now float64, c *command) bool {
	if c.req.admitted || !r.mem.full(0) && (r.gate == nil || r.gate.Admit(now, loadshed.Request{Class: c.Class, Client: c.client.who, Retry: c.ClientRetry, RemainingSeconds: c.Deadline - now})) {
		return false
	}
	r.count.Shed++
	return true
}

// turnedAway is the answer to what is shed: one text for a version, for it is given when there is no time to write others.
func (r *Proxy) turnedAway(v *configstate.Version) answer {
	if r.away.bytes == nil || r.awayFor != v {
		r.awayFor, r.away = v, r.speech.nacked(v, v.Policy.MaxRetryAfterSeconds)
	}
	return r.away
}

// waited is how long what is being read lay in the kernel before this process came to it, s: its client's time began then. It
// costs a call for each command, so that it is asked only while the process is behind.
func (cl *client) waited() float64 {
	if !cl.r.behind.Load() {
		return 0
	}
	return cl.lay()
}

// lay asks the kernel when it last got something from the client.
func (cl *client) lay() float64 {
	if cl.sock.raw == nil {
		return 0
	}
	ms := uint32(0)
	cl.sock.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ms = info.Last_data_recv
		}
	})
	for {
		most := cl.r.oldest.Load()
		if ms <= most || cl.r.oldest.CompareAndSwap(most, ms) {
			return float64(ms) / 1e3
		}
	}
}

// look measures this process and tells the module. Under the lock.
func (r *Proxy) look(now float64) {
	r.lag = max(0, now-r.turnAt)
	r.self = r.watch.Sample()
	r.b.SetOwnDelay(r.late.Observe(r.lag, r.self.SchedulerDelaySeconds, r.now.Load().Document.Rules.Round)) // what this process is late with is no unit's silence
	if r.gate == nil {
		return
	}
	heap := 0.0
	if r.self.HeapLimitBytes > 0 {
		heap = float64(r.self.HeapBytes) / float64(r.self.HeapLimitBytes)
	}
	reading := loadshed.LoadSample{TimerDelaySeconds: max(r.lag, float64(r.oldest.Swap(0))/1e3), SchedulerDelaySeconds: r.self.SchedulerDelaySeconds, GCShare: r.self.GCShare, CPUShare: r.self.CPUShare,
		HeapShare: heap, BufferShare: r.mem.share()}
	defer func() {
		r.shedding.Store(r.gate.ShedShare() > 0)
		r.behind.Store(r.gate.Overloaded(reading))
	}()
	r.gate.Observe(now, reading)
}

// answeredBy tells the module what a command took. Under the lock.
func (r *Proxy) answeredBy(c *command, now float64, bytes int) {
	if r.gate != nil {
		r.gate.OnSuccess(c.Class, now-c.ReceivedAt, bytes)
	}
}

// reworth follows a version of the settings. Under the lock.
func (r *Proxy) reworth(v *configstate.Version) {
	if r.gate != nil {
		r.gate.SetClasses(worths(v.Policy))
	}
}

// whoIs names a client by its host: many connections of one are one.
func whoIs(addr string) uint64 {
	for i := len(addr) - 1; i >= 0; i-- {
		if addr[i] == ':' {
			addr = addr[:i]
			break
		}
	}
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
