package processstats

import (
	"math"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Sample holds the measurements since a Sampler's previous sample.
type Sample struct {
	SchedulerDelaySeconds float64 // 99th percentile of the time that runnable goroutines waited to run
	GCShare               float64 // share of the available CPU time spent on garbage collection
	CPUShare              float64 // share of GOMAXPROCS CPUs that this process used
	HeapBytes             uint64  // current: live objects and dead ones not yet swept
	HeapLimitBytes        uint64  // current: the runtime's memory limit; 0: none
}

const (
	// schedulerDelayQuantile is the reported quantile of a sample's scheduler delays.
	schedulerDelayQuantile = 0.99
)

// The runtime metrics to read, by their index in Sampler.metrics.
const (
	schedulerLatencies = iota
	gcSeconds
	totalSeconds
	heapBytes
	heapLimitBytes
)

var metricNames = [...]string{
	schedulerLatencies: "/sched/latencies:seconds",
	gcSeconds:          "/cpu/classes/gc/total:cpu-seconds",
	totalSeconds:       "/cpu/classes/total:cpu-seconds",
	heapBytes:          "/memory/classes/heap/objects:bytes",
	heapLimitBytes:     "/gc/gomemlimit:bytes",
}

// Sampler measures its own process and keeps the counters of its last sample. It is not safe for concurrent use.
type Sampler struct {
	metrics          []metrics.Sample
	latencyCounts    []uint64 // buckets of the scheduler latencies at the last sample
	gcSeconds        float64
	totalSeconds     float64 // of all CPUs
	processorSeconds float64 // CPU time used by this process
	sampledAt        time.Time
}

// New returns a sampler. Its first sample covers the time since New.
func New() *Sampler {
	s := &Sampler{}
	for _, name := range metricNames {
		s.metrics = append(s.metrics, metrics.Sample{Name: name})
	}
	s.Sample()
	return s
}

// Sample returns the measurements since the last call, or since New. It takes a few microseconds.
func (s *Sampler) Sample() Sample {
	var sample Sample
	metrics.Read(s.metrics)
	sample.SchedulerDelaySeconds = s.schedulerDelay()
	sample.GCShare = s.gcShare()
	sample.HeapBytes = s.metrics[heapBytes].Value.Uint64()
	if limit := s.metrics[heapLimitBytes].Value.Uint64(); limit < math.MaxInt64 {
		sample.HeapLimitBytes = limit
	}
	sample.CPUShare = s.cpuShare()
	return sample
}

func (s *Sampler) schedulerDelay() float64 {
	histogram := s.metrics[schedulerLatencies].Value.Float64Histogram()
	if s.latencyCounts == nil {
		s.latencyCounts = make([]uint64, len(histogram.Counts))
	}
	delay := quantileSince(histogram, s.latencyCounts, schedulerDelayQuantile)
	copy(s.latencyCounts, histogram.Counts)
	return delay
}

func (s *Sampler) gcShare() (share float64) {
	gc, total := s.metrics[gcSeconds].Value.Float64(), s.metrics[totalSeconds].Value.Float64()
	if total > s.totalSeconds {
		share = (gc - s.gcSeconds) / (total - s.totalSeconds)
	}
	s.gcSeconds, s.totalSeconds = gc, total
	return share
}

func (s *Sampler) cpuShare() (share float64) {
	var usage syscall.Rusage
	now := time.Now()
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	if elapsed := now.Sub(s.sampledAt).Seconds(); !s.sampledAt.IsZero() && elapsed > 0 {
		share = (seconds - s.processorSeconds) / elapsed / float64(runtime.GOMAXPROCS(0))
	}
	s.processorSeconds, s.sampledAt = seconds, now
	return share
}

// quantileSince returns a quantile of the values that a histogram has gained since its bucket counts were before: the
// upper bound of the bucket that contains it, or the lower bound if the upper one is infinite. It returns 0 if nothing
// was gained.
func quantileSince(histogram *metrics.Float64Histogram, before []uint64, quantile float64) float64 {
	total := uint64(0)
	for i, n := range histogram.Counts {
		total += n - before[i]
	}
	if total == 0 {
		return 0
	}
	sum := uint64(0)
	for i, n := range histogram.Counts {
		if sum += n - before[i]; float64(sum) >= quantile*float64(total) {
			if upper := histogram.Buckets[i+1]; !math.IsInf(upper, 0) {
				return upper
			}
			return histogram.Buckets[i]
		}
	}
	return 0
}
