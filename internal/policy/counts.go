package policy

// The kinds of failure. Each is counted against outcomes of its own: rates of different size would drown each other in one sum.
const (
	wrongAnswer  = iota // answers that clients report as wrong
	serverError         // errors
	attemptLost         // lost and failed connections, time-outs
	slowAnswer          // answers far later than typical, and overload, of warm endpoints
	failureKinds        // how many there are
)

// isLateness tells whether a kind is about time and connections, which queues and neighbours spoil as well as builds.
func isLateness(kind int) bool { return kind == attemptLost || kind == slowAnswer }

// FailureKinds names the kinds of failure, in the order of an EndpointSample.
var FailureKinds = [failureKinds]string{"wrong", "failed", "lost", "slow"}

// outcomeCount is how many outcomes there were, and how many of them were failures. Counts that decay are fractions.
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

// endpointCounts is what one endpoint did under one build while the present release was known.
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

// countsOf gives the local counts of an endpoint under a build, new ones where there are none.
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

// sumBySide sums a kind over the endpoints of earlier builds, and over those of the canary build.
func sumBySide(list []*endpointCounts, kind, canaryBuild int) (sum [sideCount]outcomeCount) {
	for _, counts := range list {
		side := boolToInt(counts.build == canaryBuild)
		sum[side] = sum[side].plus(counts.byKind[kind])
	}
	return sum
}
