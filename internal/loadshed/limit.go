package loadshed

import "math"

// Maximum values of a sample's readings. The pressure of a sample is the highest ratio of a reading to its maximum.
const (
	maxDelayShare  = 0.1 // maximum delay of the process, as a share of the shortest latency objective
	maxGCShare     = 0.5 // maximum share of the processors' time spent collecting garbage
	maxMemoryShare = 0.9 // maximum share of the limits on heap and buffers in use
)

// The limit is cut while the pressure is above 1.
const (
	cutSharePerPressure   = 0.05    // share of the admitted work removed by a cut, per unit of pressure
	minCutFactor          = 0.7     // minimum share of the admitted work that a cut leaves
	cutFloorShare         = 1.0 / 2 // a cut does not go below this share of the best rate: overload there has other causes
	minCutIntervalSeconds = 0.3     // minimum time between cuts; twice the process's delay is added
	worsePressureFactor   = 1.5     // multiple of the last cut's pressure above which the limit is cut again without waiting
	episodeSeconds        = 2.0     // time after a cut in which further cuts belong to the same overload
)

// The limit grows while the pressure is low and most of the limit is used.
const (
	lowPressure                  = 0.4     // pressure up to which the limit may grow
	minUsedShare                 = 0.8     // share of the limit that must be admitted for the limit to grow
	fastGrowthFactor             = 1.03    // growth factor per sample, while well below the rate of the last overload
	nearOverloadShare            = 0.95    // share of the rate of the last overload above which the limit grows slowly
	initialSlowGrowth            = 0.004   // initial slow growth per sample, as a fraction of the limit
	maxSlowGrowth                = 0.02    // maximum slow growth per sample, as a fraction of the limit
	growthDoublingSecondsSquared = 8       // slow growth has doubled when the seconds since the last cut, squared, reach this
	maxCPUShare                  = 0.9     // target share of the processors in use
	idleCPUGrowth                = 0.3     // growth per sample, as a fraction of the limit, per unit of CPU share below maxCPUShare
	minLimitShare                = 1.0 / 4 // minimum of the limit, as a share of the best rate
	bestRateDecay                = 0.999   // factor applied to the best rate at each sample
)

const (
	liftAfterSeconds = 20.0 // time after which a limit that is not needed is removed
	windowSeconds    = 0.5  // time over which offered work is counted; the first overload ends the window early
)

// LoadSample holds the process's measurements of its own load since the last sample.
type LoadSample struct {
	TimerDelaySeconds     float64 // delay of the process's timer
	SchedulerDelaySeconds float64 // 99th percentile of the time that its goroutines waited for a processor
	GCShare               float64 // share of the processors' time spent collecting garbage
	CPUShare              float64 // share of the processors used by this process; 0: unknown
	HeapShare             float64 // share of the heap limit in use; 0: no limit
	BufferShare           float64 // share of the buffer budget in use; 0: no budget
}

// Pressure returns how close the process is to overload according to a sample: above 1 it is overloaded.
func (s *Shedder) Pressure(sample LoadSample) float64 {
	return max(max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)/(maxDelayShare*s.shortestObjectiveSeconds),
		sample.GCShare/maxGCShare, sample.HeapShare/maxMemoryShare, sample.BufferShare/maxMemoryShare)
}

// Observe records a sample and adjusts the limit. It must be called once per tick of the policy, ten times a second:
// the growth constants apply per sample and assume that rate.
func (s *Shedder) Observe(now float64, sample LoadSample) {
	elapsed := now - s.windowStartedAt
	if elapsed <= 0 {
		return
	}
	pressure := s.Pressure(sample)
	s.delaySeconds = max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)
	admittedRate, offeredRate := s.admittedWork/elapsed, s.offeredWork/elapsed
	// Raise a limit far below the recent best rate: growth alone would take seconds to return to that rate.
	s.limit = max(s.limit, s.bestRate*minLimitShare)
	s.adjustLimit(now, pressure, admittedRate)
	if pressure <= lowPressure && sample.CPUShare > 0 && offeredRate > s.limit { // idle processors could serve more
		s.limit *= 1 + idleCPUGrowth*max(0, maxCPUShare-sample.CPUShare)
	}
	s.liftLimit(now, offeredRate)
	if elapsed >= windowSeconds/2 {
		s.bestRate = max(s.bestRate*bestRateDecay, s.servedWork/elapsed)
	}
	if elapsed >= windowSeconds || pressure > 1 && s.shedShare == 0 {
		s.endWindow(now, elapsed)
	}
}

// adjustLimit cuts the limit while the process is overloaded, and raises it while the pressure is low and most of the
// limit is used.
func (s *Shedder) adjustLimit(now, pressure, admittedRate float64) {
	if pressure <= 1 {
		s.lastCutPressure = 1
	}
	switch {
	case pressure > 1:
		s.limitNeededAt = now
		if admittedRate > 0 && s.mayCut(now, pressure) {
			s.cutLimit(now, pressure, admittedRate)
		}
	case pressure > lowPressure:
		s.limitNeededAt = now
	case admittedRate <= minUsedShare*s.limit:
	case s.limit < nearOverloadShare*s.overloadRate:
		s.limit *= fastGrowthFactor
	default:
		// The longer the last cut was ago, the less likely an overload is assumed to be, and the faster the limit grows.
		sinceCutSeconds := now - s.lastCutAt
		s.limit *= 1 + min(maxSlowGrowth, initialSlowGrowth*(1+sinceCutSeconds*sinceCutSeconds/growthDoublingSecondsSquared))
	}
}

// mayCut reports whether the limit may be cut again. A backlog takes some time to drain, and a cut at every sample
// during that time would reduce the limit far too much.
func (s *Shedder) mayCut(now, pressure float64) bool {
	return now >= s.lastCutAt+minCutIntervalSeconds+2*s.delaySeconds || pressure > worsePressureFactor*s.lastCutPressure
}

// cutLimit cuts the limit below the admitted rate.
func (s *Shedder) cutLimit(now, pressure, admittedRate float64) {
	rate := min(s.limit, admittedRate)
	s.limit = max(rate*max(minCutFactor, 1-cutSharePerPressure*pressure), min(rate, s.bestRate*cutFloorShare))
	if now > s.lastCutAt+episodeSeconds {
		s.overloadRate = rate
	}
	s.lastCutAt, s.lastCutPressure = now, pressure
}

// liftLimit removes a limit that was not needed for liftAfterSeconds, because the offered work was below the limit and
// the pressure was low.
func (s *Shedder) liftLimit(now, offeredRate float64) {
	if offeredRate > s.limit {
		s.limitNeededAt = now
	} else if now-s.limitNeededAt > liftAfterSeconds {
		s.limit = math.Inf(1)
	}
}

// endWindow sets the shares to shed, based on the work offered in the window, and starts a new window.
func (s *Shedder) endWindow(now, elapsed float64) {
	s.setShedShares(elapsed)
	s.decayClientWork()
	clear(s.offeredByGroup)
	s.offeredWork, s.admittedWork, s.servedWork, s.windowStartedAt = 0, 0, 0, now
}
