package controller

import (
	"context"
	"slices"
	"sync"

	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/metricsanalysis"
	"flintspread/internal/policy"
	"flintspread/internal/promclient"
)

// metricsEvidence connects the controller to its query servers. From their results it computes evidence for the policy
// and health marks for the routers.
type metricsEvidence struct {
	controller *Controller
	poller     *promclient.Poller

	mu           sync.Mutex // guards the fields below; locked after the controller's lock, never before it
	analysis     *metricsanalysis.Analyzer
	hasNewResult bool // whether a result has arrived since the policy last received the evidence
	marks        []policy.HealthMark
	marksVersion uint64  // incremented when the routers need new marks
	marksAt      float64 // when the marks were last computed
}

// newMetricsEvidence prepares polling of the configured query servers; run starts it.
func (c *Controller) newMetricsEvidence() (m *metricsEvidence, err error) {
	health := c.settings.Health
	m = &metricsEvidence{controller: c, analysis: metricsanalysis.NewAnalyzer(health.AnalyzerQueries(), len(health.Servers))}
	m.poller, err = promclient.NewPoller(health, c.log, c.now, m.applyResult)
	return m, err
}

// run polls the query servers until ctx ends.
func (m *metricsEvidence) run(ctx context.Context) { m.poller.Run(ctx) }

// applyResult records the result of a query to one server. The poller calls it from several goroutines.
func (m *metricsEvidence) applyResult(result *metricsanalysis.QueryResult) metricsanalysis.ApplySummary {
	now := m.controller.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasNewResult = true
	return m.analysis.ApplyResult(now, result)
}

// setEndpoints passes the controller's endpoint list, without endpoints that are gone, to the analysis and the poller. The
// caller holds the controller's lock.
func (m *metricsEvidence) setEndpoints() {
	var analyzed []metricsanalysis.Endpoint
	var fleet promclient.Fleet
	for endpoint := range m.controller.endpointList.All() {
		if endpoint.State == endpoints.StateGone {
			continue
		}
		analyzed = append(analyzed, metricsanalysis.Endpoint{ID: endpoint.ID, Build: endpoint.Build, StartedAt: endpoint.StartedAt})
		fleet.Endpoints = append(fleet.Endpoints, promclient.FleetEndpoint{ID: endpoint.ID, Addr: endpoint.Addr, Build: endpoint.Build})
		fleet.Builds = append(fleet.Builds, endpoint.Build)
	}
	slices.Sort(fleet.Builds)
	fleet.Builds = slices.Compact(fleet.Builds)
	m.mu.Lock()
	m.analysis.SetEndpoints(analyzed)
	m.mu.Unlock()
	m.poller.SetFleet(fleet)
}

// setRelease passes the build of the release in force to the analysis. The caller holds the controller's lock.
func (m *metricsEvidence) setRelease(build int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.analysis.SetRelease(build)
}

// tick passes the evidence as of now to the policy and recomputes the marks when that is due. It reports whether the
// routers need new marks. The caller holds the controller's lock.
func (m *metricsEvidence) tick(now float64) (marksChanged bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	marksDue := now >= m.marksAt+metricsanalysis.MarksIntervalSeconds
	// The evidence also changes without a new result, because the results of an unresponsive server become stale.
	if m.hasNewResult || marksDue {
		m.controller.balancer.SetMetricsEvidence(m.analysis.Evidence(now))
		m.hasNewResult = false
	}
	if !marksDue {
		return false
	}
	marks := m.analysis.HealthMarks(now)
	m.marksAt = now
	if len(marks) == 0 && len(m.marks) == 0 {
		return false
	}
	m.marks = marks
	m.marksVersion++
	return true
}

// addMarks adds the marks to an assignment if the router has another version of them. The caller holds the controller's
// lock.
func (m *metricsEvidence) addMarks(assignment *linkpb.View, now float64, routerVersion uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	assignment.MarksNo = m.marksVersion
	if routerVersion == m.marksVersion {
		return
	}
	assignment.HasMarks, assignment.MarksAge = true, max(0, now-m.marksAt)
	for _, mark := range m.marks {
		assignment.Marks = append(assignment.Marks,
			&linkpb.Mark{Unit: mark.Endpoint, Wrong: float32(mark.WrongShare), Ailing: float32(mark.DegradedShare)})
	}
}

// collect emits the metrics of the marks and the query servers' results. The caller holds the controller's lock.
func (m *metricsEvidence) collect(now float64, gauge gaugeFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gauge(markedEndpointsDesc, float64(len(m.marks)))
	health := m.controller.settings.Health
	for i, query := range health.Queries {
		gauge(disputedEndpointsDesc, float64(m.analysis.DisputedEndpoints(query.Name)), query.Name)
		for j, server := range health.Servers {
			gauge(freshEndpointsDesc, float64(m.analysis.FreshEndpoints(now, i, j)), server.Name, query.Name)
		}
	}
}
