package loadshed

const (
	keptDelayShare  = 0.9 // share of the worst own delay that is kept from sample to sample
	checkAgeFrom    = 0.3 // pressure, 1 being overload, from which it is worth a system call to ask how long a request lay in the kernel
	delaysTolerated = 2   // worst own delays by which an endpoint may seem silent
)

// DelayTracker keeps by how much the process may be late with what it learns of others. Its zero value is ready for use.
type DelayTracker struct{ worstSeconds float64 }

// Observe enters the timer delay and the wait for a processor of a sample, in seconds, and gives how much longer an endpoint's
// silence may be the process's own doing. That is never less than the timer's resolution, within which the process need not run.
func (d *DelayTracker) Observe(timerDelay, schedulerDelay, timerResolutionSeconds float64) float64 {
	d.worstSeconds = max(timerDelay, schedulerDelay, keptDelayShare*d.worstSeconds)
	return timerResolutionSeconds + delaysTolerated*d.worstSeconds
}

// ShouldMeasureQueueing tells whether the process is near enough to its limits for the age of each request to be looked at.
func (s *Shedder) ShouldMeasureQueueing(sample LoadSample) bool {
	return s.shedShare > 0 || s.Pressure(sample) > checkAgeFrom
}
