// Package loadgen offers commands to an address at times that do not wait for answers, and measures each from the time at which it
// was meant to be sent. A relay that stands still so shows as long latencies, not as fewer commands.
package loadgen

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// Shape is how the rate goes with time.
type Shape struct {
	Kind   string    // constant, poisson, on-off, ramp, step, rush or trace
	Rate   float64   // commands a second; of a ramp at its start, of a step before it, of a rush at its top
	To     float64   // of a ramp at its end, of a step after it
	Period float64   // s, of on-off
	On     float64   // share of the period that is on, of the length that comes before the step
	Length float64   // s
	Trace  []Arrival // in order of time
}

// Arrival is one command that is to be sent, At s from the start.
type Arrival struct {
	At     float64 `parquet:"at"`
	Op     string  `parquet:"op"`     // empty: drawn
	Key    uint64  `parquet:"key"`    // 0: drawn
	Client uint64  `parquet:"client"` // whom it is from
}

// at is the rate at a time.
func (s *Shape) at(t float64) float64 {
	switch s.Kind {
	case "on-off":
		if math.Mod(t, s.Period) < s.On*s.Period {
			return s.Rate
		}
		return 0
	case "ramp":
		return s.Rate + (s.To-s.Rate)*t/s.Length
	case "step":
		if t < s.On*s.Length {
			return s.Rate
		}
		return s.To
	case "rush":
		// The evening's trucks: the rate rises to its top over the first three fifths, with a truck's burst each twentieth, and falls.
		x := t / s.Length
		fromPeak := (x - 0.6) / 0.22
		slow := 0.25 + 0.75*math.Exp(-(fromPeak*fromPeak))
		if math.Mod(x*20, 1) < 0.3 {
			return s.Rate * slow
		}
		return s.Rate * slow * 0.6
	}
	return s.Rate
}

// Check finds what is wrong with a shape.
func (s *Shape) Check() error {
	switch s.Kind {
	case "constant", "poisson", "rush":
	case "ramp", "step":
		if s.To <= 0 || s.Kind == "step" && (s.On <= 0 || s.On >= 1) {
			return errors.New("a ramp and a step need the rate at their end, a step also the share of its time that comes before")
		}
	case "on-off":
		if s.Period <= 0 || s.On <= 0 || s.On > 1 {
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
	if s.Rate <= 0 || s.Length <= 0 {
		return errors.New("rate and length must be above 0")
	}
	return nil
}

// Times gives the times of a shape's arrivals one by one; the second result is false at its end.
func (s *Shape) Times(seed uint64) func() (Arrival, bool) {
	if s.Kind == "trace" {
		i := 0
		return func() (Arrival, bool) {
			if i == len(s.Trace) {
				return Arrival{}, false
			}
			i++
			return s.Trace[i-1], true
		}
	}
	top := max(s.Rate, s.To)
	t := 0.0
	rnd := rand.New(rand.NewPCG(seed, 11))
	due := 0.0 // of what is even: the integral of the rate that the next comes at
	sum := 0.0
	return func() (Arrival, bool) {
		if s.Kind == "poisson" || s.Kind == "rush" || s.Kind == "on-off" || s.Kind == "ramp" || s.Kind == "step" {
			for t < s.Length { // drawn at the top rate, and thinned to the present one
				t += rnd.ExpFloat64() / top
				if t < s.Length && rnd.Float64()*top < s.at(t) {
					return Arrival{At: t}, true
				}
			}
			return Arrival{}, false
		}
		sum, due = due/s.Rate, due+1
		return Arrival{At: sum}, sum < s.Length
	}
}

// ReadTrace reads arrivals from a CSV file with a head (at, and if known op, key and client) or a Parquet file of such columns.
func ReadTrace(file string) ([]Arrival, error) {
	if strings.HasSuffix(file, ".parquet") {
		list, err := parquet.ReadFile[Arrival](file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return list, inOrder(file, list)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	list, err := readCSV(file, f)
	if err != nil {
		return nil, err
	}
	return list, inOrder(file, list)
}

func readCSV(file string, from io.Reader) (list []Arrival, err error) {
	r := csv.NewReader(from)
	head, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	at := map[string]int{}
	for i, name := range head {
		at[strings.TrimSpace(name)] = i
	}
	if _, ok := at["at"]; !ok {
		return nil, fmt.Errorf("%s:1: no column \"at\"", file)
	}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		line, _ := r.FieldPos(0)
		var a Arrival
		if a.At, err = strconv.ParseFloat(row[at["at"]], 64); err != nil || a.At < 0 || math.IsInf(a.At, 0) || math.IsNaN(a.At) {
			return nil, fmt.Errorf("%s:%d: at: %q is no time in s", file, line, row[at["at"]])
		}
		if i, ok := at["op"]; ok {
			a.Op = row[i]
		}
		for name, to := range map[string]*uint64{"key": &a.Key, "client": &a.Client} {
			i, ok := at[name]
			if !ok || row[i] == "" {
				continue
			}
			if *to, err = strconv.ParseUint(row[i], 10, 64); err != nil {
				return nil, fmt.Errorf("%s:%d: %s: %q is no number", file, line, name, row[i])
			}
		}
		list = append(list, a)
	}
}

func inOrder(file string, list []Arrival) error {
	for i := 1; i < len(list); i++ {
		if list[i].At < list[i-1].At {
			return fmt.Errorf("%s: arrival %d, at %g s, is before the one ahead of it", file, i+1, list[i].At)
		}
	}
	return nil
}
