package loadshed

const (
	worstDelayDecay         = 0.9 // factor applied to the worst delay at each sample
	measureQueueingPressure = 0.3 // pressure above which measuring a request's wait in the kernel is worth a system call
	apparentSilenceFactor   = 2   // multiple of the worst delay for which an endpoint may appear silent
)

// DelayTracker tracks how late the process may notice data that it has received. The zero value is ready to use.
type DelayTracker struct{ worstSeconds float64 }

// Observe records the timer delay and the scheduling delay of a sample, in seconds, and returns for how many seconds an
// endpoint may appear silent only because this process is late. The result is at least the timer resolution, because
// the process may be inactive for that long even without load.
func (d *DelayTracker) Observe(timerDelay, schedulerDelay, timerResolutionSeconds float64) float64 {
	d.worstSeconds = max(timerDelay, schedulerDelay, worstDelayDecay*d.worstSeconds)
	return timerResolutionSeconds + apparentSilenceFactor*d.worstSeconds
}

// ShouldMeasureQueueing reports whether the process is close enough to overload to measure the age of each request.
func (s *Shedder) ShouldMeasureQueueing(sample LoadSample) bool {
	return s.shedShare > 0 || s.Pressure(sample) > measureQueueingPressure
}
