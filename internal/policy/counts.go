package policy

// The kinds of failure. Each has its own counts of outcomes and failures, and its own log-likelihood ratio: in one sum,
// frequent kinds would hide rare ones.
const (
	wrongAnswer      = iota // answers that a client reported as wrong
	serverError             // error answers
	attemptLost             // lost connections, failed connections and timeouts
	slowAnswer              // answers and timeouts of warm endpoints far above the baseline's median latency, and overload
	failureKindCount        // number of kinds
)

// isLoadSensitive reports whether a kind of failure concerns timing and connections, which queues and noisy neighbours
// affect as well as the build does.
func isLoadSensitive(kind int) bool { return kind == attemptLost || kind == slowAnswer }

// FailureKindNames holds the names of the kinds of failure, in the order of the arrays in EndpointSample.
var FailureKindNames = [failureKindCount]string{"wrong", "failed", "lost", "slow"}

// outcomeCount counts outcomes, and the failures among them. Decayed counts are fractional.
type outcomeCount struct{ total, failures float64 }

func (c outcomeCount) plus(d outcomeCount) outcomeCount {
	return outcomeCount{c.total + d.total, c.failures + d.failures}
}

func (c outcomeCount) minus(d outcomeCount) outcomeCount {
	return outcomeCount{c.total - d.total, c.failures - d.failures}
}

func (c *outcomeCount) record(failed bool) {
	c.total++
	if failed {
		c.failures++
	}
}

// endpointCounts counts the outcomes of one endpoint running one build since the present release became known.
type endpointCounts struct {
	endpoint uint32
	build    int
	byKind   [failureKindCount]outcomeCount
}

func (c *endpointCounts) add(other *endpointCounts) {
	for kind := range c.byKind {
		c.byKind[kind] = c.byKind[kind].plus(other.byKind[kind])
	}
}

// countsKey identifies endpointCounts as a map key.
type countsKey struct {
	endpoint uint32
	build    int
}

// countsOf returns the local counts of an endpoint running a build, and creates them if there are none.
func (b *Balancer) countsOf(endpoint uint32, build int) *endpointCounts {
	for _, counts := range b.localCounts {
		if counts.endpoint == endpoint && counts.build == build {
			return counts
		}
	}
	counts := &endpointCounts{endpoint: endpoint, build: build}
	b.localCounts = append(b.localCounts, counts)
	return counts
}

// sumBySide sums the counts of a kind of failure, over the endpoints of the canary build and over those of all others.
func sumBySide(list []*endpointCounts, kind, canaryBuild int) (sum [sideCount]outcomeCount) {
	for _, counts := range list {
		side := boolToInt(counts.build == canaryBuild)
		sum[side] = sum[side].plus(counts.byKind[kind])
	}
	return sum
}
