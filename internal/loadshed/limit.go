package loadshed

import "math"

// The pressure of a sample is the worst of its readings against the line from which each is too much.
const (
	maxDelayShare  = 0.1 // of the shortest latency objective, as the process's own delay
	maxGCShare     = 0.5 // of the processors' time, as time spent collecting garbage
	maxMemoryShare = 0.9 // of the limits on heap and buffers
)

// The limit is cut while the pressure is above 1.
const (
	cutPerPressure = 0.05    // share of the admitted work that a cut takes away, for each 1 of pressure
	deepestCut     = 0.7     // share of it that a cut leaves at least
	cutFloor       = 1.0 / 2 // share of the best rate that a cut leaves: what presses below it is not the admitted work
	settleSeconds  = 0.3     // time from a cut to the next, besides twice the process's delay
	worsening      = 1.5     // times the pressure of the last cut, at which the next does not wait
	episodeSeconds = 2.0     // time after a cut in which another is part of the same overload
)

// The limit grows while the pressure is low and most of the limit is used.
const (
	lowPressure       = 0.4     // below it the limit may grow
	usedShare         = 0.8     // of the limit that has to be admitted for it to grow
	fastGrowth        = 1.03    // factor for each sample, well below the rate of the last overload
	nearOverload      = 0.95    // share of that rate from which growth is slow
	slowGrowth        = 0.004   // part of the limit by which it then grows with each sample at first,
	maxSlowGrowth     = 0.02    // and at most
	calmSquare        = 8       // square of the seconds since the last cut after which slow growth has doubled
	maxCPUShare       = 0.9     // share of the processors that may be used
	idleCPUGrowth     = 0.3     // part of the limit by which it grows with each sample, for each 1 of CPU share below maxCPUShare
	minLimitShare     = 1.0 / 4 // share of the best rate that the limit keeps
	keptBestRateShare = 0.999   // share of the best rate that is kept from sample to sample
)

const (
	liftSeconds   = 20.0 // time without need of the limit after which there is none
	windowSeconds = 0.5  // time over which offered work is counted, at least
)

// LoadSample is what the process measured of itself since the last sample.
type LoadSample struct {
	TimerDelaySeconds     float64 // by which its timer was late
	SchedulerDelaySeconds float64 // 99th percentile of the time that its goroutines waited for a processor
	GCShare               float64 // share of the processors' time spent collecting garbage
	CPUShare              float64 // share of the processors that this process used, 0: not known
	HeapShare             float64 // of the heap's limit, 0: there is none
	BufferShare           float64 // of the budget for buffers, 0: there is none
}

// Pressure gives how near a sample is to what is too much: above 1 the process is overloaded.
func (s *Shedder) Pressure(sample LoadSample) float64 {
	return max(max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)/(maxDelayShare*s.shortestObjectiveSeconds),
		sample.GCShare/maxGCShare, sample.HeapShare/maxMemoryShare, sample.BufferShare/maxMemoryShare)
}

// Observe enters a sample and adjusts the limit. It is to be called once a tick of the policy, ten times a second: the growth by sample is
// tuned to that.
func (s *Shedder) Observe(now float64, sample LoadSample) {
	elapsed := now - s.windowStartedAt
	if elapsed <= 0 {
		return
	}
	pressure := s.Pressure(sample)
	s.delaySeconds = max(sample.TimerDelaySeconds, sample.SchedulerDelaySeconds)
	admittedRate, offeredRate := s.admittedWork/elapsed, s.offeredWork/elapsed
	// A limit far below what was served lately has lost its meaning: it would take seconds to grow back from there.
	s.limit = max(s.limit, s.bestRate*minLimitShare)
	s.adjustLimit(now, pressure, admittedRate)
	if pressure <= lowPressure && sample.CPUShare > 0 && offeredRate > s.limit { // unused processors could serve more
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

// adjustLimit cuts the limit while the process is behind, and lets it grow while the process keeps pace and uses it.
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
		// The longer the process keeps pace, the further off an overload is taken to be.
		calm := now - s.lastCutAt
		s.limit *= 1 + min(maxSlowGrowth, slowGrowth*(1+calm*calm/calmSquare))
	}
}

// mayCut tells whether the limit may be cut again. What has piled up takes a while to be worked off: a cut for each sample of
// that while would go far too deep.
func (s *Shedder) mayCut(now, pressure float64) bool {
	return now >= s.lastCutAt+settleSeconds+2*s.delaySeconds || pressure > worsening*s.lastCutPressure
}

// cutLimit cuts the limit below what was admitted.
func (s *Shedder) cutLimit(now, pressure, admittedRate float64) {
	before := min(s.limit, admittedRate)
	s.limit = max(before*max(deepestCut, 1-cutPerPressure*pressure), min(before, s.bestRate*cutFloor))
	if now > s.lastCutAt+episodeSeconds {
		s.overloadRate = before
	}
	s.lastCutAt, s.lastCutPressure = now, pressure
}

// liftLimit drops a limit that has not been needed for long: all that was offered was below it and the pressure was low.
func (s *Shedder) liftLimit(now, offeredRate float64) {
	if offeredRate > s.limit {
		s.limitNeededAt = now
	} else if now-s.limitNeededAt > liftSeconds {
		s.limit = math.Inf(1)
	}
}

// endWindow sets what is shed by the work that was offered, and begins a new window.
func (s *Shedder) endWindow(now, elapsed float64) {
	s.setShares(elapsed)
	s.fadeClients()
	clear(s.offeredByGroup)
	s.offeredWork, s.admittedWork, s.servedWork, s.windowStartedAt = 0, 0, 0, now
}
