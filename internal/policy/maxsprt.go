package policy

import (
	"math"
	"sort"
)

// MaxSPRT-AB, the sequential test that compares the canary's failures to the baseline's. docs/design.md gives the
// reasons ("Kept", and 1 to 3 and 8 of "Changed").
const (
	rollbackThreshold    = 3.0  // log-likelihood ratio in nats, before ln(routers) is added
	minCanaryOutcomes    = 20.0 // canary outcomes required for a vote to roll back, all voters together
	minCanaryFailures    = 3.0  // canary failures required
	minEndpointOutcomes  = 4.0  // outcomes required for an endpoint to be judged on its own
	singleEndpointFactor = 4.0  // errors are attributed to single endpoints if the rest fail less often by this factor
)

// logLikelihoodRatio returns MaxSPRT-AB's L in nats, signed: positive if b fails more often than a.
func logLikelihoodRatio(a, b outcomeCount) float64 {
	ratio := logLikelihood(a) + logLikelihood(b) - logLikelihood(a.plus(b))
	if b.failures*a.total < a.failures*b.total {
		return -ratio
	}
	return ratio
}

// logLikelihood returns the log-likelihood of a sample under its own failure rate, in nats.
func logLikelihood(c outcomeCount) float64 {
	if c.failures <= 0 || c.failures >= c.total {
		return 0
	}
	return c.failures*math.Log(c.failures/c.total) + (c.total-c.failures)*math.Log(1-c.failures/c.total)
}

// comparison holds a kind's outcomes by side. Endpoints with too few outcomes to be judged on their own are pooled.
type comparison struct {
	kind           int
	perEndpoint    [sideCount][]outcomeCount // by endpoint
	perEndpointSum [sideCount]outcomeCount   // sum of each
	pooled         [sideCount]outcomeCount   // pooled endpoints with few outcomes
}

func newComparison(kind, canaryBuild int, list []*endpointCounts) *comparison {
	c := &comparison{kind: kind}
	for _, counts := range list {
		side := boolToInt(counts.build == canaryBuild)
		count := counts.byKind[kind]
		if count.total < minEndpointOutcomes {
			c.pooled[side] = c.pooled[side].plus(count)
			continue
		}
		c.perEndpoint[side] = append(c.perEndpoint[side], count)
		c.perEndpointSum[side] = c.perEndpointSum[side].plus(count)
	}
	return c
}

// loneCanary reports whether the canary consists of a single endpoint.
func (c *comparison) loneCanary() bool {
	return len(c.perEndpoint[canary]) < 2 && c.pooled[canary].total < minEndpointOutcomes
}

// outliers returns how many of a side's endpoints are left out; they must be sorted by failures above the mean, worst
// first. A bad build is bad on all of its endpoints, while the worst quarter of a side may fail for other reasons.
func (c *comparison) outliers(side int) int {
	each := c.perEndpoint[side]
	quarter := min(len(each)/2, (len(each)+3)/4)
	switch {
	case c.kind == serverError: // at least two, if others remain
		return min(max(0, len(each)-1), max(2, quarter))
	case c.kind == wrongAnswer: // rare: only a canary endpoint that accounts for more than half of them
		return boolToInt(side == canary && len(each) > 1 && 2*each[0].failures > c.perEndpointSum[side].failures)
	case c.kind == slowAnswer && side == canary: // neighbours and queues cause slowness on many endpoints
		return len(each) / 2
	}
	return quarter
}

// trim removes each side's outliers and returns the sums over all endpoints and over the remaining ones.
func (c *comparison) trim() (whole, trimmed [sideCount]outcomeCount) {
	for side := range whole {
		whole[side] = c.perEndpointSum[side].plus(c.pooled[side])
	}
	meanRate := whole[baseline].failures / max(1, whole[baseline].total)
	for side, each := range c.perEndpoint {
		excess := func(i int) float64 { return each[i].failures - each[i].total*meanRate }
		sort.SliceStable(each, func(i, j int) bool { return excess(i) > excess(j) })
		outliers := c.outliers(side)
		trimmed[side] = whole[side]
		for _, count := range each[:outliers] {
			trimmed[side] = trimmed[side].minus(count)
		}
		c.perEndpoint[side] = each[outliers:]
	}
	return whole, trimmed
}

// canaryEvidence returns the log-likelihood ratio of a kind over both builds' samples, in nats: positive if the
// canary fails more often, 0 if the sample is too small or points to something other than the build. reported is the
// share of wrong answers that the sample can show.
func (b *Balancer) canaryEvidence(kind int, list []*endpointCounts, reported float64) float64 {
	c := newComparison(kind, b.release.build, list)
	if isLoadSensitive(kind) && c.loneCanary() {
		return 0 // a single endpoint may be late for reasons of its own
	}
	whole, sum := c.trim()
	dispersion := overdispersion(c.perEndpoint[baseline], sum[baseline])
	if kind == serverError {
		ownFault := singleEndpointFactor*sum[canary].failures*whole[canary].total < whole[canary].failures*sum[canary].total
		if ownFault {
			return 0
		}
		sum = whole // the rest fail about as often: the errors are the build's, and all of them count
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

// enoughOutcomes reports whether a sample is large enough to vote on. The outcomes are divided among the voters that a
// rollback needs; wrong answers are observed by each voter separately, so their failures are divided as well.
func (b *Balancer) enoughOutcomes(kind int, sum [sideCount]outcomeCount) bool {
	voters, failures := float64(b.rollbackVotes()), minCanaryFailures
	if kind == wrongAnswer {
		failures /= voters
	}
	return sum[baseline].total != 0 && sum[canary].total*voters >= minCanaryOutcomes && sum[canary].failures >= failures
}

// falseReportMargin returns the evidence, in nats, that wrong answers must show beyond the threshold, since clients
// also report correct answers. The less the harm costs compared to rolling back a good build, the larger the margin.
func (b *Balancer) falseReportMargin(sum [sideCount]outcomeCount, reported float64) float64 {
	more := sum[canary].failures/sum[canary].total - sum[baseline].failures/sum[baseline].total
	if more > 0 {
		return max(0, math.Log(b.config.StaleBuildPrice/(b.config.WrongAnswerPrice*more/reported)))
	}
	return 0
}

// overdispersion returns how much more the baseline's endpoints differ from each other than chance predicts: Pearson's
// chi-squared over its degrees of freedom, at least 1. Dividing the log-likelihood ratio by it replaces the threshold
// that the paper cited in docs/design.md learns from A/A comparisons.
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

// logBinomial returns the logarithm of the binomial coefficient "n choose k".
func logBinomial(n, k float64) float64 {
	all, _ := math.Lgamma(n + 1)
	in, _ := math.Lgamma(k + 1)
	out, _ := math.Lgamma(n - k + 1)
	return all - in - out
}
