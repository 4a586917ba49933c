package proxy

import (
	"golang.org/x/sys/unix"

	"flintspread/internal/loadshed"
)

// sampleLoad measures the load and delays of this process and passes them to the shedder and the balancer, so that
// delays of this process are not attributed to endpoints. The caller holds p.mu.
func (p *Proxy) sampleLoad(now float64) {
	p.timerDelaySeconds = max(0, now-p.policyTickAt)
	p.processSample = p.sampler.Sample()
	timerResolution := p.currentConfig.Load().Document.Rules.TimerResolutionSeconds
	p.balancer.SetProcessingDelay(p.delayTracker.Observe(p.timerDelaySeconds, p.processSample.SchedulerDelaySeconds, timerResolution))
	if p.shedder == nil {
		return
	}
	sample := p.loadSample()
	p.shedder.Observe(now, sample)
	p.shedding.Store(p.shedder.ShedShare() > 0)
	p.measureQueueing.Store(p.shedder.ShouldMeasureQueueing(sample))
}

// loadSample combines the last measurements for the shedder and resets maxQueuedMillis.
func (p *Proxy) loadSample() loadshed.LoadSample {
	process := &p.processSample
	heapShare := 0.0
	if process.HeapLimitBytes > 0 {
		heapShare = float64(process.HeapBytes) / float64(process.HeapLimitBytes)
	}
	return loadshed.LoadSample{
		TimerDelaySeconds:     max(p.timerDelaySeconds, float64(p.maxQueuedMillis.Swap(0))/1e3),
		SchedulerDelaySeconds: process.SchedulerDelaySeconds,
		GCShare:               process.GCShare,
		CPUShare:              process.CPUShare,
		HeapShare:             heapShare,
		BufferShare:           p.memory.usedShare(),
	}
}

// queuedSecondsIfMeasured returns queuedSeconds while this process is near its limits. Otherwise it returns 0, because
// the measurement costs one system call per request.
func (conn *clientConn) queuedSecondsIfMeasured() float64 {
	if !conn.proxy.measureQueueing.Load() {
		return 0
	}
	return conn.queuedSeconds()
}

// queuedSeconds returns how long the message that is about to be read has waited in the kernel: the time since the
// kernel last received data from the client. The timeouts of the request count from that instant.
func (conn *clientConn) queuedSeconds() float64 {
	if conn.socket.raw == nil {
		return 0
	}
	millis := uint32(0)
	err := conn.socket.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			millis = info.Last_data_recv
		}
	})
	if err != nil { // the connection is closed; its next read returns the error
		return 0
	}
	conn.proxy.noteQueuedMillis(millis)
	return float64(millis) / 1e3
}

// noteQueuedMillis raises maxQueuedMillis to millis if that is larger.
func (p *Proxy) noteQueuedMillis(millis uint32) {
	for {
		longest := p.maxQueuedMillis.Load()
		if millis <= longest || p.maxQueuedMillis.CompareAndSwap(longest, millis) {
			return
		}
	}
}
