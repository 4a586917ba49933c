package policy

// maxRejectedKeys is the number of keys of rejected requests that are remembered; above that, the oldest is forgotten.
const maxRejectedKeys = 16_384

// rejectedKeys remembers until when endpoints recognise the idempotency keys of requests that were rejected although they may
// have run. A client retries such a request as a new one, whose own attempts do not extend that time.
type rejectedKeys struct {
	recognisedUntil map[uint64]float64
	oldest          []uint64 // in the order of their rejections
}

// add remembers a key. The time of a key that is remembered stays: it is the earlier one.
func (k *rejectedKeys) add(now float64, key uint64, until float64) {
	for len(k.oldest) > 0 && (k.recognisedUntil[k.oldest[0]] < now || len(k.oldest) == maxRejectedKeys) {
		delete(k.recognisedUntil, k.oldest[0])
		k.oldest = k.oldest[1:]
	}
	if _, known := k.recognisedUntil[key]; known {
		return
	}
	if k.recognisedUntil == nil {
		k.recognisedUntil = map[uint64]float64{}
	}
	k.recognisedUntil[key] = until
	k.oldest = append(k.oldest, key)
}

// until returns until when a key is recognised, or 0 if no request with it was rejected or that time is over.
func (k *rejectedKeys) until(now float64, key uint64) float64 {
	if until := k.recognisedUntil[key]; until >= now {
		return until
	}
	return 0
}
