package loadshed

const (
	readPauseFrom       = 0.7  // share of the memory budget above which reads from clients pause
	maxReadPauseSeconds = 0.25 // time that a read waits for memory; then it proceeds, and a full budget rejects requests
)

// ReadPauseSeconds returns how long a read from a client may wait for memory at most, given the share of
// the memory budget in use; 0: it does not wait.
func ReadPauseSeconds(usedShare float64) float64 {
	if usedShare > readPauseFrom {
		return maxReadPauseSeconds
	}
	return 0
}
