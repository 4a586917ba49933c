package policy

// The kinds of failure. Each is counted against its own outcomes: in one sum, frequent kinds would drown out rare ones.
const (
	wrongAnswer  = iota // answers that clients report as wrong
	serverError         // answers with an error
	attemptLost         // lost and failed connections, timeouts
	slowAnswer          // answers of warm endpoints that are far later than typical, or overload
	failureKinds        // number of kinds
)

// isLateness reports whether a kind is about time and connections, which queues and noisy
// neighbours affect as well as builds.
func isLateness(kind int) bool { return kind == attemptLost || kind == slowAnswer }

// FailureKindNames holds the names of the kinds of failure, in the order of the arrays of an EndpointSample.
var FailureKindNames = [failureKinds]string{"wrong", "failed", "lost", "slow"}

// outcomeCount counts outcomes and the failures among them. Decayed counts are fractional.
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

// endpointCounts counts the outcomes of one endpoint under one build since the present release became known.
type endpointCounts struct {
	endpoint uint32
	build    int
	byKind   [failureKinds]outcomeCount
}

func (c *endpointCounts) add(other *endpointCounts) {
	for kind := range c.byKind {
		c.byKind[kind] = c.byKind[kind].plus(other.byKind[kind])
	}
}

// countsKey identifies endpointCounts in a map.
type countsKey struct {
	endpoint uint32
	build    int
}

// countsOf returns the local counts of an endpoint under a build, creating them if needed.
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

// sumBySide sums a kind's counts over the endpoints of the canary build, and over those of all other builds.
func sumBySide(list []*endpointCounts, kind, canaryBuild int) (sum [sideCount]outcomeCount) {
	for _, counts := range list {
		side := boolToInt(counts.build == canaryBuild)
		sum[side] = sum[side].plus(counts.byKind[kind])
	}
	return sum
}
