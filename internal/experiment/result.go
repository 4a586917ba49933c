package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"flintspread/internal/loadgen"
)

// Result is what one run showed.
type Result struct {
	Variant          string           `json:"variant"`
	Rate             float64          `json:"rate"` // as the experiment names it
	Repeat           int              `json:"repeat"`
	OfferedPerSecond float64          `json:"a_second"` // requests
	Load             *loadgen.Outcome `json:"load"`
	Shed             float64          `json:"shed"`                // requests that the router rejected because it was overloaded itself
	MemoryPeakBytes  float64          `json:"memory_peak"`         // as the router counts
	ResidentBytes    int64            `json:"resident"`            // at the end of the run
	RecoveredSeconds float64          `json:"recovered,omitempty"` // see recoveredAfter; 0 without a recovery time
}

// batchService is the service of the class batch-table, whose requests need the most work.
func (r *Result) batchService() float64 { return r.Load.Classes[1].Service }

// unanswered counts the requests that got no answer in time.
func (r *Result) unanswered() int {
	count := 0
	for _, class := range r.Load.Classes {
		count += class.Ends["gave up"] + class.Ends["broken"] + class.Ends["unreached"]
	}
	return count
}

// Results reads the runs of a folder, in the order of their files' names.
func Results(dir string) (list []*Result, err error) {
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
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		list = append(list, r)
	}
	return list, nil
}

// cell is a cell of the grid.
type cell struct {
	variant string
	rate    float64
}

// byCell groups results by their cell.
func byCell(list []*Result) map[cell][]*Result {
	cells := map[cell][]*Result{}
	for _, r := range list {
		at := cell{r.Variant, r.Rate}
		cells[at] = append(cells[at], r)
	}
	return cells
}

// validValues gives a value of each valid run, sorted.
func validValues(list []*Result, value func(*Result) float64) (values []float64) {
	for _, r := range list {
		if r.Load.Valid {
			values = append(values, value(r))
		}
	}
	sort.Float64s(values)
	return values
}

// median is that of sorted values, 0 if there are none.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
