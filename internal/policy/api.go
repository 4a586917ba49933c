// Package policy decides for one balancer: where a command goes, what follows an outcome, how it votes on a build.
package policy

// Terms holds what a deployment tells a balancer at its start, as far as the module reads it.
type Terms struct {
	Balancers int
	BackVotes int     // that send a build back
	Round     float64 // shortest gap between two moments at which the balancer acts
	Ops       []OpType

	Ask         bool // the list must be asked for
	Parallel    bool // two deliveries of a command may be out together
	Cancel      bool // a delivery may be called off
	MaxPause    float64
	ConnIdle    float64 // idle connections are closed after it
	Streams     int     // deliveries a connection carries together
	Deliveries  int     // most deliveries of one command
	ColdFrom    float64
	WarmUp      float64
	FallFactor  float64
	FallTime    float64
	Window      float64 // of the rule on exposure
	Free        float64
	Caps        []float64 // by stage
	Stages      []float64 // share of the fleet, by stage
	PerOp       bool      // exposure is counted for each op type by itself
	Guarded     int       // stages that take redeliverable commands only
	OneWay      bool      // a key that a new build answered never goes to an earlier one
	Keys        int       // keys remembered for OneWay, 0: all
	Forget      float64   // s after which a unit that left the list is forgotten, 0: never; more than any timeout
	Led         bool      // another process judges and lends what is free; see Follow
	Automatic   bool      // the clock moves stages, votes only hold or send back
	Replace     bool      // earlier machines go as their successors come
	HarmPrice   float64   // of worth in wrong answers, against StalePrice for worth served by an old build
	StalePrice  float64
	Reported    float64 // share of wrong answers that is flagged
	VoteLife    float64
	VoteTimeout float64
	VoteRate    float64 // votes a second, all balancers together
}

// Effect says whether a command may run again.
type Effect uint8

const (
	Redeliverable Effect = iota
	Deduplicated
	AtMostOnce
)

// Group says which units recognise the repeat of a deduplicated command.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

type OpType struct {
	Target     float64 // service target
	Timeout    float64 // a client's time for all its tries
	Importance float64
	Effect     Effect
	Group      Group
	Window     float64 // how long repeats are recognised
}

// Command is one command in hand. The caller keeps it from its coming until all its deliveries have come back,
// and enters each delivery it makes.
type Command struct {
	ID     uint32
	Op     int    // its place among the op types
	Under  *Terms // it came under; nil: the present ones
	Key    uint64
	Came   float64
	Asked  float64 // when its client first asked, as far as can be told; set by Pick
	Due    float64 // when the client gives up
	Work   float64 // expected work, 0 if not told
	Repeat bool    // the client says that it asks again
	Begun  bool    // a streamed answer is on its way
	Ended  bool    // it has its final answer, or needs none any more
	Unmet  bool    // its last delivery met no unit
	Sent   []Delivery
}

type Delivery struct {
	Unit  uint32
	At    float64
	Out   bool // no outcome yet
	Maybe bool // it may have run
}

// Result is how a delivery ended.
type Result uint8

const (
	Acked Result = iota
	Errored
	Full        // turned away unseen
	TimedOut    // may have run
	Unconnected // never ran
	Broken      // the connection broke; may have run
	Cancelled
	Unsent // never ran
)

// Do is what the caller is to do with a command.
type Do uint8

const (
	Nothing Do = iota
	Send       // to Unit, dropped at Until; ask again at Again if it is above 0
	Hold       // ask again at Again
	Nack       // final; the client may come back after Pause
	Fail       // final
)

// Step answers for one command.
type Step struct {
	Do     Do
	Unit   uint32
	Until  float64
	Again  float64
	Pause  float64
	Recall bool // call off what is still out
}

// Phase is how far a build has come.
type Phase uint8

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Verdict is a vote.
type Verdict uint8

const (
	VoteNone Verdict = iota
	VoteOn
	VoteHold
	VoteBack
)

// VoteReply is what became of a vote.
type VoteReply uint8

const (
	Counted VoteReply = iota
	Moot
	Refused // too many, or an error
	Unknown // no answer in time; it may count
)

// Turn is a balancer's periodic work: how long to wait for the next, and what to do now.
type Turn struct {
	In        float64
	Vote      bool
	Build     int
	Stage     int
	Verdict   Verdict
	Subscribe bool // ask for the list and its changes
}

// State is what a list says of a unit.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Evidence is all that an edge has counted of the present build, for its planner: whole each time, so that the newest is
// all that matters.
type Evidence struct {
	Build int     // that was the newest when this was counted
	Rate  float64 // commands a second
	Tally []Tally
}

// Sourced is what a health source counted of the present build, all of it each time. Kinds that stand Apart hold no
// outcome that this relay counts too.
type Sourced struct {
	Evidence
	Apart [kinds]bool
}

// Kinds names the kinds of failure, in the order of a Tally.
var Kinds = [kinds]string{"wrong", "failed", "lost", "slow"}

// Mark is what a health source says of a unit, from 0 to 1: the share of its answers that is wrong, and how far other
// things ail it, which deliveries would show.
type Mark struct {
	Unit   uint32
	Wrong  float64
	Ailing float64
}

// Tally is what one unit did under one build: outcomes and failures, by kind of failure.
type Tally struct {
	Unit  uint32
	Build int
	N     [kinds]float64
	Bad   [kinds]float64
}
