package loadshed

// Time that a router waits for discovery before it reports ready anyway.
const (
	listCorrectionWaitSeconds = 0.5 // wait for an update of the endpoint list that was saved by the previous process
	firstListWaitSeconds      = 2.0 // wait for the first endpoint list if none was saved
)

// ReadinessDelaySeconds returns how long after its start a router that has received nothing from discovery reports that
// it is not ready. The delay is short, because a rolling restart allows only a few seconds for each router. A router that
// is ready without endpoints rejects requests with a retry-after time.
func ReadinessDelaySeconds(hasEndpoints bool) float64 {
	if hasEndpoints {
		return listCorrectionWaitSeconds
	}
	return firstListWaitSeconds
}
