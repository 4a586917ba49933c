package loadgen

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Shape describes the request rate over time. Its JSON is stored in the inputs of a run.
type Shape struct {
	// Kind is constant, poisson, on-off, ramp, step, rush or trace.
	Kind string `json:"Kind"`
	// RequestsPerSecond is the rate. For a ramp it is the rate at the start, for a step the rate before the step, for a
	// rush the peak rate.
	RequestsPerSecond float64 `json:"Rate"`
	// EndRequestsPerSecond is the rate at the end of a ramp, or after a step.
	EndRequestsPerSecond float64 `json:"To"`
	// PeriodSeconds is the period of the shape on-off.
	PeriodSeconds float64 `json:"Period"`
	// OnShare is the share of the period with load (on-off), or the share of the length before the step (step).
	OnShare       float64 `json:"On"`
	LengthSeconds float64 `json:"Length"`
	// Trace holds the arrivals of a trace, in order of time. A trace uses no other field except Kind.
	Trace []Arrival `json:"Trace"`
}

// A rush models evening traffic: the rate rises to a peak along a bell curve, with bursts on top.
const (
	rushBaseShare         = 0.25 // rate far from the peak, as a share of the peak rate
	rushPeakPosition      = 0.6  // time of the peak, as a share of the length
	rushBellWidth         = 0.22 // width of the bell curve, as a share of the length
	rushBurstCount        = 20   // bursts in the length
	rushBurstShare        = 0.3  // duration of a burst, as a share of the time between the starts of two bursts
	rushRateBetweenBursts = 0.6  // rate between bursts, as a share of the rate in a burst
)

// rateAt returns the rate at an instant, in requests per second.
func (s *Shape) rateAt(t float64) float64 {
	switch s.Kind {
	case "on-off":
		if math.Mod(t, s.PeriodSeconds) < s.OnShare*s.PeriodSeconds {
			return s.RequestsPerSecond
		}
		return 0
	case "ramp":
		return s.RequestsPerSecond + (s.EndRequestsPerSecond-s.RequestsPerSecond)*t/s.LengthSeconds
	case "step":
		if t < s.OnShare*s.LengthSeconds {
			return s.RequestsPerSecond
		}
		return s.EndRequestsPerSecond
	case "rush":
		return s.rushAt(t)
	}
	return s.RequestsPerSecond
}

func (s *Shape) rushAt(t float64) float64 {
	x := t / s.LengthSeconds
	fromPeak := (x - rushPeakPosition) / rushBellWidth
	bell := rushBaseShare + (1-rushBaseShare)*math.Exp(-(fromPeak*fromPeak))
	if math.Mod(x*rushBurstCount, 1) < rushBurstShare {
		return s.RequestsPerSecond * bell
	}
	return s.RequestsPerSecond * bell * rushRateBetweenBursts
}

// Check returns an error if the shape is invalid.
func (s *Shape) Check() error {
	switch s.Kind {
	case "constant", "poisson", "rush":
	case "ramp", "step":
		isStepWithin := s.OnShare > 0 && s.OnShare < 1
		if s.EndRequestsPerSecond <= 0 || s.Kind == "step" && !isStepWithin {
			return errors.New("a ramp and a step need an end rate above 0, and a step also a share of its length before the step between 0 and 1")
		}
	case "on-off":
		if s.PeriodSeconds <= 0 || s.OnShare <= 0 || s.OnShare > 1 {
			return errors.New("on-off needs a period above 0, and a share of the period with load that is above 0 and at most 1")
		}
	case "trace":
		if len(s.Trace) == 0 {
			return errors.New("the trace has no arrivals")
		}
		return nil
	default:
		return fmt.Errorf("unknown load shape %q; it must be constant, poisson, on-off, ramp, step, rush or trace", s.Kind)
	}
	if s.RequestsPerSecond <= 0 || s.LengthSeconds <= 0 {
		return fmt.Errorf("rate (%g requests/s) and length (%g s) must be above 0", s.RequestsPerSecond, s.LengthSeconds)
	}
	return nil
}

// arrivalSpanSeconds returns the time over which a shape's requests arrive, at least 1 s for a trace.
func (s *Shape) arrivalSpanSeconds() float64 {
	if s.Kind == "trace" {
		return max(1, s.Trace[len(s.Trace)-1].At)
	}
	return s.LengthSeconds
}

// Arrivals returns a function that yields the arrivals of a shape one by one. Its second result is false after the last
// arrival.
func (s *Shape) Arrivals(seed uint64) func() (Arrival, bool) {
	switch s.Kind {
	case "trace":
		return s.traceArrivals()
	case "poisson", "rush", "on-off", "ramp", "step":
		return s.poissonArrivals(seed)
	}
	return s.constantArrivals()
}

func (s *Shape) traceArrivals() func() (Arrival, bool) {
	next := 0
	return func() (Arrival, bool) {
		if next == len(s.Trace) {
			return Arrival{}, false
		}
		next++
		return s.Trace[next-1], true
	}
}

// poissonArrivals yields a Poisson process with the rate of rateAt: arrivals are drawn at the peak rate and thinned.
func (s *Shape) poissonArrivals(seed uint64) func() (Arrival, bool) {
	peakRate := max(s.RequestsPerSecond, s.EndRequestsPerSecond)
	t := 0.0
	rnd := rand.New(rand.NewPCG(seed, 11))
	return func() (Arrival, bool) {
		for t < s.LengthSeconds {
			t += rnd.ExpFloat64() / peakRate
			if t < s.LengthSeconds && rnd.Float64()*peakRate < s.rateAt(t) {
				return Arrival{At: t}, true
			}
		}
		return Arrival{}, false
	}
}

func (s *Shape) constantArrivals() func() (Arrival, bool) {
	sent := 0.0
	return func() (Arrival, bool) {
		at := sent / s.RequestsPerSecond
		sent++
		return Arrival{At: at}, at < s.LengthSeconds
	}
}
