package loadgen

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// Arrival is a scheduled request. Its JSON is stored in the inputs of a run.
type Arrival struct {
	At     float64 `parquet:"at" json:"At"`
	Class  string  `parquet:"op" json:"Op"`         // empty: drawn at random
	Key    uint64  `parquet:"key" json:"Key"`       // 0: drawn at random
	Client uint64  `parquet:"client" json:"Client"` // number of the client; 0: drawn at random
}

// ReadTrace reads arrivals, which must be in order of time, from a CSV file with a header line or from a Parquet file.
// The column "at" is required; "op", "key" and "client" are optional in CSV files.
func ReadTrace(file string) ([]Arrival, error) {
	if strings.HasSuffix(file, ".parquet") {
		trace, err := parquet.ReadFile[Arrival](file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return trace, checkOrder(file, trace)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	trace, err := readCSV(file, f)
	if err != nil {
		return nil, err
	}
	return trace, checkOrder(file, trace)
}

func readCSV(file string, from io.Reader) (trace []Arrival, err error) {
	r := csv.NewReader(from)
	head, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	columns := map[string]int{}
	for i, name := range head {
		columns[strings.TrimSpace(name)] = i
	}
	if _, ok := columns["at"]; !ok {
		return nil, fmt.Errorf("%s:1: no column \"at\" in the header line", file)
	}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		arrival, err := parseArrival(row, columns)
		if err != nil {
			line, _ := r.FieldPos(0)
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		trace = append(trace, arrival)
	}
}

// parseArrival parses one row. columns maps column names to indices.
func parseArrival(row []string, columns map[string]int) (a Arrival, err error) {
	at := row[columns["at"]]
	if a.At, err = strconv.ParseFloat(at, 64); err != nil || a.At < 0 || math.IsInf(a.At, 0) || math.IsNaN(a.At) {
		return a, fmt.Errorf("at: %q is not a finite, non-negative number of seconds", at)
	}
	if i, ok := columns["op"]; ok {
		a.Class = row[i]
	}
	numbers := []struct {
		name string
		to   *uint64
	}{{"key", &a.Key}, {"client", &a.Client}}
	for _, number := range numbers {
		i, ok := columns[number.name]
		if !ok || row[i] == "" {
			continue
		}
		if *number.to, err = strconv.ParseUint(row[i], 10, 64); err != nil {
			return a, fmt.Errorf("%s: %q is not a non-negative integer of at most 64 bits", number.name, row[i])
		}
	}
	return a, nil
}

func checkOrder(file string, trace []Arrival) error {
	for i := 1; i < len(trace); i++ {
		if trace[i].At < trace[i-1].At {
			return fmt.Errorf("%s: arrival %d at %g s is earlier than the arrival before it at %g s", file, i+1, trace[i].At, trace[i-1].At)
		}
	}
	return nil
}
