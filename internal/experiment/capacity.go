package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"flintspread/internal/loadgen"
)

const (
	firstTriedPerSecond     = 4000.0      // requests per second
	rateGrowth              = 1.6         // factor from one tried rate to the next, until one is too high
	maxTriedPerSecond       = 1e6         // the search fails above this rate
	maxCapacityRatio        = 1.05        // the search ends when the ratio of its bounds is at most this
	maxCapacityGapPerSecond = 100         // or when their difference, in requests per second, is at most this
	minService              = 0.99        // minimum share of requests within their latency objectives at a rate that counts as served
	capacityRunSeconds      = 3           // length of each run
	settleTime              = time.Second // pause after each run
)

// Capacity finds the highest rate, in requests per second, that a router without load shedding serves within the
// latency objectives, to within maxCapacityRatio or maxCapacityGapPerSecond. Each tried rate is written to progress.
func (x *Experiment) Capacity(ctx context.Context, bin string, progress io.Writer) (float64, error) {
	bench, err := Start(RouterOptions{Bin: bin, MaxProcs: x.MaxProcs, Endpoints: x.Endpoints, MemoryBytes: x.Variants[0].MemoryBytes})
	if err != nil {
		return 0, err
	}
	defer bench.stopOrWarn()
	low, high := 0.0, 0.0 // highest served rate, lowest rate not served (0: none yet)
	try := func(rate float64) error {
		o, err := loadgen.Run(ctx, x.plan(bench, rate, capacityRunSeconds), nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(progress, "  %7.0f requests/s: service %.4f, p99 %.1f ms, generator lag p99 %.1f ms\n", rate, o.Service, 1e3*o.Latency.P99, 1e3*o.OwnLag.P99)
		time.Sleep(settleTime)
		if o.Service >= minService {
			low = rate
		} else {
			high = rate
		}
		return nil
	}
	for rate := firstTriedPerSecond; high == 0; rate *= rateGrowth {
		if err := try(rate); err != nil {
			return 0, err
		}
		if rate > maxTriedPerSecond {
			return 0, fmt.Errorf("found no capacity: the search tried %.0f requests/s and ends above %.0f", rate, maxTriedPerSecond)
		}
	}
	for high/max(low, 1) > maxCapacityRatio && high-low > maxCapacityGapPerSecond {
		if err := try((low + high) / 2); err != nil {
			return 0, err
		}
	}
	return low, nil
}
