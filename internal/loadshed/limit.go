package loadshed

import "math"

// The pressure of a sample is the maximum of its readings, each relative to the level at which it is too high.
const (
	maxDelayShare  = 0.1 // maximum own delay, as a share of the shortest latency objective
	maxGCShare     = 0.5 // maximum share of the processors' time spent collecting garbage
	maxMemoryShare = 0.9 // maximum share of the limits on heap and buffers in use
)

// The limit is cut while the pressure is above 1.
const (
	cutPerPressure        = 0.05    // share of the admitted work removed by a cut, per unit of pressure
	minKeptByCut          = 0.7     // minimum share of the admitted work that a cut leaves
	cutFloor              = 1.0 / 2 // minimum share of the best rate that a cut leaves: below it, admitted work is not the cause
	minCutIntervalSeconds = 0.3     // minimum time between cuts, plus twice the process's delay
	worsePressureFactor   = 1.5     // multiple of the last cut's pressure above which the next cut does not wait
	episodeSeconds        = 2.0     // time after a cut in which further cuts belong to the same overload
)

// The limit grows while the pressure is low and most of the limit is used.
const (
	lowPressure        = 0.4     // below it the limit may grow
	usedShare          = 0.8     // share of the limit that must be admitted for it to grow
	fastGrowth         = 1.03    // growth factor per sample, well below the rate of the last overload
	nearOverload       = 0.95    // share of that rate above which growth is slow
	slowGrowth         = 0.004   // initial slow growth per sample, as a fraction of the limit,
	maxSlowGrowth      = 0.02    // and its maximum
	calmSecondsSquared = 8       // square of the seconds since the last cut at which slow growth has doubled
	maxCPUShare        = 0.9     // target share of the processors in use
	idleCPUGrowth      = 0.3     // growth per sample, as a fraction of the limit, per unit of CPU share below maxCPUShare
	minLimitShare      = 1.0 / 4 // minimum of the limit, as a share of the best rate
	keptBestRateShare  = 0.999   // share of the best rate that is kept from sample to sample
)

const (
	liftSeconds   = 20.0 // time after which a limit that is not needed is lifted
	windowSeconds = 0.5  // time over which offered work is counted; the first overload ends the window early
)

// LoadSample is what the process measured of its own load since the last sample.
type LoadSample struct {
	TimerDelaySeconds     float64 // delay of its timer
	SchedulerDelaySeconds float64 // 99th percentile of its goroutines' wait for a processor
	GCShare               float64 // share of the processors' time spent collecting garbage
	CPUShare              float64 // share of the processors used by this process; 0: unknown
	HeapShare             float64 // share of the heap limit in use; 0: no limit
	BufferShare           float64 // share of the buffer budget in use; 0: no budget
}

// Pressure returns how close a sample is to overload: above 1 the process is overloaded.
func (s *Shedder) Pressure(sample LoadSample) float64 {
	return max(max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)/(maxDelayShare*s.shortestObjectiveSeconds),
		sample.GCShare/maxGCShare, sample.HeapShare/maxMemoryShare, sample.BufferShare/maxMemoryShare)
}

// Observe records a sample and adjusts the limit. It must be called once per tick of the policy, ten times a
// second: the growth per sample is tuned to that.
func (s *Shedder) Observe(now float64, sample LoadSample) {
	elapsed := now - s.windowStartedAt
	if elapsed <= 0 {
		return
	}
	pressure := s.Pressure(sample)
	s.delaySeconds = max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)
	admittedRate, offeredRate := s.admittedWork/elapsed, s.offeredWork/elapsed
	// Restore a limit far below what was served lately: it would take seconds to grow back from there.
	s.limit = max(s.limit, s.bestRate*minLimitShare)
	s.adjustLimit(now, pressure, admittedRate)
	if pressure <= lowPressure && sample.CPUShare > 0 && offeredRate > s.limit { // idle processors could serve more
		s.limit *= 1 + idleCPUGrowth*max(0, maxCPUShare-sample.CPUShare)
	}
	s.liftLimit(now, offeredRate)
	if elapsed >= windowSeconds/2 {
		s.bestRate = max(s.bestRate*keptBestRateShare, s.servedWork/elapsed)
	}
	if elapsed >= windowSeconds || pressure > 1 && s.shedShare == 0 {
		s.endWindow(now, elapsed)
	}
}

// adjustLimit cuts the limit while the process is behind, and raises it while the process keeps up and uses it.
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
	case admittedRate <= usedShare*s.limit:
	case s.limit < nearOverload*s.overloadRate:
		s.limit *= fastGrowth
	default:
		// The longer the process has kept up, the further away an overload is assumed to be.
		calm := now - s.lastCutAt
		s.limit *= 1 + min(maxSlowGrowth, slowGrowth*(1+calm*calm/calmSecondsSquared))
	}
}

// mayCut reports whether the limit may be cut again. A backlog takes a while to drain: cutting on
// every sample meanwhile would go far too deep.
func (s *Shedder) mayCut(now, pressure float64) bool {
	return now >= s.lastCutAt+minCutIntervalSeconds+2*s.delaySeconds || pressure > worsePressureFactor*s.lastCutPressure
}

// cutLimit cuts the limit below the admitted rate.
func (s *Shedder) cutLimit(now, pressure, admittedRate float64) {
	before := min(s.limit, admittedRate)
	s.limit = max(before*max(minKeptByCut, 1-cutPerPressure*pressure), min(before, s.bestRate*cutFloor))
	if now > s.lastCutAt+episodeSeconds {
		s.overloadRate = before
	}
	s.lastCutAt, s.lastCutPressure = now, pressure
}

// liftLimit removes a limit that has not been needed for long: the offered work was below it and the pressure was low.
func (s *Shedder) liftLimit(now, offeredRate float64) {
	if offeredRate > s.limit {
		s.limitNeededAt = now
	} else if now-s.limitNeededAt > liftSeconds {
		s.limit = math.Inf(1)
	}
}

// endWindow sets the shares to shed from the offered work, and starts a new window.
func (s *Shedder) endWindow(now, elapsed float64) {
	s.setShares(elapsed)
	s.fadeClients()
	clear(s.offeredByGroup)
	s.offeredWork, s.admittedWork, s.servedWork, s.windowStartedAt = 0, 0, 0, now
}
