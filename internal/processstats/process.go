package processstats

import (
	"math"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Sample holds the measurements since a Sampler's previous sample, and current values of the heap.
type Sample struct {
	SchedulerDelaySeconds float64 // 99th percentile of the time that runnable goroutines waited to run
	GCShare               float64 // share of the available CPU time spent on garbage collection
	CPUShare              float64 // share of GOMAXPROCS CPUs that this process used
	HeapBytes             uint64  // current size: live objects, and dead ones that are not swept yet
	HeapLimitBytes        uint64  // the runtime's current memory limit; 0 if there is none
}

// schedulerDelayQuantile is the quantile of the scheduler delays that a sample reports.
const schedulerDelayQuantile = 0.99

// Indices of the runtime metrics in metricNames and Sampler.metrics.
const (
	schedulerLatencyMetric = iota
	gcSecondsMetric
	totalSecondsMetric
	heapBytesMetric
	heapLimitBytesMetric
)

var metricNames = [...]string{
	schedulerLatencyMetric: "/sched/latencies:seconds",
	gcSecondsMetric:        "/cpu/classes/gc/total:cpu-seconds",
	totalSecondsMetric:     "/cpu/classes/total:cpu-seconds",
	heapBytesMetric:        "/memory/classes/heap/objects:bytes",
	heapLimitBytesMetric:   "/gc/gomemlimit:bytes",
}

// Sampler measures its own process. It keeps the totals at the last sample and is not safe for concurrent use.
type Sampler struct {
	metrics                []metrics.Sample
	schedulerLatencyCounts []uint64 // counts of the latency histogram's buckets
	gcSeconds              float64  // CPU time of garbage collection
	totalSeconds           float64  // available CPU time
	cpuSeconds             float64  // CPU time that this process used
	sampledAt              time.Time
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

// Sample returns the measurements since the last call, or since New. A call takes a few microseconds.
func (s *Sampler) Sample() Sample {
	var sample Sample
	metrics.Read(s.metrics)
	sample.SchedulerDelaySeconds = s.schedulerDelay()
	sample.GCShare = s.gcShare()
	sample.HeapBytes = s.metrics[heapBytesMetric].Value.Uint64()
	if limit := s.metrics[heapLimitBytesMetric].Value.Uint64(); limit < math.MaxInt64 {
		sample.HeapLimitBytes = limit
	}
	sample.CPUShare = s.cpuShare()
	return sample
}

func (s *Sampler) schedulerDelay() float64 {
	histogram := s.metrics[schedulerLatencyMetric].Value.Float64Histogram()
	if s.schedulerLatencyCounts == nil {
		s.schedulerLatencyCounts = make([]uint64, len(histogram.Counts))
	}
	delay := quantileSince(histogram, s.schedulerLatencyCounts, schedulerDelayQuantile)
	copy(s.schedulerLatencyCounts, histogram.Counts)
	return delay
}

func (s *Sampler) gcShare() (share float64) {
	gc, total := s.metrics[gcSecondsMetric].Value.Float64(), s.metrics[totalSecondsMetric].Value.Float64()
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
		share = (seconds - s.cpuSeconds) / elapsed / float64(runtime.GOMAXPROCS(0))
	}
	s.cpuSeconds, s.sampledAt = seconds, now
	return share
}

// quantileSince returns a quantile of the values added to a histogram since its buckets had countsBefore: the upper bound
// of the bucket that contains the quantile, or the lower bound if the upper one is infinite. It returns 0 if no value was
// added.
func quantileSince(histogram *metrics.Float64Histogram, countsBefore []uint64, quantile float64) float64 {
	total := uint64(0)
	for i, n := range histogram.Counts {
		total += n - countsBefore[i]
	}
	if total == 0 {
		return 0
	}
	sum := uint64(0)
	for i, n := range histogram.Counts {
		if sum += n - countsBefore[i]; float64(sum) >= quantile*float64(total) {
			if upper := histogram.Buckets[i+1]; !math.IsInf(upper, 0) {
				return upper
			}
			return histogram.Buckets[i]
		}
	}
	return 0
}
