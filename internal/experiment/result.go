package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"flintspread/internal/loadgen"
)

// Result is the result of one run.
type Result struct {
	Variant          string           `json:"variant"`
	Rate             float64          `json:"rate"` // as in the experiment's Rates
	Repeat           int              `json:"repeat"`
	OfferedPerSecond float64          `json:"a_second"` // offered requests per second
	Load             *loadgen.Outcome `json:"load"`
	Shed             float64          `json:"shed"`                // requests that the router shed
	MemoryPeakBytes  float64          `json:"memory_peak"`         // peak of the memory that the router counts against its budget; 0 if it does not count
	ResidentBytes    int64            `json:"resident"`            // resident memory at the end of the run
	RecoveredSeconds float64          `json:"recovered,omitempty"` // see recoverySeconds; 0 without a recovery time
}

// batchService returns the service of the class batch-table, whose requests need the most work.
func (r *Result) batchService() float64 { return r.Load.Classes[1].Service }

// unanswered counts the requests without a response in time.
func (r *Result) unanswered() int {
	count := 0
	for _, class := range r.Load.Classes {
		count += class.Ends["gave up"] + class.Ends["broken"] + class.Ends["unreached"]
	}
	return count
}

// ReadResults reads the saved runs of a folder, sorted by file name.
func ReadResults(dir string) (list []*Result, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "runs", "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		r := &Result{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("failed to parse %s: %w", file, err)
		}
		list = append(list, r)
	}
	return list, nil
}

// cell is a cell of the grid: a variant at a rate.
type cell struct {
	variant string
	rate    float64
}

// byCell groups results by cell.
func byCell(list []*Result) map[cell][]*Result {
	cells := map[cell][]*Result{}
	for _, r := range list {
		at := cell{r.Variant, r.Rate}
		cells[at] = append(cells[at], r)
	}
	return cells
}

// sortedValidValues returns a value of each valid run, in ascending order.
func sortedValidValues(list []*Result, value func(*Result) float64) (values []float64) {
	for _, r := range list {
		if r.Load.Valid {
			values = append(values, value(r))
		}
	}
	sort.Float64s(values)
	return values
}

// median returns the median of sorted values, or 0 if there are none.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
