package loadgen

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Shape is how the rate of requests goes with time. Its JSON is part of the inputs that runs keep.
type Shape struct {
	// Kind is constant, poisson, on-off, ramp, step, rush or trace.
	Kind string `json:"Kind"`
	// RequestsPerSecond is the rate; of a ramp at its start, of a step before it, of a rush at its top.
	RequestsPerSecond float64 `json:"Rate"`
	// EndRequestsPerSecond is the rate of a ramp at its end, of a step after it.
	EndRequestsPerSecond float64 `json:"To"`
	// PeriodSeconds is the period of on-off.
	PeriodSeconds float64 `json:"Period"`
	// OnShare is the share of the period that is on, or of the length that comes before the step.
	OnShare       float64 `json:"On"`
	LengthSeconds float64 `json:"Length"`
	// Trace holds the arrivals of a trace, in order of time. All else but Kind is not used then.
	Trace []Arrival `json:"Trace"`
}

// A rush is an evening's: the rate rises to its top in a bell curve, with bursts on it.
const (
	rushBase       = 0.25 // share of the top rate far from the peak
	rushPeak       = 0.6  // share of the length at which the peak is
	rushWidth      = 0.22 // of the bell curve, as a share of the length
	rushBursts     = 20   // over the length
	rushBurstShare = 0.3  // of the time between two bursts' beginnings
	rushLull       = 0.6  // rate between two bursts, as a share of that in one
)

// rateAt is the rate at an instant.
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
	fromPeak := (x - rushPeak) / rushWidth
	bell := rushBase + (1-rushBase)*math.Exp(-(fromPeak*fromPeak))
	if math.Mod(x*rushBursts, 1) < rushBurstShare {
		return s.RequestsPerSecond * bell
	}
	return s.RequestsPerSecond * bell * rushLull
}

// Check reports what is wrong with a shape.
func (s *Shape) Check() error {
	switch s.Kind {
	case "constant", "poisson", "rush":
	case "ramp", "step":
		isStepWithin := s.OnShare > 0 && s.OnShare < 1
		if s.EndRequestsPerSecond <= 0 || s.Kind == "step" && !isStepWithin {
			return errors.New("a ramp and a step need the rate at their end, a step also the share of its time that comes before")
		}
	case "on-off":
		if s.PeriodSeconds <= 0 || s.OnShare <= 0 || s.OnShare > 1 {
			return errors.New("on-off needs a period above 0 and a share of it, up to 1, that is on")
		}
	case "trace":
		if len(s.Trace) == 0 {
			return errors.New("a trace without arrivals")
		}
		return nil
	default:
		return fmt.Errorf("%q is none of constant, poisson, on-off, ramp, step, rush and trace", s.Kind)
	}
	if s.RequestsPerSecond <= 0 || s.LengthSeconds <= 0 {
		return errors.New("rate and length must be above 0")
	}
	return nil
}

// arrivalsSeconds is the time over which a shape's requests arrive.
func (s *Shape) arrivalsSeconds() float64 {
	if s.Kind == "trace" {
		return max(1, s.Trace[len(s.Trace)-1].At)
	}
	return s.LengthSeconds
}

// Times gives the arrivals of a shape one by one. The second result is false at its end.
func (s *Shape) Times(seed uint64) func() (Arrival, bool) {
	switch s.Kind {
	case "trace":
		return s.traceTimes()
	case "poisson", "rush", "on-off", "ramp", "step":
		return s.randomTimes(seed)
	}
	return s.evenTimes()
}

func (s *Shape) traceTimes() func() (Arrival, bool) {
	next := 0
	return func() (Arrival, bool) {
		if next == len(s.Trace) {
			return Arrival{}, false
		}
		next++
		return s.Trace[next-1], true
	}
}

// randomTimes is a Poisson process of the present rate: arrivals are drawn at the top rate, and thinned.
func (s *Shape) randomTimes(seed uint64) func() (Arrival, bool) {
	top := max(s.RequestsPerSecond, s.EndRequestsPerSecond)
	t := 0.0
	rnd := rand.New(rand.NewPCG(seed, 11))
	return func() (Arrival, bool) {
		for t < s.LengthSeconds {
			t += rnd.ExpFloat64() / top
			if t < s.LengthSeconds && rnd.Float64()*top < s.rateAt(t) {
				return Arrival{At: t}, true
			}
		}
		return Arrival{}, false
	}
}

func (s *Shape) evenTimes() func() (Arrival, bool) {
	sent := 0.0
	return func() (Arrival, bool) {
		at := sent / s.RequestsPerSecond
		sent++
		return Arrival{At: at}, at < s.LengthSeconds
	}
}
