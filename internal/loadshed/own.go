package loadshed

const (
	lagFades  = 0.9  // of the worst own delay is kept from look to look
	lookFrom  = 0.3  // of the line, from which it is worth a call to ask how long a command lay in the kernel
	pauseFrom = 0.7  // of the budget for memory, from which nothing more is read from clients until there is room
	pauseMost = 0.25 // s that a reading waits for room; then what is full answers it
)

// DelayTracker is how much a process may be late with what it hears of others.
type DelayTracker struct{ worst float64 }

// Observe enters a look's timer delay and wait for a processor, s, and gives for how much longer a unit's silence may be the
// process's own: never less than a round, between two of which it need not act at all.
func (l *DelayTracker) Observe(lag, queue, round float64) float64 {
	l.worst = max(lag, queue, lagFades*l.worst)
	return round + 2*l.worst
}

// Overloaded tells whether the process is late enough for the age of commands to be looked at one by one.
func (g *Shedder) Overloaded(r LoadSample) bool { return g.level > 0 || g.Pressure(r) > lookFrom }

// ReadPauseSeconds says for how long a reading from a client waits at most, s, with so much of the memory budget used; 0: it does not.
func ReadPauseSeconds(share float64) float64 {
	if share > pauseFrom {
		return pauseMost
	}
	return 0
}
