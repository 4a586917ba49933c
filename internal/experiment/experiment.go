package experiment

import (
	"os"

	"olympos.io/encoding/edn"

	"flintspread/internal/config"
	"flintspread/internal/loadgen"
)

// Experiment is a grid of runs: each variant at each rate, repeated. Its JSON is saved with the runs and identifies the
// experiment that a folder belongs to. The JSON names are those of the first version, so that existing folders stay
// valid.
type Experiment struct {
	Title string `edn:"title" json:"Title" validate:"required"`
	// Seed is the seed of the first repeat; each further repeat adds 1.
	Seed    uint64 `edn:"seed" json:"Seed" validate:"gte=0"`
	Repeats int    `edn:"repeats" json:"Repeats" validate:"gt=0,lte=100"`
	// LengthSeconds is the measured duration of a run.
	LengthSeconds float64 `edn:"length" json:"Length" validate:"gt=0"`
	// RatesAreRelative makes Rates multiples of the router's capacity, which is measured first. Otherwise Rates are
	// requests per second.
	RatesAreRelative bool      `edn:"relative" json:"Relative"`
	Rates            []float64 `edn:"rates" json:"Rates" validate:"required,min=1,dive,gt=0"`
	// LeadInSeconds is the duration of unmeasured load at the idle rate before a run, which opens the connections.
	// Optional.
	LeadInSeconds float64 `edn:"before" json:"Before"`
	// RecoverySeconds is the duration of load at the idle rate after a run, in which the router's recovery is measured.
	// Optional.
	RecoverySeconds float64 `edn:"after" json:"After"`
	// Shape is the shape of the load. Optional; the default is poisson.
	Shape string `edn:"shape" json:"Shape" validate:"omitempty,oneof=poisson constant rush"`
	// MaxProcs is the number of processors that the router may use. Optional; 0 means all.
	MaxProcs int `edn:"procs" json:"Procs"`
	// Endpoints is the number of endpoints.
	Endpoints int `edn:"units" json:"Units" validate:"gt=0,lte=100"`
	// MaxConns is the maximum number of client connections.
	MaxConns int `edn:"conns" json:"Conns" validate:"gt=0,lte=20000"`
	// ClientAddresses is the number of distinct loopback addresses that connections come from. Optional; 0 means one.
	ClientAddresses int `edn:"clients" json:"Clients"`
	// MaxRetries is the maximum number of retries of a rejected request. Optional.
	MaxRetries int `edn:"retries" json:"Retries"`
	// IgnoreRetryAfter makes clients retry without waiting for the retry-after time. Optional.
	IgnoreRetryAfter bool `edn:"at-once" json:"AtOnce"`
	// MaxLagSeconds is the limit on the load generator's own p99 lag. A run above it is invalid.
	MaxLagSeconds float64   `edn:"lag" json:"Lag" validate:"gt=0"`
	Variants      []Variant `edn:"variants" json:"Variants" validate:"required,min=1,dive"`
	// Faults are injected into each run. Optional.
	Faults []Fault `edn:"faults" json:"Faults"`
}

// Variant is a configuration of the router.
type Variant struct {
	Name string `edn:"name" json:"Name" validate:"required,alphanum"`
	// Shed enables load shedding: the router rejects requests when it is itself overloaded.
	Shed bool `edn:"shed" json:"Shed"`
	// MemoryBytes is the router's memory budget for connections and messages.
	MemoryBytes int64 `edn:"memory" json:"Memory" validate:"gte=1048576"`
}

// Fault is a fault that is injected into the router or its endpoints during a run.
type Fault struct {
	// Kind is stop (the router process is suspended), starve (it is suspended for Amount milliseconds of every 20),
	// pause (endpoints do not respond) or large (responses have Amount bytes).
	Kind    edn.Keyword `edn:"kind" json:"Kind" validate:"oneof=stop starve pause large"`
	At      float64     `edn:"at" json:"At" validate:"gte=0"` // seconds since the start of the run
	Seconds float64     `edn:"for" json:"For" validate:"gt=0"`
	Amount  float64     `edn:"by" json:"By"`
}

// Read reads and validates an experiment file. An invalid text is reported as a *config.FieldError.
func Read(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	x := &Experiment{}
	return x, config.Decode(file, text, x)
}

// Parameters of the load that are the same in all experiments.
const (
	keyCount     = 100000
	zipfExponent = 1.1
)

// plan returns a load of the experiment's shape for a bench, with the given rate in requests per second and length in
// seconds.
func (x *Experiment) plan(b *Bench, ratePerSecond, lengthSeconds float64) *loadgen.Plan {
	kind := x.Shape
	if kind == "" {
		kind = "poisson"
	}
	return &loadgen.Plan{
		Address:          b.Address,
		Shape:            loadgen.Shape{Kind: kind, RequestsPerSecond: ratePerSecond, LengthSeconds: lengthSeconds},
		Classes:          Classes(),
		KeyCount:         keyCount,
		ZipfExponent:     zipfExponent,
		MaxConns:         x.MaxConns,
		ClientAddresses:  x.ClientAddresses,
		MaxRetries:       x.MaxRetries,
		IgnoreRetryAfter: x.IgnoreRetryAfter,
		Seed:             x.Seed,
		MaxLagSeconds:    x.MaxLagSeconds,
	}
}

// measuredPlan returns the load of a run, including the recovery time.
func (x *Experiment) measuredPlan(b *Bench, g gridRun) *loadgen.Plan {
	plan := x.plan(b, g.offeredPerSecond, x.LengthSeconds)
	plan.Seed += uint64(g.repeat)
	if x.RecoverySeconds > 0 {
		lengthSeconds := x.LengthSeconds + x.RecoverySeconds
		plan.Shape = loadgen.Shape{
			Kind:                 "step",
			RequestsPerSecond:    g.offeredPerSecond,
			EndRequestsPerSecond: g.idlePerSecond,
			OnShare:              x.LengthSeconds / lengthSeconds,
			LengthSeconds:        lengthSeconds,
		}
	}
	return plan
}

// idleRate returns the rate before and after a run, in requests per second: half the capacity if rates are relative,
// otherwise half the first rate.
func (x *Experiment) idleRate(rateScale float64) float64 {
	if x.RatesAreRelative {
		return 0.5 * rateScale
	}
	return 0.5 * x.Rates[0]
}
