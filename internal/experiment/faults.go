package experiment

import (
	"context"
	"os"
	"syscall"
	"time"
)

const (
	starvePeriodMillis = 20                    // of the fault "starve"
	largeAnswerWork    = 50 * time.Millisecond // of an answer of the fault "large"
)

// InjectFaults injects faults until ctx ends. It does not wait for them.
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

// wait waits some seconds. It reports whether ctx did not end meanwhile.
func wait(ctx context.Context, seconds float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration(seconds)):
		return true
	}
}

// duration turns a number of seconds into a duration.
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

// starve stops the router for a part of each period.
func starve(ctx context.Context, process *os.Process, fault Fault) {
	for end := time.Now().Add(duration(fault.Seconds)); time.Now().Before(end) && ctx.Err() == nil; {
		signalProcess(process, syscall.SIGSTOP)
		time.Sleep(time.Duration(fault.Amount * float64(time.Millisecond)))
		signalProcess(process, syscall.SIGCONT)
		time.Sleep(time.Duration((starvePeriodMillis - fault.Amount) * float64(time.Millisecond)))
	}
}
