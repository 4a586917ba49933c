package proxy

import (
	"hash/fnv"

	"golang.org/x/sys/unix"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
)

// shedderClasses gives the shedding module what it reads of the terms.
func shedderClasses(t *policy.Config) (ops []loadshed.RequestClass) {
	for _, class := range t.Classes {
		ops = append(ops, loadshed.RequestClass{LatencyObjectiveSeconds: class.LatencyObjectiveSeconds, PriorityWeight: class.PriorityWeight})
	}
	return ops
}

// shed asks whether this process can take a command at all, before the policy is asked where it goes. What is turned away was
// never sent, so that a nack is right. Under the lock.
func (p *Proxy) shed(now float64, request *request) bool {
	if request.message.admitted || !p.memory.exceededBy(0) && (p.shedder == nil || p.shedder.Admit(now, loadshed.Request{Class: request.Class, Client: request.conn.hostHash, Retry: request.ClientRetry, RemainingSeconds: request.Deadline - now})) {
		return false
	}
	p.stats.Shed++
	return true
}

// shedAnswerFor is the answer to what is shed: one text for a version, for it is given when there is no time to write others.
func (p *Proxy) shedAnswerFor(v *configstate.Version) answer {
	if p.shedAnswer.bytes == nil || p.shedAnswerConfig != v {
		p.shedAnswerConfig, p.shedAnswer = v, p.protocol.rejectedAnswer(v, v.Policy.MaxRetryAfterSeconds)
	}
	return p.shedAnswer
}

// queuedSecondsIfOverloaded is how long what is being read lay in the kernel before this process came to it, s: its client's time began then. It
// costs a call for each command, so that it is asked only while the process is behind.
func (conn *clientConn) queuedSecondsIfOverloaded() float64 {
	if !conn.proxy.overloaded.Load() {
		return 0
	}
	return conn.queuedSeconds()
}

// queuedSeconds asks the kernel when it last got something from the client.
func (conn *clientConn) queuedSeconds() float64 {
	if conn.socket.raw == nil {
		return 0
	}
	ms := uint32(0)
	conn.socket.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ms = info.Last_data_recv
		}
	})
	for {
		most := conn.proxy.maxQueuedMillis.Load()
		if ms <= most || conn.proxy.maxQueuedMillis.CompareAndSwap(most, ms) {
			return float64(ms) / 1e3
		}
	}
}

// sampleLoad measures this process and tells the module. Under the lock.
func (p *Proxy) sampleLoad(now float64) {
	p.timerDelaySeconds = max(0, now-p.policyTickAt)
	p.processSample = p.sampler.Sample()
	p.balancer.SetOwnDelay(p.delayTracker.Observe(p.timerDelaySeconds, p.processSample.SchedulerDelaySeconds, p.currentConfig.Load().Document.Rules.Round)) // what this process is late with is no unit's silence
	if p.shedder == nil {
		return
	}
	heap := 0.0
	if p.processSample.HeapLimitBytes > 0 {
		heap = float64(p.processSample.HeapBytes) / float64(p.processSample.HeapLimitBytes)
	}
	reading := loadshed.LoadSample{TimerDelaySeconds: max(p.timerDelaySeconds, float64(p.maxQueuedMillis.Swap(0))/1e3), SchedulerDelaySeconds: p.processSample.SchedulerDelaySeconds, GCShare: p.processSample.GCShare, CPUShare: p.processSample.CPUShare,
		HeapShare: heap, BufferShare: p.memory.usedShare()}
	defer func() {
		p.shedding.Store(p.shedder.ShedShare() > 0)
		p.overloaded.Store(p.shedder.Overloaded(reading))
	}()
	p.shedder.Observe(now, reading)
}

// observeSuccess tells the module what a command took. Under the lock.
func (p *Proxy) observeSuccess(request *request, now float64, bytes int) {
	if p.shedder != nil {
		p.shedder.OnSuccess(request.Class, now-request.ReceivedAt, bytes)
	}
}

// setShedderClasses follows a version of the settings. Under the lock.
func (p *Proxy) setShedderClasses(v *configstate.Version) {
	if p.shedder != nil {
		p.shedder.SetClasses(shedderClasses(v.Policy))
	}
}

// hashHost names a client by its host: many connections of one are one.
func hashHost(addr string) uint64 {
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
