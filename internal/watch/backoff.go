package watch

// maxDoublings bounds the exponent in Backoff, as the number of tries is unbounded.
const maxDoublings = 40

// Backoff returns the pause in seconds before reconnecting to a service to which many clients may reconnect at once:
// exponential backoff with jitter. try counts from 0; the pause doubles with each from minSeconds up to maxSeconds.
// chance, a random number from 0 to 1, shortens it by up to a half.
func Backoff(try int, minSeconds, maxSeconds, chance float64) float64 {
	pause := maxSeconds
	if try < maxDoublings {
		pause = min(maxSeconds, minSeconds*float64(uint64(1)<<try))
	}
	return pause * (1 - chance/2)
}
