package experiment

import (
	"os"

	"olympos.io/encoding/edn"

	"flintspread/internal/config"
	"flintspread/internal/loadgen"
)

// Experiment is a grid of runs: each variant at each rate, some times. Its JSON is kept with the runs, under the names of its first
// version, and tells whether a folder holds runs of the same experiment.
type Experiment struct {
	Title string `edn:"title" json:"Title" validate:"required"`
	// Seed is that of the first repeat; each further one adds 1.
	Seed    uint64 `edn:"seed" json:"Seed" validate:"gte=0"`
	Repeats int    `edn:"repeats" json:"Repeats" validate:"gt=0,lte=100"`
	// LengthSeconds is the measured time of a run.
	LengthSeconds float64 `edn:"length" json:"Length" validate:"gt=0"`
	// RatesAreRelative makes Rates multiples of the capacity, which is found first. Else they are requests a second.
	RatesAreRelative bool      `edn:"relative" json:"Relative"`
	Rates            []float64 `edn:"rates" json:"Rates" validate:"required,min=1,dive,gt=0"`
	// LeadInSeconds is time at the idle rate before a run, unmeasured, in which connections are made. Optional.
	LeadInSeconds float64 `edn:"before" json:"Before"`
	// RecoverySeconds is time at the idle rate after a run, to see it recover. Optional.
	RecoverySeconds float64 `edn:"after" json:"After"`
	// Shape is that of the load. Optional; poisson.
	Shape string `edn:"shape" json:"Shape" validate:"omitempty,oneof=poisson constant rush"`
	// MaxProcs is the number of processors that the router may use. Optional; 0: all.
	MaxProcs int `edn:"procs" json:"Procs"`
	// Endpoints is the number of endpoints.
	Endpoints int `edn:"units" json:"Units" validate:"gt=0,lte=100"`
	// MaxConns bounds the clients' connections.
	MaxConns int `edn:"conns" json:"Conns" validate:"gt=0,lte=20000"`
	// ClientAddresses is the number of addresses that connections come from. Optional; 0: one.
	ClientAddresses int `edn:"clients" json:"Clients"`
	// MaxRetries bounds the retries of a rejected request. Optional.
	MaxRetries int `edn:"retries" json:"Retries"`
	// IgnoreRetryAfter makes clients retry at once. Optional.
	IgnoreRetryAfter bool `edn:"at-once" json:"AtOnce"`
	// MaxLagSeconds is the generator's own lag, at the 99th percentile, above which a run is invalid.
	MaxLagSeconds float64   `edn:"lag" json:"Lag" validate:"gt=0"`
	Variants      []Variant `edn:"variants" json:"Variants" validate:"required,min=1,dive"`
	// Faults are injected into each run. Optional.
	Faults []Fault `edn:"faults" json:"Faults"`
}

// Variant is one way to run the router.
type Variant struct {
	Name string `edn:"name" json:"Name" validate:"required,alphanum"`
	// Shed lets the router reject requests when it is overloaded itself.
	Shed bool `edn:"shed" json:"Shed"`
	// MemoryBytes bounds what the router uses for connections and messages.
	MemoryBytes int64 `edn:"memory" json:"Memory" validate:"gte=1048576"`
}

// Fault is one thing that happens to the router or its endpoints during a run.
type Fault struct {
	// Kind is stop (the router is stopped), starve (it is stopped for Amount milliseconds of each 20), pause (endpoints answer nothing) or
	// large (answers have Amount bytes).
	Kind    edn.Keyword `edn:"kind" json:"Kind" validate:"oneof=stop starve pause large"`
	At      float64     `edn:"at" json:"At" validate:"gte=0"` // seconds from the beginning of the run
	Seconds float64     `edn:"for" json:"For" validate:"gt=0"`
	Amount  float64     `edn:"by" json:"By"`
}

// Read reads and checks the file of an experiment. An error that lies in the text is a *config.FieldError.
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

// plan is a load of the experiment's shape on a bench.
func (x *Experiment) plan(b *Bench, rate, length float64) *loadgen.Plan {
	kind := x.Shape
	if kind == "" {
		kind = "poisson"
	}
	return &loadgen.Plan{
		Address:          b.Address,
		Shape:            loadgen.Shape{Kind: kind, RequestsPerSecond: rate, LengthSeconds: length},
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

// measuredPlan is the load of a run, with its recovery time.
func (x *Experiment) measuredPlan(b *Bench, g gridRun) *loadgen.Plan {
	plan := x.plan(b, g.offeredPerSecond, x.LengthSeconds)
	plan.Seed += uint64(g.repeat)
	if x.RecoverySeconds > 0 {
		length := x.LengthSeconds + x.RecoverySeconds
		plan.Shape = loadgen.Shape{
			Kind:                 "step",
			RequestsPerSecond:    g.offeredPerSecond,
			EndRequestsPerSecond: g.idlePerSecond,
			OnShare:              x.LengthSeconds / length,
			LengthSeconds:        length,
		}
	}
	return plan
}

// idleRate is the rate before and after a run: half the capacity, or half the first rate.
func (x *Experiment) idleRate(rateScale float64) float64 {
	if x.RatesAreRelative {
		return 0.5 * rateScale
	}
	return 0.5 * x.Rates[0]
}
