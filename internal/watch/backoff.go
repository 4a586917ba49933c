package watch

// maxDoublings bounds the exponent of Backoff, whose number of tries is not bounded.
const maxDoublings = 40

// Backoff gives the pause in seconds before a try of a service that may be coming back to many clients at once: exponential
// with jitter. Try 0 is the first; the pause doubles with each from minSeconds up to maxSeconds, and chance, from 0 to 1, says
// how much of a half of it is taken away.
func Backoff(try int, minSeconds, maxSeconds, chance float64) float64 {
	pause := maxSeconds
	if try < maxDoublings {
		pause = min(maxSeconds, minSeconds*float64(uint64(1)<<try))
	}
	return pause * (1 - chance/2)
}
