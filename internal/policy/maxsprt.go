package policy

import (
	"math"
	"sort"
)

// MaxSPRT-AB, the sequential test of docs/design.md, which tells the reasons ("Kept", and exceptions 1 to 3 and 8): the canary's failures
// against the baseline's.
const (
	rollbackThreshold   = 3.0  // nats of the log-likelihood ratio, before ln(routers)
	minCanaryOutcomes   = 20.0 // canary outcomes before a vote to roll back, all voters together
	minCanaryFailures   = 3.0  // failures among them
	minEndpointOutcomes = 4.0  // an endpoint's outcomes, before it is looked at by itself
	ownFaultFactor      = 4.0  // errors are some endpoints' own where the rest fails so many times less
)

// logLikelihoodRatio is MaxSPRT-AB's L in nats, signed: positive where b fails more often than a.
func logLikelihoodRatio(a, b outcomeCount) float64 {
	ratio := logLikelihood(a) + logLikelihood(b) - logLikelihood(a.plus(b))
	if b.failures*a.total < a.failures*b.total {
		return -ratio
	}
	return ratio
}

// logLikelihood is that of a sample under its own failure rate.
func logLikelihood(c outcomeCount) float64 {
	if c.failures <= 0 || c.failures >= c.total {
		return 0
	}
	return c.failures*math.Log(c.failures/c.total) + (c.total-c.failures)*math.Log(1-c.failures/c.total)
}

// comparison is a kind's outcomes by side. Endpoints met too seldom to be told from the rest count together.
type comparison struct {
	kind   int
	each   [sideCount][]outcomeCount // by endpoint
	summed [sideCount]outcomeCount   // sum of each
	few    [sideCount]outcomeCount   // endpoints with few outcomes, together
}

func newComparison(kind, canaryBuild int, list []*endpointCounts) *comparison {
	c := &comparison{kind: kind}
	for _, counts := range list {
		side := boolToInt(counts.build == canaryBuild)
		count := counts.byKind[kind]
		if count.total < minEndpointOutcomes {
			c.few[side] = c.few[side].plus(count)
			continue
		}
		c.each[side] = append(c.each[side], count)
		c.summed[side] = c.summed[side].plus(count)
	}
	return c
}

// loneCanary tells whether one endpoint alone makes up the canary.
func (c *comparison) loneCanary() bool {
	return len(c.each[canary]) < 2 && c.few[canary].total < minEndpointOutcomes
}

// outliers is how many of a side's endpoints, which are sorted by failures above the mean, are left out. A build is bad on all of its
// endpoints: the worst quarter of a side may fail for other reasons.
func (c *comparison) outliers(side int) int {
	each := c.each[side]
	quarter := min(len(each)/2, (len(each)+3)/4)
	switch {
	case c.kind == serverError: // two, where others remain
		return min(max(0, len(each)-1), max(2, quarter))
	case c.kind == wrongAnswer: // rare: only a canary endpoint that gives more than half of them
		return boolToInt(side == canary && len(each) > 1 && 2*each[0].failures > c.summed[side].failures)
	case c.kind == slowAnswer && side == canary: // neighbours and queues cause slowness on many endpoints
		return len(each) / 2
	}
	return quarter
}

// trim leaves each side's outliers out. It gives the sums of all, and of the rest.
func (c *comparison) trim() (whole, trimmed [sideCount]outcomeCount) {
	for side := range whole {
		whole[side] = c.summed[side].plus(c.few[side])
	}
	meanRate := whole[baseline].failures / max(1, whole[baseline].total)
	for side, each := range c.each {
		excess := func(i int) float64 { return each[i].failures - each[i].total*meanRate }
		sort.SliceStable(each, func(i, j int) bool { return excess(i) > excess(j) })
		outliers := c.outliers(side)
		trimmed[side] = whole[side]
		for _, count := range each[:outliers] {
			trimmed[side] = trimmed[side].minus(count)
		}
		c.each[side] = each[outliers:]
	}
	return whole, trimmed
}

// canaryEvidence is the log-likelihood ratio of a kind over both builds' samples, positive where the canary fails more often, 0 where the
// sample is too small or speaks of something else than the build. reported is the share of wrong answers that the sample can show.
func (b *Balancer) canaryEvidence(kind int, list []*endpointCounts, reported float64) float64 {
	c := newComparison(kind, b.release.build, list)
	if isLateness(kind) && c.loneCanary() {
		return 0 // one endpoint's lateness is no proof
	}
	whole, sum := c.trim()
	dispersion := overdispersion(c.each[baseline], sum[baseline])
	if kind == serverError {
		ownFault := ownFaultFactor*sum[canary].failures*whole[canary].total < whole[canary].failures*sum[canary].total
		if ownFault {
			return 0
		}
		sum = whole // the rest fails about as much: the errors are the build's, and all of them count
	}
	if !b.enoughOutcomes(kind, sum) {
		return 0
	}
	ratio := logLikelihoodRatio(sum[baseline], sum[canary]) / dispersion
	if kind == wrongAnswer {
		ratio -= b.falseReportMargin(sum, reported)
	}
	return ratio
}

// enoughOutcomes tells whether a sample is large enough to vote on. The voters that a rollback needs share the outcomes, and of
// wrong answers, which each finds for itself, the failures too.
func (b *Balancer) enoughOutcomes(kind int, sum [sideCount]outcomeCount) bool {
	voters, failures := float64(b.rollbackVotes()), minCanaryFailures
	if kind == wrongAnswer {
		failures /= voters
	}
	return sum[baseline].total != 0 && sum[canary].total*voters >= minCanaryOutcomes && sum[canary].failures >= failures
}

// falseReportMargin is what wrong answers have to show beyond the threshold. Right answers are reported too: the less the harm costs
// against a good build that is sent back, the surer the vote has to be.
func (b *Balancer) falseReportMargin(sum [sideCount]outcomeCount, reported float64) float64 {
	more := sum[canary].failures/sum[canary].total - sum[baseline].failures/sum[baseline].total
	if more > 0 {
		return max(0, math.Log(b.config.StaleBuildPrice/(b.config.WrongAnswerPrice*more/reported)))
	}
	return 0
}

// overdispersion is how many times more the baseline's endpoints differ among themselves than chance gives: Pearson's chi-squared over
// its degrees of freedom, at least 1. The log-likelihood ratio is divided by it, which stands for the threshold that the paper
// of docs/design.md learns from A/A comparisons.
func overdispersion(each []outcomeCount, sum outcomeCount) float64 {
	p := sum.failures / max(1, sum.total)
	if p <= 0 || p >= 1 || len(each) < 2 {
		return 1
	}
	chiSquared := 0.0
	for _, c := range each {
		chiSquared += (c.failures - c.total*p) * (c.failures - c.total*p) / (c.total * p * (1 - p))
	}
	return max(1, chiSquared/float64(len(each)-1))
}

// logBinomial is the log of the number of ways to choose k of n.
func logBinomial(n, k float64) float64 {
	all, _ := math.Lgamma(n + 1)
	in, _ := math.Lgamma(k + 1)
	out, _ := math.Lgamma(n - k + 1)
	return all - in - out
}
