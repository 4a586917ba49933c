package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"flintspread/internal/loadgen"
)

const (
	firstTriedRate  = 4000.0 // requests a second
	rateGrowth      = 1.6    // from one tried rate to the next, until one is too high
	maxTriedRate    = 1e6
	capacityRatio   = 1.05 // of the bounds between which the capacity is known well enough
	capacityGap     = 100  // the same as a difference, requests a second
	minService      = 0.99 // of a rate that is not too high
	capacitySeconds = 3    // of a run
	settleTime      = time.Second
)

// Capacity finds the rate, in requests a second, that a router without shedding serves within the latency objectives, to a twentieth.
// What it tries is written to progress.
func (x *Experiment) Capacity(ctx context.Context, bin string, progress io.Writer) (float64, error) {
	b, err := Start(RouterOptions{Bin: bin, MaxProcs: x.MaxProcs, Endpoints: x.Endpoints, MemoryBytes: x.Variants[0].MemoryBytes})
	if err != nil {
		return 0, err
	}
	defer b.stopOrWarn()
	low, high := 0.0, 0.0 // served, not served
	try := func(rate float64) error {
		o, err := loadgen.Run(ctx, x.plan(b, rate, capacitySeconds), nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(progress, "  %7.0f a second: service %.4f, p99 %.1f ms, own lag %.1f ms\n", rate, o.Service, 1e3*o.Latency.P99, 1e3*o.OwnLag.P99)
		time.Sleep(settleTime)
		if o.Service >= minService {
			low = rate
		} else {
			high = rate
		}
		return nil
	}
	for rate := firstTriedRate; high == 0; rate *= rateGrowth {
		if err := try(rate); err != nil {
			return 0, err
		}
		if rate > maxTriedRate {
			return 0, errors.New("no capacity found up to a million commands a second")
		}
	}
	for high/max(low, 1) > capacityRatio && high-low > capacityGap {
		if err := try((low + high) / 2); err != nil {
			return 0, err
		}
	}
	return low, nil
}
