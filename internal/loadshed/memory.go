package loadshed

const (
	readPauseFrom       = 0.7  // share of the memory budget from which reading from clients pauses
	maxReadPauseSeconds = 0.25 // time that a read waits for memory; then it goes on, and a full budget turns the request away
)

// ReadPauseSeconds gives how long a read from a client waits for memory at most, with so much of the memory budget used; 0: it
// does not wait.
func ReadPauseSeconds(usedShare float64) float64 {
	if usedShare > readPauseFrom {
		return maxReadPauseSeconds
	}
	return 0
}
