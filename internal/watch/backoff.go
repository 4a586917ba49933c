package watch

// maxDoublings bounds the exponent in Backoff: the number of attempts is unbounded, and a larger power could overflow.
const maxDoublings = 40

// Backoff returns the pause in seconds before reconnecting to a service to which many clients may reconnect at once:
// exponential backoff with jitter. attempt counts from 0; the pause doubles with each attempt from minSeconds up to
// maxSeconds. random, a random number from 0 to 1, shortens the pause by up to half.
func Backoff(attempt int, minSeconds, maxSeconds, random float64) float64 {
	pause := maxSeconds
	if attempt < maxDoublings {
		pause = min(maxSeconds, minSeconds*float64(uint64(1)<<attempt))
	}
	return pause * (1 - random/2)
}
