package policy

import (
	"math"
	"sort"
)

// MaxSPRT-AB, the sequential test that compares the canary's failures to the baseline's. The reasons are in
// docs/design.md: under "Kept" for the test itself, and under "Changed, and when each exception applies" for the changes
// to it ("Four kinds of failure", "Some endpoints are not the build", "A lone canary endpoint's lateness is no proof",
// "Several votes share the threshold").
const (
	rollbackThreshold   = 3.0  // log-likelihood ratio in nats, before the term for the routers and votes (thresholdFor)
	minCanaryOutcomes   = 20.0 // canary outcomes required for a rollback vote, over all voters that a rollback needs
	minCanaryFailures   = 3.0  // canary failures required for a rollback vote
	minEndpointOutcomes = 4.0  // outcomes that an endpoint needs to be compared individually
	outlierErrorFactor  = 4.0  // errors are attributed to the outliers if the rest fail less often by this factor
)

// logLikelihoodRatio returns MaxSPRT-AB's log-likelihood ratio L in nats. It is negative if the canary fails less often
// than the baseline.
func logLikelihoodRatio(baselineCount, canaryCount outcomeCount) float64 {
	ratio := logLikelihood(baselineCount) + logLikelihood(canaryCount) - logLikelihood(baselineCount.plus(canaryCount))
	if canaryCount.failures*baselineCount.total < baselineCount.failures*canaryCount.total {
		return -ratio
	}
	return ratio
}

// logLikelihood returns the log-likelihood of a sample at its own failure rate, in nats.
func logLikelihood(c outcomeCount) float64 {
	if c.failures <= 0 || c.failures >= c.total {
		return 0
	}
	return c.failures*math.Log(c.failures/c.total) + (c.total-c.failures)*math.Log(1-c.failures/c.total)
}

