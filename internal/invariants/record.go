// Package invariants checks the five rules from what clients, units and the services around a relay saw on their sockets. It
// takes no relay's word for anything.
package invariants

import "sync"

// Effect says whether a command may run again, as in policy.
type Effect string

// The effects that a command may have.
const (
	Redeliverable Effect = "redeliverable"
	Deduplicated  Effect = "deduplicated"
	AtMostOnce    Effect = "at-most-once"
)

// Command is one try of a client. Times are seconds on one clock, that of the process which watches all sockets.
type Command struct {
	ID                 uint64
	Relay, Op          string
	Effect             Effect
	Group              string  // of deduplicated ones: all, zone or cell
	Window             float64 // and how long repeats are recognised
	Key                string
	Importance, Target float64
	First              float64 // when its client first asked
	Asked, Due         float64 // written; when the client gives up
	Left               float64 // the client closed the connection, 0: it did not
	Unreached          bool    // no byte of it could be sent
	Broken             float64 // the relay closed the connection instead of an answer
	Answers            []Answer
	Wrong              bool // the answer acked was wrong
	FinalTry           bool // its client asks no more after it
}

// Answer is one that a client read.
type Answer struct {
	At   float64
	Kind string // acked, nacked, failed; empty where none of these
	Unit uint32 // that gave it, by the unit's own mark
}

// Delivery is one that a unit read.
type Delivery struct {
	Command uint64
	Unit    uint32
	At      float64
	Never   float64 // when it was answered that it never ran, 0: it may have run
	Work    float64 // s of one core at full speed
}

// Unit is one process that takes deliveries.
type Unit struct {
	ID         uint32
	Build      int
	Zone, Cell uint16
	Start      float64
	Capacity   float64 // s of work a second when warm
	Fell       float64 // when it was pushed over
}

// Told is what a relay was sent of a unit.
type Told struct {
	At    float64
	Relay string
	Unit  uint32
	Ready bool
}

// News is what a relay was sent of a release.
type News struct {
	At           float64
	Relay        string
	Build, Stage int
	Phase        string
	Cap          float64
}

// Life is one process of a relay, from its start until it was killed or had stopped (0: still there).
type Life struct {
	Relay    string
	Planner  bool // it judges for the relay's edges, which have processes of their own
	From, To float64
	Killed   bool
	Stopping float64      // when it was told to drain and stop, 0: not
	Stalls   [][2]float64 // when it was stopped from outside and let go on
}

// Record is all that was seen. Its methods may be called from any goroutine.
type Record struct {
	mu         sync.Mutex
	Commands   map[uint64]*Command
	Deliveries []*Delivery
	Units      map[uint32]*Unit
	Told       []Told
	News       []News
	Lives      []*Life
	Stray      []string // bytes on a connection that nobody waited for
}

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{Commands: map[uint64]*Command{}, Units: map[uint32]*Unit{}}
}

// Enter changes the record under its lock.
func (r *Record) Enter(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
