// Package self measures the process that it is in, cheaply enough for ten looks a second.
package processstats

import (
	"bufio"
	"math"
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Sample is what a Watch saw since the one before.
type Sample struct {
	SchedulerDelaySeconds float64 // s that goroutines waited for a processor: the 99th part of a hundred
	GCShare               float64 // share of the processors' time that went to collecting
	CPUShare              float64 // share of the processors that this process used
	HeapBytes             uint64  // bytes of live and not yet swept objects
	HeapLimitBytes        uint64  // bytes that the runtime keeps the heap to, 0: none
}

const (
	latencies = "/sched/latencies:seconds"
	gcTime    = "/cpu/classes/gc/total:cpu-seconds"
	allTime   = "/cpu/classes/total:cpu-seconds"
	heap      = "/memory/classes/heap/objects:bytes"
	limit     = "/gc/gomemlimit:bytes"
)

// Sampler remembers the last look.
type Sampler struct {
	samples []metrics.Sample
	counts  []uint64
	gc, all float64
	cpu     float64
	at      time.Time
}

// New begins a watch.
func New() *Sampler {
	w := &Sampler{}
	for _, name := range []string{latencies, gcTime, allTime, heap, limit} {
		w.samples = append(w.samples, metrics.Sample{Name: name})
	}
	w.Sample()
	return w
}

// Sample measures.
func (w *Sampler) Sample() (l Sample) {
	metrics.Read(w.samples)
	h := w.samples[0].Value.Float64Histogram()
	if w.counts == nil {
		w.counts = make([]uint64, len(h.Counts))
	}
	l.SchedulerDelaySeconds = quantile(h, w.counts, 0.99)
	copy(w.counts, h.Counts)
	gc, all := w.samples[1].Value.Float64(), w.samples[2].Value.Float64()
	if all > w.all {
		l.GCShare = (gc - w.gc) / (all - w.all)
	}
	w.gc, w.all = gc, all
	l.HeapBytes = w.samples[3].Value.Uint64()
	if most := w.samples[4].Value.Uint64(); most < math.MaxInt64 {
		l.HeapLimitBytes = most
	}
	var u syscall.Rusage
	now := time.Now()
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		cpu := float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
		if span := now.Sub(w.at).Seconds(); !w.at.IsZero() && span > 0 {
			l.CPUShare = (cpu - w.cpu) / span / float64(runtime.GOMAXPROCS(0))
		}
		w.cpu, w.at = cpu, now
	}
	return l
}

// quantile is that of what a histogram gained since.
func quantile(h *metrics.Float64Histogram, since []uint64, q float64) float64 {
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - since[i]
	}
	if total == 0 {
		return 0
	}
	sum := uint64(0)
	for i, n := range h.Counts {
		if sum += n - since[i]; float64(sum) >= q*float64(total) {
			if top := h.Buckets[i+1]; !math.IsInf(top, 0) {
				return top
			}
			return h.Buckets[i]
		}
	}
	return 0
}

// AcceptQueueOverflows reads how many connections this host's kernel dropped because an accept queue was full; it does not say whose.
func AcceptQueueOverflows() (n uint64, ok bool) {
	f, err := os.Open("/proc/net/netstat")
	if err != nil {
		return 0, false
	}
	defer f.Close()
	var names []string
	for s := bufio.NewScanner(f); s.Scan(); {
		words := strings.Fields(s.Text())
		if len(words) == 0 || words[0] != "TcpExt:" {
			continue
		}
		if names == nil {
			names = words
			continue
		}
		for i, name := range names {
			if name == "ListenOverflows" && i < len(words) {
				n, err := strconv.ParseUint(words[i], 10, 64)
				return n, err == nil
			}
		}
	}
	return 0, false
}