// comparison holds the counts of a kind of failure by side. Endpoints with fewer than minEndpointOutcomes outcomes are
// pooled, since too little is known about each.
type comparison struct {
	kind           int
	perEndpoint    [sideCount][]outcomeCount // of the endpoints with enough outcomes
	perEndpointSum [sideCount]outcomeCount   // sum of perEndpoint
	pooled         [sideCount]outcomeCount   // sum over the endpoints with few outcomes
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

// loneCanary reports whether the sample shows only a single canary endpoint.
func (c *comparison) loneCanary() bool {
	return len(c.perEndpoint[canary]) < 2 && c.pooled[canary].total < minEndpointOutcomes
}

// outlierCount returns how many of a side's worst endpoints to exclude. The endpoints must be sorted by failures above
// the expected number, worst first. A bad build fails on all of its endpoints, while the worst quarter of a side may
// fail for other reasons.
func (c *comparison) outlierCount(side int) int {
	counts := c.perEndpoint[side]
	quarter := min(len(counts)/2, (len(counts)+3)/4)
	switch {
	case c.kind == serverError: // at least two, but never all endpoints
		return min(max(0, len(counts)-1), max(2, quarter))
	case c.kind == wrongAnswer: // they are rare: only a canary endpoint with more than half of them is excluded
		return boolToInt(side == canary && len(counts) > 1 && 2*counts[0].failures > c.perEndpointSum[side].failures)
	case c.kind == slowAnswer && side == canary: // noisy neighbours and queues slow many endpoints down
		return len(counts) / 2
	}
	return quarter
}

// trim removes each side's outliers, and returns the sums over all endpoints and over the remaining ones. Endpoints are
// sorted by how far their failures exceed the number expected at the baseline's failure rate.
func (c *comparison) trim() (all, trimmed [sideCount]outcomeCount) {
	for side := range all {
		all[side] = c.perEndpointSum[side].plus(c.pooled[side])
	}
	baselineRate := all[baseline].failures / max(1, all[baseline].total)
	for side, counts := range c.perEndpoint {
		excess := func(i int) float64 { return counts[i].failures - counts[i].total*baselineRate }
		sort.SliceStable(counts, func(i, j int) bool { return excess(i) > excess(j) })
		outliers := c.outlierCount(side)
		trimmed[side] = all[side]
		for _, count := range counts[:outliers] {
			trimmed[side] = trimmed[side].minus(count)
		}
		c.perEndpoint[side] = counts[outliers:]
	}
	return all, trimmed
}

// canaryEvidence returns the log-likelihood ratio of a kind of failure, in nats: positive if the canary fails more often
// than the baseline, 0 if the sample is too small or the failures have another cause than the build. reportedShare is
// the share of wrong answers that the sample can show.
func (b *Balancer) canaryEvidence(kind int, list []*endpointCounts, reportedShare float64) float64 {
	c := newComparison(kind, b.release.build, list)
	if isLoadSensitive(kind) && c.loneCanary() {
		return 0 // a single endpoint may be slow or unreachable for reasons other than its build
	}
	all, sum := c.trim()
	dispersion := overdispersion(c.perEndpoint[baseline], sum[baseline])
	if kind == serverError {
		causedByOutliers := outlierErrorFactor*sum[canary].failures*all[canary].total < all[canary].failures*sum[canary].total
		if causedByOutliers {
			return 0
		}
		sum = all // the other endpoints fail about as often, so the build is the cause and every error counts
	}
	if !b.enoughOutcomes(kind, sum) {
		return 0
	}
	ratio := logLikelihoodRatio(sum[baseline], sum[canary]) / dispersion
	if kind == wrongAnswer {
		ratio -= b.falseReportMargin(sum, reportedShare)
	}
	return ratio
}

// enoughOutcomes reports whether a sample is large enough to vote on. The required outcomes are divided by the number of
// votes that a rollback needs. Each voter observes wrong answers separately, so their required failures are divided too.
func (b *Balancer) enoughOutcomes(kind int, sum [sideCount]outcomeCount) bool {
	votes, minFailures := float64(b.rollbackVotes()), minCanaryFailures
	if kind == wrongAnswer {
		minFailures /= votes
	}
	return sum[baseline].total != 0 && sum[canary].total*votes >= minCanaryOutcomes && sum[canary].failures >= minFailures
}

// falseReportMargin returns the evidence, in nats, that is required of wrong answers in addition to the threshold, since
// clients also report correct answers as wrong. The less the wrong answers cost, compared to rolling back a good build,
// the larger the margin.
func (b *Balancer) falseReportMargin(sum [sideCount]outcomeCount, reportedShare float64) float64 {
	excessRate := sum[canary].failures/sum[canary].total - sum[baseline].failures/sum[baseline].total
	if excessRate > 0 {
		return max(0, math.Log(b.config.StaleBuildPrice/(b.config.WrongAnswerPrice*excessRate/reportedShare)))
	}
	return 0
}

// overdispersion returns how much more the baseline's endpoints differ from each other than chance predicts: Pearson's
// chi-squared statistic over its degrees of freedom, at least 1. The log-likelihood ratio is divided by it, whereas the
// paper cited in docs/design.md learns its threshold from A/A comparisons.
func overdispersion(perEndpoint []outcomeCount, sum outcomeCount) float64 {
	rate := sum.failures / max(1, sum.total)
	if rate <= 0 || rate >= 1 || len(perEndpoint) < 2 {
		return 1
	}
	chiSquared := 0.0
	for _, c := range perEndpoint {
		chiSquared += (c.failures - c.total*rate) * (c.failures - c.total*rate) / (c.total * rate * (1 - rate))
	}
	return max(1, chiSquared/float64(len(perEndpoint)-1))
}

// logBinomial returns the logarithm of the binomial coefficient "n choose k".
func logBinomial(n, k float64) float64 {
	logFactorialN, _ := math.Lgamma(n + 1)
	logFactorialK, _ := math.Lgamma(k + 1)
	logFactorialRest, _ := math.Lgamma(n - k + 1)
	return logFactorialN - logFactorialK - logFactorialRest
}
