package policy

import "testing"

// slowStartTrial sends 100 requests a second through one router to four endpoints. Endpoint 4, which is in slow start,
// answers faster than the others, so that it is preferred.
type slowStartTrial struct {
	*fleet
	startedAt  float64   // of endpoint 4
	attemptsAt []float64 // at endpoint 4
}

const (
	trialRequestsPerSecond = 100
	trialEndpoints         = 4
)

// newSlowStartTrial returns a trial whose endpoint 4 started some seconds ago. Its slow start is so long that its share of its
// capacity hardly changes.
func newSlowStartTrial(startedAgo float64) *slowStartTrial {
	f := newFleet(func(config *Config) {
		config.SlowStartSeconds, config.SlowStartOverloadSeconds, config.ForgetEndpointSeconds = 400, 6, 0.9
	})
	f.run(400, 4, succeed)
	return &slowStartTrial{fleet: f, startedAt: f.now - startedAgo}
}

func (s *slowStartTrial) list() {
	s.fleet.list(false, endpointEntry{id: 4, build: 7, startedAt: s.startedAt})
}

func (s *slowStartTrial) run(seconds float64) {
	for end := s.now + seconds; s.now < end-timeToleranceSeconds; {
		s.b.Tick(s.now)
		s.fleet.run(trialRequestsPerSecond/10, 0.1, func(endpointID uint32, _ int) (Outcome, float64) {
			if endpointID != 4 {
				return Succeeded, 0.01
			}
			s.attemptsAt = append(s.attemptsAt, s.now)
			return Succeeded, 0.001
		})
	}
}

// check checks that endpoint 4 got no more than its allowance in any SlowStartOverloadSeconds (rule 4 of package invariants):
// a multiple of the mean traffic of an endpoint, times the share of its capacity that it has.
func (s *slowStartTrial) check(t *testing.T) {
	t.Helper()
	config := s.b.config
	for i, at := range s.attemptsAt {
		share := config.SlowStartInitialShare + (1-config.SlowStartInitialShare)*(at-s.startedAt)/config.SlowStartSeconds
		allowed := config.SlowStartOverloadFactor * share * trialRequestsPerSecond / trialEndpoints * config.SlowStartOverloadSeconds
		attempts := len(since(s.attemptsAt[:i+1], at-config.SlowStartOverloadSeconds))
		if float64(attempts) > allowed {
			t.Fatalf("%d attempts in the %g s until %.1f s after its start, allowed %.1f", attempts, config.SlowStartOverloadSeconds, at-s.startedAt, allowed)
		}
	}
}

// Guards against an overloaded endpoint in slow start that is listed late: a router spent the tokens of the whole time over
// which the allowance is measured at once, and those that were added while it did in addition.
func TestSlowStartOfEndpointThatIsListedLate(t *testing.T) {
	trial := newSlowStartTrial(20)
	trial.list()
	trial.run(12)
	trial.check(t)
}

// Guards against an overloaded endpoint in slow start: each time it left the list and came back, it counted as restarted, and
// its whole allowance could be spent again.
func TestSlowStartOfEndpointThatLeavesAndReturns(t *testing.T) {
	trial := newSlowStartTrial(20)
	for range 60 {
		trial.list()
		trial.run(0.1)
		trial.remove(4)
	}
	trial.check(t)
}

// Guards against an overloaded endpoint in slow start: with a short time to remember endpoints, one that was forgotten and came
// back got all tokens again, though it had just spent them.
func TestSlowStartOfEndpointThatWasForgotten(t *testing.T) {
	trial := newSlowStartTrial(20)
	trial.list()
	trial.run(2.6)
	trial.remove(4)
	trial.run(1.3)
	trial.list()
	trial.run(3)
	trial.check(t)
}
