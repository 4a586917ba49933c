package loadshed

const (
	keptDelayShare  = 0.9 // share of the worst delay that is kept from sample to sample
	checkAgeFrom    = 0.3 // pressure above which a request's time in the kernel is worth a system call
	delaysTolerated = 2   // multiple of the worst delay for which an endpoint may appear silent
)

// DelayTracker tracks how late the process may be in noticing what others sent. The zero value is ready to use.
type DelayTracker struct{ worstSeconds float64 }

// Observe records the timer delay and the scheduling delay of a sample, in seconds, and returns by how many
// seconds an endpoint may appear silent only because this process is late. The result is at least the timer's
// resolution, within which the process need not run.
func (d *DelayTracker) Observe(timerDelay, schedulerDelay, timerResolutionSeconds float64) float64 {
	d.worstSeconds = max(timerDelay, schedulerDelay, keptDelayShare*d.worstSeconds)
	return timerResolutionSeconds + delaysTolerated*d.worstSeconds
}

// ShouldMeasureQueueing reports whether the process is close enough to overload to measure the age of each request.
func (s *Shedder) ShouldMeasureQueueing(sample LoadSample) bool {
	return s.shedShare > 0 || s.Pressure(sample) > checkAgeFrom
}
