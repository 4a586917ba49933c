package loadshed

const (
	readPauseShare      = 0.7  // share of the memory budget above which reads from clients pause
	maxReadPauseSeconds = 0.25 // maximum wait of a read; it then proceeds, and requests are rejected if the budget is full
)

// ReadPauseSeconds returns the maximum time that a read from a client waits for memory, given the share of the memory
// budget in use; 0: the read does not wait.
func ReadPauseSeconds(usedShare float64) float64 {
	if usedShare > readPauseShare {
		return maxReadPauseSeconds
	}
	return 0
}
