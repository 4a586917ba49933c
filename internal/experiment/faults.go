package experiment

import (
	"context"
	"os"
	"syscall"
	"time"
)

const (
	starvePeriodMillis = 20                    // period of the fault "starve"
	largeAnswerWork    = 50 * time.Millisecond // work per response during the fault "large"
)

// InjectFaults starts goroutines that inject the faults at their times, unless ctx ends first. It returns immediately.
func (b *Bench) InjectFaults(ctx context.Context, faults []Fault) {
	process := b.cmd.Process
	for _, fault := range faults {
		go func() {
			if wait(ctx, fault.At) {
				b.inject(ctx, process, fault)
			}
		}()
	}
}

// wait waits for the given time or until ctx ends. It returns false if ctx ended first.
func wait(ctx context.Context, seconds float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration(seconds)):
		return true
	}
}

// duration converts seconds to a time.Duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func (b *Bench) inject(ctx context.Context, process *os.Process, fault Fault) {
	switch fault.Kind {
	case "stop":
		signalProcess(process, syscall.SIGSTOP)
		wait(ctx, fault.Seconds)
		signalProcess(process, syscall.SIGCONT)
	case "starve":
		starve(ctx, process, fault)
	case "pause":
		for _, e := range b.endpoints {
			e.Pause(duration(fault.Seconds))
		}
	case "large":
		for _, e := range b.endpoints {
			e.SetAnswers(int(fault.Amount), largeAnswerWork)
		}
		wait(ctx, fault.Seconds)
		for _, e := range b.endpoints {
			e.ResetAnswers()
		}
	}
}

// starve suspends the router for fault.Amount milliseconds of every period.
func starve(ctx context.Context, process *os.Process, fault Fault) {
	for end := time.Now().Add(duration(fault.Seconds)); time.Now().Before(end) && ctx.Err() == nil; {
		signalProcess(process, syscall.SIGSTOP)
		time.Sleep(time.Duration(fault.Amount * float64(time.Millisecond)))
		signalProcess(process, syscall.SIGCONT)
		time.Sleep(time.Duration((starvePeriodMillis - fault.Amount) * float64(time.Millisecond)))
	}
}
